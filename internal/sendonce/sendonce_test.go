package sendonce

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
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

// abortServer is a raw TCP server that answers pathWarm. It reads and counts each other request and then closes its
// connection without a response.
type abortServer struct {
	listener net.Listener
	handlers sync.WaitGroup

	mu    sync.Mutex
	calls int
}

func newAbortServer(t *testing.T) *abortServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &abortServer{listener: listener}
	s.handlers.Go(s.accept)
	t.Cleanup(func() {
		listener.Close()
		s.handlers.Wait()
	})
	return s
}

func (s *abortServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.handlers.Go(func() { s.serve(conn) })
	}
}

func (s *abortServer) serve(conn net.Conn) {
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
			s.mu.Lock()
			s.calls++
			s.mu.Unlock()
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *abortServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *abortServer) url(path string) string { return "http://" + s.listener.Addr().String() + path }

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

func warmUp(t *testing.T, transport http.RoundTripper, url string) {
	t.Helper()
	resp, err := transport.RoundTrip(newRequest(t, http.MethodGet, url, "", ""))
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// The endpoint receives a request over a reused connection, runs it and crashes before it responds. http.Transport
// treats this like an idle connection that was closed and sends the request again, so that it runs twice and no error
// is reported. The cases without Client show that net/http still does this.
func TestBrokenConnectionDoesNotRepeat(t *testing.T) {
	cases := []struct {
		name, method, body, header string
	}{
		{"GET", http.MethodGet, "", ""},
		{"OPTIONS", http.MethodOptions, "", ""},
		{"POST with key and body", http.MethodPost, "notice", "Idempotency-Key"},
		{"POST with key, no body", http.MethodPost, "", "Idempotency-Key"},
		{"PUT with X-Idempotency-Key", http.MethodPut, "notice", "X-Idempotency-Key"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Run("http.Transport alone", func(t *testing.T) {
				b := newAbortServer(t)
				transport := NewTransport()
				defer transport.CloseIdleConnections()
				warmUp(t, transport, b.url(pathWarm))
				resp, err := transport.RoundTrip(newRequest(t, c.method, b.url(pathCall), c.body, c.header))
				if err == nil {
					resp.Body.Close()
					t.Fatal("got a response from a server that sends none")
				}
				if got := b.count(); got < 2 {
					t.Errorf("the request arrived %d times, want at least 2: net/http no longer retries it", got)
				}
			})
			t.Run("Client", func(t *testing.T) {
				b := newAbortServer(t)
				client := New(nil)
				defer client.CloseIdleConnections()
				warmUp(t, client.transport, b.url(pathWarm))
				result, err := client.Do(newRequest(t, c.method, b.url(pathCall), c.body, c.header))
				if err == nil {
					t.Fatal("got a response from a server that sends none")
				}
				if got := b.count(); got != 1 {
					t.Errorf("the request arrived %d times, want once", got)
				}
				if !result.MaybeSent {
					t.Error("MaybeSent is false for a request that arrived")
				}
			})
		})
	}
}

// A service runs a request and responds with a 307 that names another address. http.Client would send the request there
// again, including its body; Client must return the redirect.
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
	defer client.CloseIdleConnections()
	result, err := client.Do(newRequest(t, http.MethodPost, "http://"+listener.Addr().String()+pathCall, "slot", ""))
	if err != nil {
		t.Fatal(err)
	}
	result.Response.Body.Close()
	if result.Response.StatusCode != http.StatusTemporaryRedirect || calls != 1 {
		t.Errorf("status %d after %d calls, want 307 after 1 call", result.Response.StatusCode, calls)
	}
}

// If a request that still runs were reported as not sent, its caller would retry it and it would run twice. MaybeSent
// may be false only if it is certain that nothing was sent.
func TestMaybeSent(t *testing.T) {
	b := newAbortServer(t)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedListener.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	background := func() context.Context { return t.Context() }
	withTimeout := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	closesBeforeWrite := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.Close() },
	})
	dialNoResponse := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go io.Copy(io.Discard, server)
		return client, nil
	}
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	// The transport continues dialing after the request was cancelled.
	dialHangs := func(context.Context, string, string) (net.Conn, error) {
		<-testDone
		return nil, net.ErrClosed
	}
	failingTransport := roundTripper(func(*http.Request) (*http.Response, error) { return nil, errors.New("fake") })
	cases := []struct {
		name      string
		ctx       func() context.Context
		transport http.RoundTripper
		url       string
		want      bool
	}{
		{"connection refused", background, nil, "http://" + closedListener.Addr().String(), false},
		{"cancelled before the start", func() context.Context { return cancelled }, nil, b.url(pathCall), false},
		{"timeout while connecting", withTimeout, &http.Transport{DialContext: dialHangs}, b.url(pathCall), false},
		{"connection closed before the first byte", func() context.Context { return closesBeforeWrite }, nil, b.url(pathCall), false},
		{"connection closed after the request", background, nil, b.url(pathCall), true},
		{"timeout waiting for the response", withTimeout, &http.Transport{DialContext: dialNoResponse}, b.url(pathCall), true},
		{"transport of another type", background, failingTransport, b.url(pathCall), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := newRequest(t, http.MethodPost, c.url, "notice", "")
			result, err := New(c.transport).Do(req.WithContext(c.ctx()))
			if err == nil {
				t.Fatal("Do succeeded, want an error")
			}
			if result.MaybeSent != c.want {
				t.Errorf("MaybeSent is %t after error %v, want %t", result.MaybeSent, err, c.want)
			}
		})
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// An engine sends a response to another request. Whatever follows on its connection may also belong to other requests,
// and the next request on it would read that as its own response.
func TestDiscardClosesTheConnection(t *testing.T) {
	b := newAbortServer(t)
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
		t.Error("a discarded connection was reused")
	}
}

