package sendonce

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a Transfer-Encoding that is missed because the head arrives in parts, or found where none is.
func TestTransferEncodingOfAnotherVersion(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer": true,
		"HTTP/1.0 200 OK\ntransfer-encoding:chunked\n\n":                           true,
		"HTTP/0.9 200 OK\r\nTRANSFER-ENCODING: gzip\r\n\r\n":                       true,
		"HTTP/1.0 200 OK\r\nX: y\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":        false,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n":                  false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                    false,
	} {
		for part := 1; part <= len(head); part++ {
			var h responseHead
			for begin := 0; begin < len(head); begin += part {
				if err := h.add([]byte(head[begin:min(begin+part, len(head))])); err != nil {
					t.Fatal(err)
				}
			}
			if got := h.hasTransferEncoding(); got != want {
				t.Errorf("%q in parts of %d: %t, want %t", head, part, got, want)
			}
		}
	}
}

// Guards against a bound on the lines of a head that misses some because they arrive in parts, or after interim responses, or that counts
// those of a body.
func TestLinesOfHeads(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\n"
	)
	// The status line and the blank one count too.
	most, tooMany := strings.Repeat("a:\r\n", maxHeadLines-2), strings.Repeat("a:\r\n", maxHeadLines)
	body := strings.Repeat("\n", 2*maxHeadLines)
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"many lines":                       {status + most + "\r\n" + body, nil},
		"too many lines":                   {status + tooMany + "\r\n", ErrTooManyFields},
		"too many lines, no end":           {status + tooMany, ErrTooManyFields},
		"too many lines that end with LF":  {strings.ReplaceAll(status+tooMany, "\r", ""), ErrTooManyFields},
		"many lines after an interim head": {interim + most + "\r\n" + status + most + "\r\n" + body, nil},
		"too many after an interim head":   {interim + "\r\n" + status + tooMany, ErrTooManyFields},
		"too many in an interim head":      {interim + tooMany, ErrTooManyFields},
		"interim status after blanks":      {"HTTP/1.1" + strings.Repeat(" ", 40) + "103 x\r\n\r\n" + status + tooMany, ErrTooManyFields},
		"switched protocols":               {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + body, nil},
		"HTTP/1.0":                         {"HTTP/1.0 200 OK\r\n" + tooMany, ErrTooManyFields},
		"empty lines only":                 {body, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for _, part := range []int{1, 2, 3, 7, 100, len(c.text)} {
				var h responseHead
				var err error
				for begin := 0; begin < len(c.text) && err == nil; begin += part {
					err = h.add([]byte(c.text[begin:min(begin+part, len(c.text))]))
				}
				if !errors.Is(err, c.want) {
					t.Errorf("in parts of %d: %v, want %v", part, err, c.want)
				}
				source := bufio.NewReaderSize(strings.NewReader(c.text), MaxHeaderBytes)
				if strings.HasPrefix(c.text, status) && hasWholeHead(source) != (c.want == nil) {
					t.Errorf("whole: %t", c.want != nil)
				}
			}
		})
	}
}

// Guards against a response whose head has very many short lines, which takes twenty times its length in memory, in each call. The request
// may have run.
func TestResponseWithTooManyFields(t *testing.T) {
	fields := strings.Repeat("a:\r\n", maxHeadLines)
	for name, reply := range map[string]string{
		"new connection":              "HTTP/1.1 200 OK\r\n" + fields + "Id: own\r\nContent-Length: 0\r\n\r\n",
		"response to another message": "HTTP/1.1 200 OK\r\n" + fields + "Id: other\r\nContent-Length: 0\r\n\r\n" + response("own", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, reply, len(reply), false)
			client := New(&http.Transport{})
			defer client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			message := func(id string) *Message {
				return &Message{ID: id, IsOther: func(r *http.Response) bool { return r.Header.Get("Id") != id }}
			}
			accept := func(*http.Response, Connection) error { return nil }
			if name != "new connection" {
				warm, err := client.DoMatched(func() *http.Request { return newRequest(t, http.MethodPost, s.url+pathWarm, "", "") }, message("warm"), accept)
				if err != nil {
					t.Fatal(err)
				}
				warm.Response.Body.Close()
			}
			result, err := client.DoMatched(func() *http.Request {
				return newRequest(t, http.MethodPost, s.url+pathCall, "", "").WithContext(ctx)
			}, message("own"), accept)
			if err == nil {
				t.Fatal("the response was accepted")
			}
			if !errors.Is(err, ErrTooManyFields) || !result.MaybeSent {
				t.Errorf("%v, may have been sent: %t", err, result.MaybeSent)
			}
		})
	}
}
