package inifile

import (
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"balsamsail/internal/selector"
)

// Labels are the labels of an object, written as "a=b, c=d".
type Labels map[string]string

// UnmarshalText parses labels.
func (l *Labels) UnmarshalText(text []byte) error {
	*l = Labels{}
	for _, part := range splitList(string(text)) {
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return errors.Wrapf(ErrValue, "%q is not a label", part)
		}
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		if err := selector.CheckLabel(key, value); err != nil {
			return errors.Wrap(ErrValue, err.Error())
		}
		if _, twice := (*l)[key]; twice {
			return errors.Wrapf(ErrValue, "label %q is listed twice", key)
		}
		(*l)[key] = value
	}
	return nil
}

// MarshalText formats labels, sorted by key.
func (l Labels) MarshalText() ([]byte, error) {
	parts := make([]string, 0, len(l))
	for _, key := range slices.Sorted(maps.Keys(l)) {
		parts = append(parts, key+"="+l[key])
	}
	return []byte(strings.Join(parts, ", ")), nil
}

// Allowed describes how labels are written.
func (Labels) Allowed() string { return "labels such as gpu=h100, pool=day" }

// Selector is the text of a label selector.
type Selector string

// UnmarshalText parses a selector and stores it in its canonical form.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := selector.Parse(string(text))
	if err != nil {
		return errors.Wrap(ErrValue, err.Error())
	}
	*s = Selector(parsed.String())
	return nil
}

// MarshalText formats the selector.
func (s Selector) MarshalText() ([]byte, error) { return []byte(s), nil }

// Allowed describes how a selector is written.
func (Selector) Allowed() string {
	return `requirements joined by commas: key, !key, key=value, key!=value, key in (a,b), key notin (a,b)`
}

// Address is an IP address and a port to listen on or to connect to.
type Address string

// UnmarshalText parses an address. Host names are rejected: hosts address each other by IP, and a name would need a
// resolver.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return errors.Wrapf(ErrValue, "%q is not an IP address and port", text)
	}
	*a = Address(text)
	return nil
}

// MarshalText formats the address.
func (a Address) MarshalText() ([]byte, error) { return []byte(a), nil }

// Allowed describes how an address is written.
func (Address) Allowed() string { return "an IP address and port, such as 10.0.0.7:8080 or [::1]:0" }

// URL is the base URL of an HTTP service, without a trailing slash.
type URL string

// UnmarshalText parses a URL.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || !isBaseURL(parsed) {
		// The error omits the text, which may contain a password.
		return errors.Wrap(ErrValue, "not a base URL")
	}
	*u = URL(strings.TrimSuffix(string(text), "/"))
	return nil
}

// isBaseURL rejects credentials in the URL, because URLs are logged.
func isBaseURL(u *url.URL) bool {
	web := u.Scheme == "http" || u.Scheme == "https"
	return web && u.Host != "" && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}

// MarshalText formats the URL.
func (u URL) MarshalText() ([]byte, error) { return []byte(u), nil }

// Allowed describes how a URL is written.
func (URL) Allowed() string {
	return "an http or https URL without user, query and fragment, such as http://10.0.0.9:7000"
}

func splitList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
