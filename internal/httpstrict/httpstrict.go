// Package httpstrict rejects responses that net/http accepts although HTTP/1 does not allow them, or although the connection failed
// before they were whole.
package httpstrict

import (
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"balsamsail/internal/netconn"
)

// ErrInvalid is wrapped by the errors of responses that are not valid. The request may have been processed.
var ErrInvalid = errors.New("httpstrict: invalid response")

// The status codes of HTTP, see RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Transport is an http.RoundTripper that returns the valid responses of another one.
type Transport struct{ Base http.RoundTripper }

// Wrap returns a transport over another one; nil stands for http.DefaultTransport. Of an http.Transport it uses a copy, whose connections
// report resets.
func Wrap(base http.RoundTripper) *Transport {
	if base == nil {
		base = http.DefaultTransport
	}
	original, ok := base.(*http.Transport)
	if !ok {
		return &Transport{Base: base}
	}
	clone := original.Clone()
	if clone.DialContext == nil {
		clone.DialContext = (&net.Dialer{}).DialContext
	}
	clone.DialContext = netconn.ReportResets(clone.DialContext)
	return &Transport{Base: clone}
}

// RoundTrip implements http.RoundTripper. Its errors, and those of reading the body, wrap ErrInvalid if the response is not valid.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &body{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// CheckHead returns an error that wraps ErrInvalid if the head of a response is not one of HTTP/1. It finds what net/http accepts.
func CheckHead(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.Wrapf(ErrInvalid, "version %.20q", response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus, strings.ContainsFunc(response.Status, isControl):
		return errors.Wrapf(ErrInvalid, "status %.40q", response.Status)
	}
	return checkNames(response.Header)
}

// isControl reports whether a character must not be in a status line.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// checkNames returns an error if the name of a field holds a blank; net/http rejects all other names that are not valid. A reader that
// ignores the blank finds another framing than net/http, which ignores the field.
func checkNames(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return errors.Wrapf(ErrInvalid, "the name of field %.40q holds a blank", name)
		}
	}
	return nil
}

// body is the body of a response, which ends with an error if its trailer is not valid.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
