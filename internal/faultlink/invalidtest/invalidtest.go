// Package invalidtest runs a client against servers whose answers are not valid in HTTP/1.
package invalidtest

import (
	"fmt"
	"testing"

	"balsamsail/internal/faultlink/unframedtest"
)

// Answers returns answers that are not valid, by what is wrong with them: Heads, and one that is not valid after its body. Header fields that callers require come in head, each with its
// line end.
func Answers(head, body string) map[string]unframedtest.Answer {
	answers := Heads(head, body)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\nX Y: 1\r\n\r\n", len(body), body)
	answers["blank in the name of a trailer field"] = unframedtest.Answer{Head: head + "Transfer-Encoding: chunked\r\n", Body: chunks}
	return answers
}

// Heads returns answers whose head is not valid.
func Heads(head, body string) map[string]unframedtest.Answer {
	answers := make(map[string]unframedtest.Answer)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for _, status := range []string{"000", "000 OK", "099 Odd", "+20 OK", "-00 OK", "600 Odd", "999 Odd", "20 OK", "2000 OK", "200 O\x00K", "200 O\rK", "200 O\x7fK"} {
		answers[fmt.Sprintf("status %q", status)] = unframedtest.Answer{Status: status, Head: head + length, Body: body}
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "http/1.1", "HTTP/1"} {
		answers["version "+version] = unframedtest.Answer{Version: version, Head: head + length, Body: body}
	}
	for _, line := range []string{"X Y: 1", "X : 1", "X\tY: 1", "X\t: 1", "X\x00Y: 1", "X\x01: 1", "\x1bX: 1", "X\x7fY: 1", "X\rY: 1", "X(Y): 1", "X\xc3\xa4: 1", "X Y"} {
		answers[fmt.Sprintf("line %q", line)] = unframedtest.Answer{Head: head + length + line + "\r\n", Body: body}
	}
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for name, answer := range map[string]unframedtest.Answer{
		"blank before the colon of the length":   {Head: head + "Content-Length : 3\r\n", Body: body},
		"blank before the colon of the encoding": {Head: head + "Transfer-Encoding : chunked\r\n", Body: chunks},
		"no HTTP":                                {Version: "SSH-2.0-x", Head: head, Body: body},
	} {
		answers[name] = answer
	}
	return answers
}

// Run makes a call to a server for each of Answers; each must fail. A call that gets the same fields and body in a valid answer must
// succeed.
func Run(t *testing.T, head, body string, call func(t *testing.T, address string) error) {
	t.Helper()
	run(t, head, body, Answers(head, body), call)
}

// RunHeads is Run with Heads, for calls that do not read the body.
func RunHeads(t *testing.T, head, body string, call func(t *testing.T, address string) error) {
	t.Helper()
	run(t, head, body, Heads(head, body), call)
}

func run(t *testing.T, head, body string, invalid map[string]unframedtest.Answer, call func(t *testing.T, address string) error) {
	t.Helper()
	t.Run("valid", func(t *testing.T) {
		if err := call(t, unframedtest.Start(t, unframedtest.Answer{Head: head, Body: body})); err != nil {
			t.Errorf("a valid answer failed: %v", err)
		}
	})
	for name, answer := range invalid {
		t.Run(name, func(t *testing.T) {
			if err := call(t, unframedtest.Start(t, answer)); err == nil {
				t.Error("an answer that is not valid is a success")
			}
		})
	}
}
