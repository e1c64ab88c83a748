package process

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"balsamsail/internal/timeline"
)

func TestReadinessNamesItsReasons(t *testing.T) {
	cases := []struct {
		name       string
		reasons    []string
		wantStatus int
	}{
		{name: "ready", wantStatus: http.StatusOK},
		{name: "two reasons", reasons: []string{"no declarations yet", "draining"}, wantStatus: http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := NewServer(Options{Name: "entry-1", Ready: func() []string { return c.reasons }})
			answer := get(server, ReadyPath)
			if answer.Code != c.wantStatus {
				t.Fatalf("status %d, want %d", answer.Code, c.wantStatus)
			}
			var got Readiness
			if err := json.Unmarshal(answer.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if got.Process != "entry-1" || len(got.Reasons) != len(c.reasons) {
				t.Fatalf("got %+v, want reasons %q", got, c.reasons)
			}
		})
	}
}

func get(handler http.Handler, path string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
	return answer
}

func TestPaths(t *testing.T) {
	recorder := timeline.NewRecorder("entry-1", 4, timeline.NewHybridClock(time.Now))
	recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	full := NewServer(Options{Name: "entry-1", Metrics: NewRegistry(), Timeline: recorder})
	bare := NewServer(Options{})
	cases := []struct {
		name       string
		server     *Server
		path       string
		wantStatus int
		want       string
	}{
		{name: "health", server: full, path: HealthPath, wantStatus: 200, want: "ok"},
		{name: "ready without a function", server: full, path: ReadyPath, wantStatus: 200, want: `"ready":true`},
		{name: "runtime metrics", server: full, path: MetricsPath, wantStatus: 200, want: "go_goroutines"},
		{name: "process metrics", server: full, path: MetricsPath, wantStatus: 200, want: "process_resident_memory_bytes"},
		{name: "timeline", server: full, path: TimelinePath, wantStatus: 200, want: `"kind":"process.started"`},
		{name: "no metrics given", server: bare, path: MetricsPath, wantStatus: 404},
		{name: "no timeline given", server: bare, path: TimelinePath, wantStatus: 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			answer := get(c.server, c.path)
			if answer.Code != c.wantStatus || !strings.Contains(answer.Body.String(), c.want) {
				t.Fatalf("status %d, want %d and %q in\n%s", answer.Code, c.wantStatus, c.want, answer.Body)
			}
		})
	}
}

func TestNewLogger(t *testing.T) {
	cases := []struct {
		name    string
		level   string
		format  LogFormat
		want    string
		wantErr error
	}{
		{name: "text", level: "info", format: LogText, want: "level=WARN msg=w"},
		{name: "JSON", level: "INFO", format: LogJSON, want: `"level":"WARN","msg":"w"`},
		{name: "below the level", level: "error", format: LogText},
		{name: "unknown level", level: "info+1", format: LogText, wantErr: ErrLogLevel},
		{name: "unknown format", level: "info", format: "xml", wantErr: ErrLogFormat},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b strings.Builder
			logger, err := NewLogger(c.level, c.format, &b)
			if !errors.Is(err, c.wantErr) {
				t.Fatalf("error %v, want %v", err, c.wantErr)
			}
			if err != nil {
				return
			}
			logger.Debug("d")
			logger.Warn("w")
			if !strings.Contains(b.String(), c.want) || strings.Contains(b.String(), "msg=d") || (c.want == "") != (b.Len() == 0) {
				t.Fatalf("logged %q, want %q", b.String(), c.want)
			}
		})
	}
}

// testServer is a running Serve call.
type testServer struct {
	url  string
	stop context.CancelFunc
	done chan error
}

func startServer(t *testing.T, handler http.HandlerFunc, options ServeOptions) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s := &testServer{url: "http://" + listener.Addr().String(), stop: cancel, done: make(chan error, 1)}
	go func() { s.done <- Serve(ctx, listener, handler, options) }()
	return s
}

