package selector

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// SyntaxError describes a syntax error in a selector.
type SyntaxError struct {
	// Column is the position of the error in characters, starting at 1.
	Column int
	// Found is the text at that position, empty at the end of the selector.
	Found string
	// Allowed describes what is expected at that position.
	Allowed string
}

func (e *SyntaxError) Error() string {
	found := "the end"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("selector: column %d: found %s, expected %s", e.Column, found, e.Allowed)
}

// Parse parses a selector. Its error is a *SyntaxError.
func Parse(text string) (Selector, error) {
	p := parser{lexer: lexer{text: text}}
	p.advance()
	if p.token.kind == end {
		return Selector{}, nil
	}
	var s Selector
	for {
		r, err := p.requirement()
		if err != nil {
			return Selector{}, err
		}
		s.requirements = append(s.requirements, r)
		if p.token.kind == end {
			return s, nil
		}
		if err := p.expect(comma, `"," or the end`); err != nil {
			return Selector{}, err
		}
	}
}

// MustParse is like Parse but panics on an error; it is for selectors that are written in code.
func MustParse(text string) Selector {
	s, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return s
}

type parser struct {
	lexer lexer
	token token
}

func (p *parser) advance() { p.token = p.lexer.next() }

func (p *parser) fail(allowed string) error {
	column := utf8.RuneCountInString(p.lexer.text[:p.token.offset]) + 1
	return &SyntaxError{Column: column, Found: p.token.text, Allowed: allowed}
}

func (p *parser) expect(kind tokenKind, allowed string) error {
	if p.token.kind != kind {
		return p.fail(allowed)
	}
	p.advance()
	return nil
}

func (p *parser) requirement() (Requirement, error) {
	if p.token.kind == not {
		p.advance()
		key, err := p.key("a key")
		return Requirement{Key: key, Operator: DoesNotExist}, err
	}
	key, err := p.key(`a key or "!"`)
	if err != nil {
		return Requirement{}, err
	}
	switch {
	case p.token.kind == end || p.token.kind == comma:
		return Requirement{Key: key, Operator: Exists}, nil
	case p.token.kind == equals:
		return p.single(key, Equals)
	case p.token.kind == notEquals:
		return p.single(key, NotEquals)
	case p.token.isWord(In):
		return p.set(key, In)
	case p.token.isWord(NotIn):
		return p.set(key, NotIn)
	default:
		return Requirement{}, p.fail(`"=", "==", "!=", "in", "notin", "," or the end`)
	}
}

func (p *parser) key(allowed string) (string, error) {
	if p.token.kind != word {
		return "", p.fail(allowed)
	}
	if !validKey(p.token.text) {
		return "", p.fail("a key of " + KeyAllowed)
	}
	key := p.token.text
	p.advance()
	return key, nil
}

func (p *parser) value() (string, error) {
	if p.token.kind != word || !validValue(p.token.text) {
		return "", p.fail("a value of " + ValueAllowed)
	}
	value := p.token.text
	p.advance()
	return value, nil
}

func (p *parser) single(key string, operator Operator) (Requirement, error) {
	p.advance()
	value, err := p.value()
	return Requirement{Key: key, Operator: operator, Values: []string{value}}, err
}

func (p *parser) set(key string, operator Operator) (Requirement, error) {
	p.advance()
	if err := p.expect(openParen, `"("`); err != nil {
		return Requirement{}, err
	}
	var values []string
	for {
		value, err := p.value()
		if err != nil {
			return Requirement{}, err
		}
		values = append(values, value)
		if p.token.kind == closeParen {
			break
		}
		if err := p.expect(comma, `"," or ")"`); err != nil {
			return Requirement{}, err
		}
	}
	p.advance()
	slices.Sort(values)
	return Requirement{Key: key, Operator: operator, Values: slices.Compact(values)}, nil
}
