// Package selector parses and evaluates label selectors in the set syntax of Kubernetes: requirements joined by commas,
// each of the form
//
//	key            the label exists
//	!key           the label does not exist
//	key = value    equal; "==" is the same
//	key != value   not equal, or the label does not exist
//	key in (a, b)
//	key notin (a, b)
//
// The empty selector matches everything.
package selector

import (
	"slices"
	"strings"
)

// Operator relates a label to the values of a requirement.
type Operator string

// The operators, as String writes them.
const (
	Exists       Operator = "exists"
	DoesNotExist Operator = "!"
	Equals       Operator = "="
	NotEquals    Operator = "!="
	In           Operator = "in"
	NotIn        Operator = "notin"
)

// Requirement is one condition of a selector.
type Requirement struct {
	Key      string
	Operator Operator
	// Values has one element for Equals and NotEquals and none for Exists and DoesNotExist; it is sorted and without
	// duplicates.
	Values []string
}

// Selector is a conjunction of requirements. The zero Selector matches all labels. It is immutable.
type Selector struct {
	requirements []Requirement
}

// Requirements returns a copy of the selector's requirements in the order in which they were written.
func (s Selector) Requirements() []Requirement { return slices.Clone(s.requirements) }

// Empty reports whether the selector matches everything.
func (s Selector) Empty() bool { return len(s.requirements) == 0 }

// Matches reports whether the labels meet all requirements.
func (s Selector) Matches(labels map[string]string) bool {
	for _, r := range s.requirements {
		if !r.matches(labels) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(labels map[string]string) bool {
	value, present := labels[r.Key]
	switch r.Operator {
	case Exists:
		return present
	case DoesNotExist:
		return !present
	case Equals, In:
		return present && slices.Contains(r.Values, value)
	default:
		return !present || !slices.Contains(r.Values, value)
	}
}

// String writes the selector so that Parse reads an equal one.
func (s Selector) String() string {
	parts := make([]string, len(s.requirements))
	for i, r := range s.requirements {
		parts[i] = r.String()
	}
	return strings.Join(parts, ",")
}

// String writes the requirement in the syntax that Parse reads.
func (r Requirement) String() string {
	switch r.Operator {
	case Exists:
		return r.Key
	case DoesNotExist:
		return "!" + r.Key
	case Equals, NotEquals:
		return r.Key + string(r.Operator) + r.Values[0]
	default:
		return r.Key + " " + string(r.Operator) + " (" + strings.Join(r.Values, ",") + ")"
	}
}
