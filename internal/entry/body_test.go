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

// raw opens a connection of a caller and writes a text.
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

// rawReply reads an answer from a connection.
func rawReply(t *testing.T, conn net.Conn) reply {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{cut: true}
	}
	return readReply(response)
}

// chunked is a body without a length that a caller may send.
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

// A caller's body is larger than allowed, and says so or does not. It is refused before it runs where that can be known,
// and the caller is told why in any case.
func TestBodyLimits(t *testing.T) {
	const limit, large = 1000, 100 << 10
	cases := []struct {
		name  string
		limit int64
		text  string
		want  string
	}{
		{"as long as allowed", limit, "PUT /ledger/n" + lengthHeader(limit) + strings.Repeat("x", limit), "200 1000 true"},
		{"as long as allowed, not told", limit, "PUT /ledger/n" + chunkedHeader + chunked(limit) + chunkedEnd, "200 1000 true"},
		{"longer", limit, "PUT /ledger/n" + lengthHeader(limit+1), "413 body_too_large not_run"},
		{"longer, not told", limit, "PUT /ledger/n" + chunkedHeader + chunked(limit+1) + chunkedEnd, "413 body_too_large not_run"},
		{"long", large, "PUT /ledger/n" + chunkedHeader + chunked(large) + chunkedEnd, "200 102400 true"},
		{"longer than a long one, not told", large, "PUT /ledger/n" + chunkedHeader + chunked(large+1) + chunkedEnd, "413 body_too_large outcome_unknown"},
		{"longer than a long one, two steps", large, "POST /ledger/n" + chunkedHeader + chunked(large+1) + chunkedEnd, "413 body_too_large outcome_unknown"},
		{"a chat that is too long", limit, "POST /v1/chat/completions" + lengthHeader(5<<20), "413 body_too_large not_run"},
		{"a chat that is too long, not told", limit, "POST /v1/chat/completions" + chunkedHeader + chunked(5<<20) + chunkedEnd, "413 body_too_large not_run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1, service: func(d *pb.Service) { d.MaxBodyBytes = c.limit }})
			s.agents[0].answers(tellUpload)
			got := rawReply(t, s.rawMayEnd(c.text))
			if got.text() != c.want {
				t.Errorf("got %s, want %s", got.text(), c.want)
			}
			checkReply(t, got)
		})
	}
}

// rawMayEnd is raw for a text that the entry may not read to its end.
func (s *site) rawMayEnd(text string) net.Conn {
	s.t.Helper()
	conn := s.raw("")
	go func() { _, _ = io.WriteString(conn, text) }()
	return conn
}

// tellUpload answers with the length of the body and whether it came whole; a broken one fails as an agent's does.
func tellUpload(x *exchangeStream) {
	if x.offer.TwoStep && !x.committed() {
		return
	}
	x.ready()
	body, whole := x.upload()
	if !whole {
		x.failed(true)
		return
	}
	x.head(http.StatusOK)
	x.body(fmt.Sprint(len(body), " ", whole))
	x.trailer()
}

// A caller's connection breaks in the middle of its body. What came must never pass for the whole: a notice of half its
// lines would be run, and nobody would know.
func TestCutBodyIsNoBody(t *testing.T) {
	const large = 100 << 10
	cases := []struct {
		name, text string
	}{
		{"of a known length", lengthHeader(100) + "half"},
		{"of an unknown length", chunkedHeader + chunked(100)},
		{"of an unknown length, within a chunk", chunkedHeader + "64\r\nhalf"},
		{"long, of a known length", lengthHeader(large) + strings.Repeat("x", large/2)},
		{"long, of an unknown length", chunkedHeader + chunked(large/2)},
	}
	for _, c := range cases {
		for _, method := range []string{"PUT", "POST"} {
			t.Run(method+" "+c.name, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, siteOptions{agents: 1})
				seen := make(chan string, 8)
				s.agents[0].answers(func(x *exchangeStream) {
					if x.offer.TwoStep && !x.committed() {
						return
					}
					x.ready()
					if body, whole := x.upload(); whole {
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
					t.Errorf("%d bytes passed for the whole", len(body))
				default:
				}
			})
		}
	}
}

