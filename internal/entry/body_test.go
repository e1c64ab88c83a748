package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/wire"
)

// raw opens a caller's connection and writes a text to it.
func (s *site) raw(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// rawReply reads a response from a connection.
func rawReply(t *testing.T, conn net.Conn) reply {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{truncated: true}
	}
	return readReply(response)
}

// chunked returns one chunk of a body in chunked transfer encoding.
func chunked(size int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
}

const (
	chunkedEnd    = "0\r\n\r\n"
	chunkedHeader = " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func lengthHeader(n int) string {
	return fmt.Sprintf(" HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

// A caller's body is larger than allowed, with or without a Content-Length. It must be refused before it runs where
// that is possible, and the caller must get the reason in every case.
func TestBodyLimits(t *testing.T) {
	const limit, large = 1000, 100 << 10
	cases := []struct {
		name  string
		limit int64
		text  string
		want  string
	}{
		{"at the limit", limit, "PUT /ledger/n" + lengthHeader(limit) + strings.Repeat("x", limit), "200 1000 true"},
		{"at the limit, chunked", limit, "PUT /ledger/n" + chunkedHeader + chunked(limit) + chunkedEnd, "200 1000 true"},
		{"over the limit", limit, "PUT /ledger/n" + lengthHeader(limit+1), "413 body_too_large not_run"},
		{"over the limit, chunked", limit, "PUT /ledger/n" + chunkedHeader + chunked(limit+1) + chunkedEnd, "413 body_too_large not_run"},
		{"large, at the limit, chunked", large, "PUT /ledger/n" + chunkedHeader + chunked(large) + chunkedEnd, "200 102400 true"},
		{"large, over the limit, chunked", large, "PUT /ledger/n" + chunkedHeader + chunked(large+1) + chunkedEnd, "413 body_too_large outcome_unknown"},
		{"large, over the limit, two-step", large, "POST /ledger/n" + chunkedHeader + chunked(large+1) + chunkedEnd, "413 body_too_large outcome_unknown"},
		{"a chat over the limit", limit, "POST /v1/chat/completions" + lengthHeader(5<<20), "413 body_too_large not_run"},
		{"a chat over the limit, chunked", limit, "POST /v1/chat/completions" + chunkedHeader + chunked(5<<20) + chunkedEnd, "413 body_too_large not_run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1, service: func(d *pb.Service) { d.MaxBodyBytes = c.limit }})
			s.agents[0].setScript(reportUpload)
			got := rawReply(t, s.rawAsync(c.text))
			if got.text() != c.want {
				t.Errorf("got %s, want %s", got.text(), c.want)
			}
			checkReply(t, got)
		})
	}
}

// rawAsync is raw for a text that the entry may not read to its end.
func (s *site) rawAsync(text string) net.Conn {
	s.t.Helper()
	conn := s.raw("")
	go func() { _, _ = io.WriteString(conn, text) }()
	return conn
}

// reportUpload responds with the length of the body and whether it was complete; on a truncated body it fails as an
// agent does.
func reportUpload(x *fakeStream) {
	if x.offer.TwoStep && !x.committed() {
		return
	}
	x.ready()
	body, whole := x.readBody()
	if !whole {
		x.failed(true)
		return
	}
	x.head(http.StatusOK)
	x.body(fmt.Sprint(len(body), " ", whole))
	x.trailer()
}

// A caller's connection breaks in the middle of its body. The truncated body must never be taken for a complete one:
// the service would process a part of the request without noticing.
func TestCutBodyIsNoBody(t *testing.T) {
	const large = 100 << 10
	cases := []struct {
		name, text string
	}{
		{"with a length", lengthHeader(100) + "half"},
		{"chunked", chunkedHeader + chunked(100)},
		{"chunked, within a chunk", chunkedHeader + "64\r\nhalf"},
		{"large, with a length", lengthHeader(large) + strings.Repeat("x", large/2)},
		{"large, chunked", chunkedHeader + chunked(large/2)},
	}
	for _, c := range cases {
		for _, method := range []string{"PUT", "POST"} {
			t.Run(method+" "+c.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, siteOptions{agents: 1})
				seen := make(chan string, 8)
				s.agents[0].setScript(func(x *fakeStream) {
					if x.offer.TwoStep && !x.committed() {
						return
					}
					x.ready()
					if body, whole := x.readBody(); whole {
						seen <- body
					}
					x.failed(true)
				})
				conn := s.raw(method + " /ledger/n" + c.text)
				_ = conn.(*net.TCPConn).CloseWrite()
				got := rawReply(t, conn)
				if got.status == http.StatusOK || got.problem.Outcome == OutcomeNotRun && len(s.agents[0].offered()) > 0 {
					t.Errorf("got %s with %d offers", got.text(), len(s.agents[0].offered()))
				}
				select {
				case body := <-seen:
					t.Errorf("%d bytes were taken for the complete body", len(body))
				default:
				}
			})
		}
	}
}

