package sendonce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	pathWarm = "/warm"
	pathCall = "/call"
)

// breaker is a raw server that answers pathWarm, and reads each other request whole, counts it and closes its
// connection without an answer.
type breaker struct {
	listener net.Listener
	handlers sync.WaitGroup

	mu    sync.Mutex
	calls int
}

func newBreaker(t *testing.T) *breaker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaker{listener: listener}
	b.handlers.Go(b.accept)
	t.Cleanup(func() {
		listener.Close()
		b.handlers.Wait()
	})
	return b
}

func (b *breaker) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.handlers.Go(func() { b.serve(conn) })
	}
}

func (b *breaker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == pathCall {
			b.mu.Lock()
			b.calls++
			b.mu.Unlock()
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (b *breaker) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls
}

func (b *breaker) url(path string) string { return "http://" + b.listener.Addr().String() + path }

func newRequest(t *testing.T, method, url, body, header string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if header != "" {
		req.Header.Set(header, "key-1")
	}
	return req
}

func warm(t *testing.T, transport http.RoundTripper, url string) {
	t.Helper()
	resp, err := transport.RoundTrip(newRequest(t, http.MethodGet, url, "", ""))
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// A contractor is billed twice. The endpoint takes the notice over a kept connection, runs it and dies before it
// answers; http.Transport takes the broken connection for one that idled out, and sends the notice once more to the
// endpoint's successor. Nobody sees an error. The cases without guard show that net/http does so to this day.
func TestBrokenConnectionDoesNotRepeat(t *testing.T) {
	cases := []struct {
		name, method, body, header string
	}{
		{"GET", http.MethodGet, "", ""},
		{"OPTIONS", http.MethodOptions, "", ""},
		{"POST with key and body", http.MethodPost, "notice", "Idempotency-Key"},
		{"POST with key, no body", http.MethodPost, "", "Idempotency-Key"},
		{"PUT with the other key", http.MethodPut, "notice", "X-Idempotency-Key"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Run("without guard", func(t *testing.T) {
				b := newBreaker(t)
				transport := NewTransport()
				defer transport.CloseIdleConnections()
				warm(t, transport, b.url(pathWarm))
				resp, err := transport.RoundTrip(newRequest(t, c.method, b.url(pathCall), c.body, c.header))
				if err == nil {
					resp.Body.Close()
					t.Fatal("an answer came from a server that gives none")
				}
				if got := b.count(); got < 2 {
					t.Errorf("the request arrived %d times: net/http no longer repeats it", got)
				}
			})
			t.Run("guarded", func(t *testing.T) {
				b := newBreaker(t)
				client := New(nil)
				defer client.transport.(*http.Transport).CloseIdleConnections()
				warm(t, client.transport, b.url(pathWarm))
				result, err := client.Do(newRequest(t, c.method, b.url(pathCall), c.body, c.header))
				if err == nil {
					t.Fatal("an answer came from a server that gives none")
				}
				if got := b.count(); got != 1 {
					t.Errorf("the request arrived %d times, want once", got)
				}
				if !result.MaybeSent {
					t.Error("a request that arrived was said not to be sent")
				}
			})
		})
	}
}

// Two aircraft are sent to one pad. A service confirms the slot and answers 307 with its own address; http.Client takes
// the redirect as a wish to get the call there, body and all.
func TestRedirectIsAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	calls := 0
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls++
		http.Redirect(w, r, pathCall, http.StatusTemporaryRedirect)
	})}
	go server.Serve(listener)
	defer server.Close()
	client := New(nil)
	defer client.transport.(*http.Transport).CloseIdleConnections()
	result, err := client.Do(newRequest(t, http.MethodPost, "http://"+listener.Addr().String()+pathCall, "slot", ""))
	if err != nil {
		t.Fatal(err)
	}
	result.Response.Body.Close()
	if result.Response.StatusCode != http.StatusTemporaryRedirect || calls != 1 {
		t.Errorf("status %d after %d calls, want the redirect after one", result.Response.StatusCode, calls)
	}
}

// A caller is told "not run" and asks again, while the first call still runs: that must not happen, so that a request
// counts as not sent only on proof.
func TestMaybeSent(t *testing.T) {
	b := newBreaker(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	plain := func() context.Context { return t.Context() }
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	breaksBeforeWrite := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.Close() },
	})
	silent := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go io.Copy(io.Discard, server)
		return client, nil
	}
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	// The transport goes on dialling when the request is given up.
	never := func(context.Context, string, string) (net.Conn, error) {
		<-over
		return nil, net.ErrClosed
	}
	fake := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errors.New("fake") })
	cases := []struct {
		name      string
		ctx       func() context.Context
		transport http.RoundTripper
		url       string
		want      bool
	}{
		{"nobody listens", plain, nil, "http://" + closed.Addr().String(), false},
		{"given up before the start", func() context.Context { return cancelled }, nil, b.url(pathCall), false},
		{"given up while connecting", short, &http.Transport{DialContext: never}, b.url(pathCall), false},
		{"connection breaks before the first byte", func() context.Context { return breaksBeforeWrite }, nil, b.url(pathCall), false},
		{"connection breaks after the request", plain, nil, b.url(pathCall), true},
		{"no answer in time", short, &http.Transport{DialContext: silent}, b.url(pathCall), true},
		{"transport of another type", plain, fake, b.url(pathCall), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := newRequest(t, http.MethodPost, c.url, "notice", "")
			result, err := New(c.transport).Do(req.WithContext(c.ctx()))
			if err == nil {
				t.Fatal("no error")
			}
			if result.MaybeSent != c.want {
				t.Errorf("maybe sent %t after %v, want %t", result.MaybeSent, err, c.want)
			}
		})
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// An inspector reads another's narration. The engine crosses answers; the one on this connection belongs to somebody
// else, and so may whatever follows on it, which the next request would take for its own.
func TestDiscardClosesTheConnection(t *testing.T) {
	b := newBreaker(t)
	client := New(nil)
	reused := false
	for range 2 {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
			GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
		})
		result, err := client.Do(newRequest(t, http.MethodGet, b.url(pathWarm), "", "").WithContext(ctx))
		if err != nil {
			t.Fatal(err)
		}
		result.Discard()
	}
	if reused {
		t.Error("a discarded connection was used again")
	}
}
