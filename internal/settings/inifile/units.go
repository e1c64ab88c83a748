package inifile

import (
	"math/big"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrValue reports that a value is not valid for its key.
var ErrValue = errors.New("inifile: value not allowed")

// Bytes is a size in bytes. In a file it is written with its unit.
type Bytes int64

const bytesAllowed = "a size with unit B, KB, MB, GB, TB (powers of 1000), KiB, MiB, GiB or TiB (powers of 1024), such as 24GiB"

var byteUnits = []struct {
	name string
	size int64
}{
	{"TiB", 1 << 40}, {"TB", 1e12},
	{"GiB", 1 << 30}, {"GB", 1e9},
	{"MiB", 1 << 20}, {"MB", 1e6},
	{"KiB", 1 << 10}, {"KB", 1e3},
	{"B", 1},
}

// UnmarshalText parses a size such as "24GiB" or "1.5 MB".
func (b *Bytes) UnmarshalText(text []byte) error {
	number, size, ok := cutByteUnit(string(text))
	if !ok {
		return errors.Wrapf(ErrValue, "%q has no unit of size", text)
	}
	// big.Rat also accepts fractions and exponents; isPlainDecimal excludes these forms.
	value, ok := new(big.Rat).SetString(number)
	if !ok || !isPlainDecimal(number) {
		return errors.Wrapf(ErrValue, "%q is not a size", text)
	}
	value.Mul(value, new(big.Rat).SetInt64(size))
	if !value.IsInt() || !value.Num().IsInt64() {
		return errors.Wrapf(ErrValue, "%q is not a whole number of bytes below 2^63", text)
	}
	*b = Bytes(value.Num().Int64())
	return nil
}

func cutByteUnit(text string) (number string, size int64, ok bool) {
	for _, unit := range byteUnits {
		if number, found := strings.CutSuffix(text, unit.name); found {
			return strings.TrimSpace(number), unit.size, true
		}
	}
	return "", 0, false
}

const maxDecimalLength = 30

// isPlainDecimal also limits the length, to bound the cost of the arithmetic.
func isPlainDecimal(text string) bool {
	return text != "" && len(text) <= maxDecimalLength && strings.Trim(text, "0123456789.") == ""
}

// MarshalText formats the size with the largest unit that divides it.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, unit := range byteUnits {
		if b != 0 && int64(b)%unit.size == 0 {
			return []byte(strconv.FormatInt(int64(b)/unit.size, 10) + unit.name), nil
		}
	}
	return []byte("0B"), nil
}

// Allowed describes how a size is written.
func (Bytes) Allowed() string { return bytesAllowed }

// String formats the size with its unit.
func (b Bytes) String() string {
	text, _ := b.MarshalText()
	return string(text)
}

const durationAllowed = "a duration with unit ns, us, ms, s, m or h, such as 1m30s"

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, errors.Wrapf(ErrValue, "%q is not a duration with unit", text)
	}
	return d, nil
}

// formatDuration formats a duration without the trailing zero units of time.Duration.String.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