// A caller sends its body slowly or stops in the middle. It may take until its deadline, but must not hold a place in
// the concurrency limit, a connection or the shutdown of the entry beyond that.
func TestSlowBody(t *testing.T) {
	const large = 100 << 10
	deadline := "X-Deadline-Ms: 200\r\n"
	with := func(method, path, header string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + deadline + header + "\r\n\r\n"
	}
	cases := []struct {
		name, text string
	}{
		{"a call, no body byte", with("PUT", "/ledger/n", "Content-Length: 100")},
		{"a call, part of its body", with("POST", "/ledger/n", "Transfer-Encoding: chunked") + "64\r\nhalf"},
		{"a large call, part of its body", with("PUT", "/ledger/n", fmt.Sprint("Content-Length: ", large)) + strings.Repeat("x", large/2)},
		{"a large two-step call, part of its body", with("POST", "/ledger/n", fmt.Sprint("Content-Length: ", large)) + strings.Repeat("x", large/2)},
		{"a chat", with("POST", pathChat, "Content-Length: 100") + "{"},
		{"a call to an unknown service", "PUT /nowhere" + lengthHeader(100)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1})
			s.agents[0].setScript(func(x *fakeStream) {
				if x.offer.TwoStep && !x.committed() {
					return
				}
				x.ready()
				x.readBody()
			})
			conn := s.raw(c.text)
			if got := rawReply(t, conn); got.status == http.StatusOK {
				t.Errorf("got %s", got.text())
			}
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Errorf("the connection was not closed: %v", err)
			}
			eventually(t, "the request is still in flight", func() bool {
				s.entry.mu.Lock()
				defer s.entry.mu.Unlock()
				return s.entry.limiter.InFlight() == 0
			})
		})
	}
}

// A body of up to wire.ChunkBytes may have an idempotency key, and a longer one is refused.
func TestBodyUnderAKey(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].setScript(reportUpload)
	for size, want := range map[int]string{wire.ChunkBytes: "200 32768 true", wire.ChunkBytes + 1: "400 bad_request not_run"} {
		got := s.send(t.Context(), call{method: post, key: fmt.Sprint(size), body: strings.Repeat("x", size)})
		if got.text() != want {
			t.Errorf("%d bytes: got %s, want %s", size, got.text(), want)
		}
		header := strings.Replace(chunkedHeader, "\r\n\r\n", fmt.Sprintf("\r\n%s: chunked %d\r\n\r\n", headerIdempKey, size), 1)
		if got := rawReply(t, s.rawAsync("POST /ledger/n"+header+chunked(size)+chunkedEnd)); got.text() != want {
			t.Errorf("%d bytes, chunked: got %s, want %s", size, got.text(), want)
		}
	}
}

// A request's deadline passes while its large body is blocked on a service that does not read it. The request must end
// then. The cancel used to wait behind the body, so that the request held its place in the concurrency limit for as
// long as the service did not read.
func TestStalledUploadEnds(t *testing.T) {
	const size = 2 << 20
	s := newSite(t, siteOptions{agents: 1})
	release := make(chan struct{})
	defer close(release)
	s.agents[0].setScript(func(x *fakeStream) {
		x.ready()
		<-release
	})
	header := http.Header{headerDeadline: {"300"}}
	body := call{method: "PUT", header: header, body: strings.Repeat("x", size)}
	got := receive(t, s.sending(t.Context(), body), "the request did not end")
	if got.text() != "502 outcome_unknown outcome_unknown" {
		t.Errorf("got %s", got.text())
	}
	eventually(t, "the request is still in flight", func() bool {
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		return s.entry.limiter.InFlight() == 0
	})
}

// A service starts its response while the request body is still arriving. Go's HTTP server reads and discards the
// remaining request body before it sends the response headers, so that the service used to get the body without that
// part.
func TestAnswerBesideItsBody(t *testing.T) {
	const size = 200 << 10
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].setScript(func(x *fakeStream) {
		x.ready()
		x.head(http.StatusOK, eventStream)
		x.body("begun ")
		body, whole := x.readBody()
		x.body(fmt.Sprint(len(body), " ", whole))
		x.trailer()
	})
	for _, text := range []string{lengthHeader(size) + strings.Repeat("x", size), chunkedHeader + chunked(size) + chunkedEnd} {
		conn := s.raw("PUT /ledger/n" + text[:len(text)/2])
		answer := make(chan reply, 1)
		go func() { answer <- rawReply(t, conn) }()
		eventually(t, "no offer", func() bool { return len(s.agents[0].offered()) > 0 })
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, text[len(text)/2:]); err != nil {
			t.Fatal(err)
		}
		if got := receive(t, answer, "no response"); got.text() != "200 begun 204800 true" {
			t.Errorf("got %s", got.text())
		}
	}
}

// The connection of a caller whose body was not read to its end is not reused, and its response still arrives.
func TestConnectionAfterAnUnreadBody(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].setScript(reportUpload)
	for _, text := range []string{
		"POST /nowhere" + lengthHeader(10) + "0123456789",
		"POST /ledger/n HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: no\r\nContent-Length: 10\r\n\r\n0123456789",
	} {
		conn := s.raw(text + "GET /ledger/n" + lengthHeader(0))
		reader := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		checkReply(t, readReply(response))
		if next, err := io.ReadAll(reader); err != nil || len(next) > 0 {
			t.Errorf("unexpected data after the response: %q, %v", next, err)
		}
	}
}