// newClient returns a client whose idle connections are closed at the end of the test.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// A process is stopped while a request is in flight and the load balancer still sends others. The request in flight must
// complete. The others must be answered with "Connection: close", because shutdown closes idle connections and a request
// just sent on one would be lost.
func TestStopCutsNoRequest(t *testing.T) {
	defer goleak.VerifyNone(t)
	started, release, stopping := make(chan struct{}), make(chan struct{}), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
		_, _ = io.WriteString(w, "whole")
	}
	s := startServer(t, handler, ServeOptions{
		LameDuck: 500 * time.Millisecond, OnStop: func() { close(stopping) },
	})
	client := newClient(t)
	slow := make(chan error, 1)
	go func() {
		body, _, err := fetch(client, s.url+"/slow")
		if err == nil && body != "whole" {
			err = errors.Errorf("body %q, want the complete response", body)
		}
		slow <- err
	}()
	<-started
	if _, closes, err := fetch(client, s.url); err != nil || closes {
		t.Fatalf("before the stop: connection closed %v, error %v; want a reusable connection", closes, err)
	}
	s.stop()
	<-stopping
	if _, closes, err := fetch(client, s.url); err != nil || !closes {
		t.Fatalf("in the lame-duck period: connection closed %v, error %v; want a response with Connection: close", closes, err)
	}
	for err := error(nil); err == nil; {
		_, _, err = fetch(client, s.url) // Repeat until the listener is closed, which means that draining has started.
	}
	close(release)
	if err := <-slow; err != nil {
		t.Fatalf("the request in flight: %v", err)
	}
	if err := <-s.done; err != nil {
		t.Fatalf("Serve returned %v", err)
	}
	client.CloseIdleConnections()
}

// fetch returns a response's body and whether the server closes the connection after it.
func fetch(client *http.Client, url string) (string, bool, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), response.Close, err
}

// Guards against a stop that counts as one with aborted requests although the last one has been answered in time: http.Server looks
// for idle connections only every half second.
func TestRequestThatEndsBeforeTheDrainTimeout(t *testing.T) {
	const drainTimeout = 900 * time.Millisecond
	entered := make(chan struct{})
	handler := func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		time.Sleep(drainTimeout - 100*time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}
	s := startServer(t, handler, ServeOptions{DrainTimeout: drainTimeout})
	answered := make(chan string, 1)
	go func() {
		body, _, _ := fetch(newClient(t), s.url)
		answered <- body
	}()
	<-entered
	s.stop()
	if err := <-s.done; err != nil {
		t.Errorf("Serve returned %v", err)
	}
	if body := <-answered; body != "whole" {
		t.Errorf("the client got %q", body)
	}
}

// A request never completes. Shutdown must stop waiting for it after DrainTimeout and report ErrDrainTimeout.
func TestDrainIsBounded(t *testing.T) {
	started := make(chan struct{})
	handler := func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}
	s := startServer(t, handler, ServeOptions{DrainTimeout: 50 * time.Millisecond})
	go func() { _, _, _ = fetch(http.DefaultClient, s.url) }()
	<-started
	s.stop()
	if err := <-s.done; !errors.Is(err, ErrDrainTimeout) {
		t.Fatalf("Serve returned %v, want ErrDrainTimeout", err)
	}
}

func TestServeFailsWithItsListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	err = Serve(t.Context(), listener, http.NotFoundHandler(), ServeOptions{Logger: slog.New(slog.DiscardHandler)})
	if !errors.Is(err, ErrServe) {
		t.Fatalf("error %v, want ErrServe", err)
	}
}

// A client sends an incomplete header and stalls: its connection must be closed after ReadHeaderTimeout.
func TestSlowHeaderIsCut(t *testing.T) {
	s := startServer(t, func(http.ResponseWriter, *http.Request) {}, ServeOptions{ReadHeaderTimeout: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost:"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		t.Fatalf("the connection was not closed: %v", err)
	}
	s.stop()
	if err := <-s.done; err != nil {
		t.Fatal(err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
