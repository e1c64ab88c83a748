package settings

import (
	"log/slog"
	"os"
	"strings"

	"github.com/pkg/errors"

	"balsamsail/internal/settings/inifile"
)

const redacted = "[redacted]"

// Secret holds credentials. It is formatted, logged and marshaled as a fixed text; only Reveal returns its value.
type Secret struct{ value string }

// NewSecret wraps credentials.
func NewSecret(value string) Secret { return Secret{value: value} }

const maxSecretBytes = 64 << 10

// ReadSecret reads credentials from a file and trims the surrounding white space. A file that is empty, too long or has
// several lines is an error.
func ReadSecret(path string) (Secret, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Secret{}, errors.Wrap(ErrRead, err.Error())
	}
	value := strings.TrimSpace(string(data))
	if value == "" || len(data) > maxSecretBytes || strings.ContainsAny(value, "\r\n\x00") {
		return Secret{}, errors.Wrapf(ErrRead, "%s does not hold credentials on one line", path)
	}
	return Secret{value: value}, nil
}

// Reveal returns the credentials.
func (s Secret) Reveal() string { return s.value }

// Empty reports whether the secret is empty.
func (s Secret) Empty() bool { return s.value == "" }

// String implements fmt.Stringer.
func (s Secret) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (s Secret) GoString() string { return redacted }

// LogValue implements slog.LogValuer.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements encoding.TextMarshaler, which encoding/json uses too.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// readCredentials reads the file that a section's credentials_file names, if any, and reports a problem if it can't be
// read.
func readCredentials(r *inifile.Reporter, path string) Secret {
	if path == "" {
		return Secret{}
	}
	secret, err := ReadSecret(path)
	if err != nil {
		r.Report("credentials_file", err.Error(), "a readable file that holds the credentials on one line")
	}
	return secret
}