// A caller sends its body byte by byte, or stops in the middle. It may have the time to its deadline, and not hold a place,
// a connection or the entry's stop for ever.
func TestSlowBody(t *testing.T) {
	const large = 100 << 10
	deadline := "X-Deadline-Ms: 200\r\n"
	with := func(method, path, header string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + deadline + header + "\r\n\r\n"
	}
	cases := []struct {
		name, text string
	}{
		{"a call, nothing of it", with("PUT", "/ledger/n", "Content-Length: 100")},
		{"a call, a part of it", with("POST", "/ledger/n", "Transfer-Encoding: chunked") + "64\r\nhalf"},
		{"a long call, its first part", with("PUT", "/ledger/n", fmt.Sprint("Content-Length: ", large)) + strings.Repeat("x", large/2)},
		{"a long call in two steps, its first part", with("POST", "/ledger/n", fmt.Sprint("Content-Length: ", large)) + strings.Repeat("x", large/2)},
		{"a chat", with("POST", pathChat, "Content-Length: 100") + "{"},
		{"a call of no service", "PUT /nowhere" + lengthHeader(100)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 1})
			s.agents[0].answers(func(x *exchangeStream) {
				if x.offer.TwoStep && !x.committed() {
					return
				}
				x.ready()
				x.upload()
			})
			conn := s.raw(c.text)
			if got := rawReply(t, conn); got.status == http.StatusOK {
				t.Errorf("got %s", got.text())
			}
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Errorf("the connection is kept: %v", err)
			}
			eventually(t, "a place is held", func() bool {
				s.entry.mu.Lock()
				defer s.entry.mu.Unlock()
				return s.entry.limiter.InFlight() == 0
			})
		})
	}
}

// The longest body that is compared under a key may have a key.
func TestBodyUnderAKey(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].answers(tellUpload)
	for size, want := range map[int]string{wire.ChunkBytes: "200 32768 true", wire.ChunkBytes + 1: "400 bad_request not_run"} {
		got := s.send(t.Context(), call{method: post, key: fmt.Sprint(size), body: strings.Repeat("x", size)})
		if got.text() != want {
			t.Errorf("%d bytes: got %s, want %s", size, got.text(), want)
		}
		header := strings.Replace(chunkedHeader, "\r\n\r\n", fmt.Sprintf("\r\n%s: chunked %d\r\n\r\n", headerIdempKey, size), 1)
		if got := rawReply(t, s.rawMayEnd("POST /ledger/n"+header+chunked(size)+chunkedEnd)); got.text() != want {
			t.Errorf("%d bytes of no known length: got %s, want %s", size, got.text(), want)
		}
	}
}

// A caller's time is over while its large body waits for a service that takes none of it. The request must end then: its
// withdrawal waited behind the body for as long as the service did, with its place at the entry.
func TestStalledUploadEnds(t *testing.T) {
	const size = 2 << 20
	s := newSite(t, siteOptions{agents: 1})
	taken := make(chan struct{})
	defer close(taken)
	s.agents[0].answers(func(x *exchangeStream) {
		x.ready()
		<-taken
	})
	header := http.Header{headerDeadline: {"300"}}
	body := call{method: "PUT", header: header, body: strings.Repeat("x", size)}
	got := within(t, s.sending(t.Context(), body), "the request goes on")
	if got.text() != "502 outcome_unknown outcome_unknown" {
		t.Errorf("got %s", got.text())
	}
	eventually(t, "a place is held", func() bool {
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		return s.entry.limiter.InFlight() == 0
	})
}

// A service begins to answer while the photograph that it is sent still comes. The server of the callers' connection reads
// what is left of a body before it sends an answer's head, and drops it: the service got the body without that part.
func TestAnswerBesideItsBody(t *testing.T) {
	const size = 200 << 10
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].answers(func(x *exchangeStream) {
		x.ready()
		x.head(http.StatusOK, eventStream)
		x.body("begun ")
		body, whole := x.upload()
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
		if got := within(t, answer, "no answer"); got.text() != "200 begun 204800 true" {
			t.Errorf("got %s", got.text())
		}
	}
}

// The connection of a caller whose body was not read to its end is not used again, and its answer arrives all the same.
func TestConnectionAfterAnUnreadBody(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].answers(tellUpload)
	for _, text := range []string{
		"POST /nowhere" + lengthHeader(10) + "0123456789",
		"POST /ledger/n HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: no\r\nContent-Length: 10\r\n\r\n0123456789",
	} {
		conn := s.raw(text + "GET /ledger/n" + lengthHeader(0))
		reader := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		checkReply(t, readReply(response))
		if next, err := io.ReadAll(reader); err != nil || len(next) > 0 {
			t.Errorf("then came %q, %v", next, err)
		}
	}
}
