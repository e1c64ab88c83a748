package sendonce

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// copyServer answers each request with the ID and the number of the sending that it read, in many forms, and sends earlier responses
// once more at random points.
type copyServer struct {
	listener net.Listener
	handlers sync.WaitGroup
	// calm is the probability that a response is not followed or preceded by copies.
	calm float64

	mu       sync.Mutex
	random   *rand.Rand
	seen     map[string]int
	accepted int
}

func newCopyServer(t *testing.T, calm float64) *copyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &copyServer{listener: listener, calm: calm, random: rand.New(rand.NewPCG(1, 2)), seen: make(map[string]int)}
	s.handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			s.mu.Unlock()
			s.handlers.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.handlers.Wait()
	})
	return s
}

func (s *copyServer) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *copyServer) chance(p float64) bool { return float64(s.intN(1_000_000)) < p*1_000_000 }

func (s *copyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var earlier []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen[request.Header.Get("Sending")]++
		s.mu.Unlock()
		copies := func(p float64) string {
			var b strings.Builder
			for p *= 1 - s.calm; len(earlier) > 0 && s.chance(p); {
				b.WriteString(earlier[s.intN(len(earlier))])
			}
			return b.String()
		}
		// Before the body of the request has been read.
		_, _ = io.WriteString(conn, copies(0.05))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := s.respond(request)
		out := copies(0.2)
		if s.chance(0.1) {
			out += "HTTP/1.1 103 Early Hints\r\nId: x\r\nSending: x\r\n\r\n"
		}
		earlier = append(earlier, response)
		out += response + copies(0.1)
		if _, err := io.WriteString(conn, out); err != nil {
			return
		}
		if late := copies(0.05); late != "" {
			time.Sleep(time.Duration(s.intN(300)) * time.Microsecond)
			_, _ = io.WriteString(conn, late)
		}
	}
}

func (s *copyServer) respond(r *http.Request) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSending: %s\r\n", []int{200, 503, 421}[s.intN(3)], r.Header.Get("Id"), r.Header.Get("Sending"))
	body := []string{"", "body", strings.Repeat("long", 2000)}[s.intN(3)]
	if body != "" && s.chance(0.5) {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// Guards against any copy of an earlier response, in any form and at any point, being taken for the response to a sending, and against
// a sending that arrived being reported as not sent.
func TestCopiesAtRandom(t *testing.T) {
	const duration = time.Second
	// net/http logs each copy that arrives on an idle connection.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	for _, c := range []struct {
		calm  float64
		skips bool
	}{{0, false}, {0.9, false}, {0, true}, {0.9, true}} {
		t.Run(fmt.Sprintf("calm %.1f, copies are skipped %t", c.calm, c.skips), func(t *testing.T) {
			s := newCopyServer(t, c.calm)
			client := New(&http.Transport{MaxIdleConnsPerHost: 4})
			defer client.CloseIdleConnections()
			var senders sync.WaitGroup
			var mu sync.Mutex
			outcomes := make(map[string]int)
			notSent := make(map[string]bool)
			stop := time.Now().Add(duration)
			for n := range 12 {
				senders.Go(func() {
					for m := 0; time.Now().Before(stop); m++ {
						id := fmt.Sprintf("%d-%d", n, m)
						message := Message{}
						if c.skips {
							message = Message{ID: id, IsOther: func(r *http.Response) bool { return r.Header.Get("Id") != id }}
						}
						for k := range 4 {
							sending := fmt.Sprintf("%s-%d", id, k)
							outcome, maybeSent := sendCopy(t, client, "http://"+s.listener.Addr().String()+"/", &message, id, sending, n*m+k)
							mu.Lock()
							outcomes[outcome]++
							if !maybeSent {
								notSent[sending] = true
							}
							mu.Unlock()
						}
					}
				})
			}
			senders.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			t.Logf("%v, %d connections, %d not sent", outcomes, s.accepted, len(notSent))
			for sending, times := range s.seen {
				if times > 1 {
					t.Errorf("sending %s arrived %d times", sending, times)
				}
				if notSent[sending] {
					t.Errorf("sending %s was reported as not sent, but arrived", sending)
				}
			}
		})
	}
}

func sendCopy(t *testing.T, client *Client, url string, message *Message, id, sending string, n int) (outcome string, maybeSent bool) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if n%7 == 0 {
		time.AfterFunc(time.Duration(n%500)*time.Microsecond, cancel)
	}
	size := []int{0, 10, 200_000}[min(2, n%30)]
	method := []string{http.MethodPost, http.MethodGet}[n%2]
	errMismatch := errors.New("mismatch")
	result, err := client.DoMatched(func() *http.Request {
		r := newRequest(t, method, url, strings.Repeat("b", size), "Idempotency-Key").WithContext(ctx)
		r.Header.Set("Id", id)
		r.Header.Set("Sending", sending)
		return r
	}, message, func(r *http.Response, _ Connection) error {
		if r.Header.Get("Id") != id {
			return errMismatch
		}
		return nil
	})
	switch {
	case errors.Is(err, errMismatch):
		return "mismatch", result.MaybeSent
	case errors.Is(err, context.DeadlineExceeded):
		t.Errorf("sending %s got no response in 2 s: %v", sending, err)
		return "timeout", result.MaybeSent
	case errors.Is(err, context.Canceled):
		return "cancelled", result.MaybeSent
	case err != nil:
		return "failed", result.MaybeSent
	}
	if got := result.Response.Header.Get("Sending"); got != sending {
		t.Errorf("sending %s got the response to %s", sending, got)
	}
	_, _ = io.Copy(io.Discard, result.Response.Body)
	_ = result.Response.Body.Close()
	return "answered", true
}