// repeatServer answers each request with a body that names the request's path, or with none if the path ends with "/empty", and counts
// the connections.
func newRepeatServer(t *testing.T) (url string, connections func(path string) []string) {
	t.Helper()
	var mu sync.Mutex
	over := make(map[string][]string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		over[r.URL.Path] = append(over[r.URL.Path], r.RemoteAddr)
		mu.Unlock()
		w.Header().Set("Path", r.URL.Path)
		if !strings.HasSuffix(r.URL.Path, "/empty") {
			_, _ = io.WriteString(w, r.URL.Path)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL, func(path string) []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(over[path])
	}
}

// Guards against a response to an earlier sending of a message being taken for that to a later one on the same connection.
func TestConnectionCarriesAMessageOnce(t *testing.T) {
	url, connections := newRepeatServer(t)
	client := New(nil)
	defer client.CloseIdleConnections()
	var sent Message
	for range 3 {
		for _, path := range []string{"/message", "/other"} {
			history := &sent
			if path == "/other" {
				history = &Message{}
			}
			result, err := client.DoMatched(func() *http.Request {
				return newRequest(t, http.MethodPost, url+path, "notice", "")
			}, history, func(*http.Response, Connection) error { return nil })
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, result.Response.Body)
			_ = result.Response.Body.Close()
		}
	}
	used := connections("/message")
	slices.Sort(used)
	if len(slices.Compact(used)) != 3 {
		t.Errorf("the message was sent over %v, want three connections", used)
	}
	if got := len(connections("/other")); got != 3 {
		t.Errorf("the other requests arrived %d times, want 3", got)
	}
}

// Guards against a connection being used for the next request before its last response, which has no body, is known to be the one that
// was awaited: the next request would be lost with the connection, or get the response that is still to come.
func TestConnectionIsFreeOnlyAfterTheMatch(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		t.Run(fmt.Sprintf("accepted %t", accepted), func(t *testing.T) {
			url, connections := newRepeatServer(t)
			client := New(nil)
			defer client.CloseIdleConnections()
			next := make(chan error, 1)
			errNotMatched := errors.New("not matched")
			send := func(path string, match func(*http.Response, Connection) error) error {
				result, err := client.DoMatched(func() *http.Request {
					return newRequest(t, http.MethodPost, url+path, "notice", "")
				}, &Message{}, match)
				if err == nil {
					_, _ = io.Copy(io.Discard, result.Response.Body)
					_ = result.Response.Body.Close()
				}
				return err
			}
			err := send("/first/empty", func(*http.Response, Connection) error {
				go func() { next <- send("/next", func(*http.Response, Connection) error { return nil }) }()
				time.Sleep(50 * time.Millisecond)
				if len(connections("/next")) > 0 {
					t.Error("the next request was sent before the response was matched")
				}
				if accepted {
					return nil
				}
				return errNotMatched
			})
			if accepted != (err == nil) || !accepted && !errors.Is(err, errNotMatched) {
				t.Errorf("error %v for the first request", err)
			}
			if err := <-next; err != nil {
				t.Errorf("error %v for the next request", err)
			}
			if same := connections("/next")[0] == connections("/first/empty")[0]; same != accepted {
				t.Errorf("the next request used the same connection: %t, want %t", same, accepted)
			}
		})
	}
}

// Guards against a request losing its connection to an earlier one that used it, whose response had been read to its end.
func TestDiscardLeavesAConnectionThatIsUsedAgain(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/next" {
			close(arrived)
			<-proceed
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	defer server.Close()
	client := New(nil)
	defer client.CloseIdleConnections()
	first, err := client.Do(newRequest(t, http.MethodPost, server.URL+"/first", "", ""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, first.Response.Body); err != nil {
		t.Fatal(err)
	}
	next := make(chan error, 1)
	go func() {
		result, err := client.Do(newRequest(t, http.MethodPost, server.URL+"/next", "", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, result.Response.Body)
			_ = result.Response.Body.Close()
		}
		next <- err
	}()
	<-arrived
	first.Discard()
	close(proceed)
	if err := <-next; err != nil {
		t.Errorf("the next request on the connection failed: %v", err)
	}
}
