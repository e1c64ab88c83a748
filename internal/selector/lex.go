package selector

import (
	"strings"
	"unicode/utf8"
)

type tokenKind int

const (
	end tokenKind = iota
	word
	comma
	openParen
	closeParen
	equals
	notEquals
	not
	invalid
)

type token struct {
	kind   tokenKind
	text   string
	offset int
}

func (t token) isWord(operator Operator) bool {
	return t.kind == word && t.text == string(operator)
}

// symbols lists the tokens that are not words; a symbol comes before any symbol that is a prefix of it.
var symbols = []struct {
	text string
	kind tokenKind
}{
	{"==", equals},
	{"=", equals},
	{"!=", notEquals},
	{"!", not},
	{",", comma},
	{"(", openParen},
	{")", closeParen},
}

type lexer struct {
	text   string
	offset int
}

func (l *lexer) next() token {
	for l.offset < len(l.text) && (l.text[l.offset] == ' ' || l.text[l.offset] == '\t') {
		l.offset++
	}
	t := scan(l.text[l.offset:])
	t.offset = l.offset
	l.offset += len(t.text)
	return t
}

func scan(rest string) token {
	if rest == "" {
		return token{kind: end}
	}
	for _, s := range symbols {
		if strings.HasPrefix(rest, s.text) {
			return token{kind: s.kind, text: s.text}
		}
	}
	n := 0
	for n < len(rest) && isWordByte(rest[n]) {
		n++
	}
	if n > 0 {
		return token{kind: word, text: rest[:n]}
	}
	_, size := utf8.DecodeRuneInString(rest)
	return token{kind: invalid, text: rest[:size]}
}
