package selector

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

const (
	maxKeyLength   = 253
	maxValueLength = 63
)

// Descriptions of valid label keys and values, for error messages.
const (
	KeyAllowed = `letters, digits, ".", "_", "-" and "/", beginning and ending with a letter or digit, at most 253 long, ` +
		`not "in" or "notin"`
	ValueAllowed = `letters, digits, ".", "_" and "-", beginning and ending with a letter or digit, at most 63 long`
)

// ErrInvalidLabel reports that a label's key or value is invalid.
var ErrInvalidLabel = errors.New("selector: invalid label")

// CheckLabel returns an error that wraps ErrInvalidLabel and describes what is allowed if the key or the value is
// invalid.
func CheckLabel(key, value string) error {
	if !validKey(key) {
		return errors.Wrap(ErrInvalidLabel, fmt.Sprintf("key %q is not allowed: %s", key, KeyAllowed))
	}
	if !validValue(value) {
		return errors.Wrap(ErrInvalidLabel, fmt.Sprintf("value %q of %q is not allowed: %s", value, key, ValueAllowed))
	}
	return nil
}

// validKey rejects the operators "in" and "notin", because a requirement such as "in in (a)" would be ambiguous.
func validKey(key string) bool {
	return key != string(In) && key != string(NotIn) && validWord(key, maxKeyLength)
}

func validValue(value string) bool {
	return !strings.Contains(value, "/") && validWord(value, maxValueLength)
}

func validWord(word string, limit int) bool {
	if word == "" || len(word) > limit {
		return false
	}
	for i := range len(word) {
		if !isWordByte(word[i]) {
			return false
		}
	}
	return isAlphanumeric(word[0]) && isAlphanumeric(word[len(word)-1])
}

func isWordByte(b byte) bool {
	return isAlphanumeric(b) || b == '.' || b == '_' || b == '-' || b == '/'
}

func isAlphanumeric(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
}
