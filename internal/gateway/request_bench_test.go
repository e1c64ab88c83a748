package gateway

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
	"balsamsail/internal/routing"
	"balsamsail/internal/streams"
)

// BenchmarkRequest sends one request after another through a gateway to an endpoint that answers at once.
func BenchmarkRequest(b *testing.B) {
	f := fleet.New("here", 1)
	f.SetConfig(testConfig())
	f.SetEndpoints([]catalog.Endpoint{{ID: "engine-1", Service: "engine", Address: listenRaw(b), Models: []string{"m"}, Revision: 1}})
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		b.Fatal(err)
	}
	options := Options{
		Budget: routing.BudgetOptions{Burst: 100}, GatewayCount: func() int { return 1 }, InContact: func() bool { return true },
		Crashes: crashes.New(), Parts: crashes.NewParts(f.MayHaveEnded), Streams: streams.New(),
	}
	gateway := New(options, testCodec{}, f, &http.Transport{}, slog.New(slog.DiscardHandler), metrics)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://site/chat/", strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		request.Header = http.Header{"Id": {"a"}, "Model": {"m"}}
		w := discardWriter{header: make(http.Header)}
		gateway.ServeHTTP(&w, request)
		if w.status != http.StatusOK {
			b.Fatalf("status %d", w.status)
		}
	}
}

// listenRaw starts an endpoint that sends each request the same stream of one event, and returns its address.
func listenRaw(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerRaw(conn)
		}
	}()
	return listener.Addr().String()
}

func answerRaw(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\nContent-Length: 15\r\n\r\nid: 1\ndata: 1\n\n")
	}
}

// discardWriter is a http.ResponseWriter that keeps only the status.
type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) WriteHeader(status int)      { w.status = status }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) Flush()                      {}
