package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newBudget(t *testing.T, memory int64, log io.Writer) *Budget {
	t.Helper()
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return NewBudget(Resources{Memory: memory}, slog.New(slog.NewTextHandler(log, nil)), metrics)
}

// newConn returns a connection that no network carries.
func newConn(b *Budget) *Conn {
	l := b.Listen(nil, Options{Name: "test", MaxConnections: 100})
	side, _ := net.Pipe()
	return l.admit(side)
}

// testSite is an HTTP server whose connections are accounted for.
type testSite struct {
	t        *testing.T
	budget   *Budget
	listener *Listener
	address  string
}

func startSite(t *testing.T, memory int64, options Options, handler http.HandlerFunc) *testSite {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options.Name = "test"
	s := &testSite{t: t, budget: newBudget(t, memory, io.Discard), address: raw.Addr().String()}
	s.listener = s.budget.Listen(raw, options)
	// net/http serves a connection for a while after Close if its client may still be sending.
	var served atomic.Int64
	server := &http.Server{Handler: Handler(handler, nil), ConnContext: ConnContext, ConnState: func(conn net.Conn, state http.ConnState) {
		ConnState(conn, state)
		switch state {
		case http.StateNew:
			served.Add(1)
		case http.StateClosed:
			served.Add(-1)
		}
	}}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(s.listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
		s.await("all connections are gone", func() bool { return s.open() == 0 && served.Load() == 0 })
		if held := s.budget.Held(); held != 0 {
			t.Errorf("%d bytes are held without a connection", held)
		}
	})
	return s
}

func (s *testSite) open() int {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.listener.open + s.listener.lingering
}

func (s *testSite) await(what string, condition func() bool) {
	s.t.Helper()
	const limit = 10 * time.Second
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func (s *testSite) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// response reads a response without its body.
func (s *testSite) response(conn net.Conn) *http.Response {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Fatalf("no response: %v", err)
	}
	_ = response.Body.Close()
	return response
}

func ok(http.ResponseWriter, *http.Request) {}

func TestSharesOfAHost(t *testing.T) {
	for _, c := range []struct {
		memory                                      int64
		sockets                                     int
		clients, perService, idle, links, auxiliary int
		contents, large                             int64
		name                                        string
	}{
		{name: "a gateway's host", memory: 284_000_000, sockets: 3900, clients: 1083, perService: 812, idle: 243, links: 487, auxiliary: 60, contents: 71_000_000, large: 53_250_000},
		{name: "few descriptors", memory: 284_000_000, sockets: 300, clients: 103, perService: 77, idle: 18, links: 37, auxiliary: 8, contents: 71_000_000, large: 53_250_000},
		{name: "the least", memory: 64_000_000, sockets: 48, clients: 16, perService: 12, idle: 3, links: 8, auxiliary: 8, contents: 16_000_000, large: 12_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Resources{Memory: c.memory, Sockets: c.sockets}
			b := NewBudget(r, nil, nil)
			got := fmt.Sprint(r.ClientConnections(), r.RequestsPerService(), r.IdleConnections(), r.LinkConnections(), r.AuxiliaryConnections(), b.limit, b.largeLimit)
			if want := fmt.Sprint(c.clients, c.perService, c.idle, c.links, c.auxiliary, c.contents, c.large); got != want {
				t.Errorf("%s, want %s", got, want)
			}
			// A request in flight has a connection to its endpoint too. What remains is for the store, peers and agents.
			if used := 2*r.ClientConnections() + r.IdleConnections() + r.LinkConnections() + 2*r.AuxiliaryConnections(); c.sockets > 100 && used > c.sockets*95/100 {
				t.Errorf("%d of %d sockets can be taken", used, c.sockets)
			}
		})
	}
}

// Guards against small requests that find no room because of large ones.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	b := newBudget(t, 4<<20, io.Discard)
	large, small := newConn(b), newConn(b)
	if err := b.grow(large, b.largeLimit+1); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a large request takes the room of small ones: %v", err)
	}
	if err := b.grow(large, b.largeLimit); err != nil {
		t.Fatal(err)
	}
	if err := b.grow(small, smallBytes); err != nil {
		t.Errorf("a small request has no room beside a large one: %v", err)
	}
	if err := b.grow(small, 1); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a request that is no longer small takes the room of small ones: %v", err)
	}
}

// Guards against a client that makes progress and gives way to one that stands still, or to one that sends a byte now and then.
func TestWhoStandsStillYields(t *testing.T) {
	b := newBudget(t, 4<<20, io.Discard)
	start := time.Now()
	reading := func() *Conn {
		c := newConn(b)
		c.phase, c.progressAt = phaseBody, start
		if err := b.grow(c, b.largeLimit/4); err != nil {
			t.Fatal(err)
		}
		return c
	}
	still, drips, advances := reading(), reading(), reading()
	for now := start; now.Before(start.Add(3 * readStall)); now = now.Add(readStall / 10) {
		drips.progress(now, 1)
		advances.progress(now, minRate/8)
	}
	now := start.Add(3 * readStall)
	if !still.standsStill(now) || !drips.standsStill(now) || advances.standsStill(now) {
		t.Errorf("still: silent %v, one byte at a time %v, steady %v", still.standsStill(now), drips.standsStill(now), advances.standsStill(now))
	}
	newcomer := newConn(b)
	grow := func() error {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.growLocked(now, newcomer, b.largeLimit/2)
	}
	if err := grow(); err != nil || !still.yielded || drips.yielded || advances.yielded {
		t.Errorf("%v; yielded: %v, %v, %v; want only the one that has stood still longest", err, still.yielded, drips.yielded, advances.yielded)
	}
	if err := grow(); !errors.Is(err, ErrNoRoom) || advances.yielded {
		t.Errorf("%v; the one that makes progress has yielded: %v", err, advances.yielded)
	}
	if err := b.grow(still, 1); !errors.Is(err, ErrYielded) {
		t.Errorf("a connection that has given way grows: %v", err)
	}
}

// Guards against a pipelined head of very many lines that net/http has read together with the request before.
func TestPipelinedHeadsAreCharged(t *testing.T) {
	var mu sync.Mutex
	var held []int64
	hold := make(chan struct{})
	site := startSite(t, 64<<20, Options{MaxConnections: 10}, func(_ http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		c.listener.budget.mu.Lock()
		now := c.held
		c.listener.budget.mu.Unlock()
		mu.Lock()
		held = append(held, now)
		mu.Unlock()
		if r.URL.Path == "/second" {
			<-hold
		}
	})
	conn := site.dial()
	const lines = 500
	_, _ = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: s\r\n\r\nGET /second HTTP/1.1\r\nHost: s\r\n"+strings.Repeat("a:\n", lines)+"\r\n")
	site.await("both requests are served", func() bool { mu.Lock(); defer mu.Unlock(); return len(held) == 2 })
	if want := int64(requestBytes + lines*lineBytes - freeHeadBytes); held[0] >= requestBytes+freeHeadBytes || held[1] < want {
		t.Errorf("held %v, want at least %d for the second", held, want)
	}
	close(hold)
}

// Guards against a refusal that its client cannot read because it is still sending, and one that waits for the end of a request.
func TestRefusalIsReadByAClientThatStillSends(t *testing.T) {
	s := startSite(t, 1<<20, Options{MaxConnections: 10}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, r.Body, 0); errors.Is(err, ErrNoRoom) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for name, request := range map[string]string{
		"head": "GET / HTTP/1.1\r\nHost: s\r\n" + strings.Repeat("a:\n", 3000),
		"body": "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 10000000\r\n\r\n" + strings.Repeat("b", 100_000),
	} {
		t.Run(name, func(t *testing.T) {
			conn := s.dial()
			_, _ = io.WriteString(conn, request)
			response := s.response(conn)
			if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
				t.Errorf("refused with %s, to be closed: %v", response.Status, response.Close)
			}
			if after := response.Header.Get("Retry-After"); name == "head" && after == "" {
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}

// Guards against the rest of a body, which net/http reads after the handler has answered, that counts as the next head.
func TestBodyThatTheHandlerDoesNotRead(t *testing.T) {
	s := startSite(t, 64<<20, Options{MaxConnections: 10, MaxHeadBytes: func() int { return 1 << 10 }}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	})
	conn := s.dial()
	reader := bufio.NewReader(conn)
	for range 3 {
		const length = 100_000
		_, _ = io.WriteString(conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("b", length)))
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusNotFound {
			t.Fatalf("%v, %v", response, err)
		}
		_ = response.Body.Close()
	}
}

// Guards against a head over the operator's limit that is read on, and against a limit that one at the limit meets.
func TestLimitOfHeads(t *testing.T) {
	const limit = 8 << 10
	s := startSite(t, 64<<20, Options{MaxConnections: 10, MaxHeadBytes: func() int { return limit }}, ok)
	begin := "GET / HTTP/1.1\r\nHost: s\r\nConnection: close\r\nX: "
	conn := s.dial()
	_, _ = io.WriteString(conn, begin+strings.Repeat("x", limit-len(begin)-4)+"\r\n\r\n")
	if response := s.response(conn); response.StatusCode != http.StatusOK {
		t.Errorf("a head at the limit is answered with %s", response.Status)
	}
	conn = s.dial()
	_, _ = io.WriteString(conn, begin+strings.Repeat("x", 3*limit))
	if response := s.response(conn); response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head over the limit is answered with %s", response.Status)
	}
}

// Guards against connections that are kept from those who send something by others who send nothing.
func TestSilentConnectionsYield(t *testing.T) {
	const most = 8
	s := startSite(t, 64<<20, Options{MaxConnections: most}, ok)
	for range most {
		s.dial()
	}
	s.await("the listener is full", func() bool { return s.open() == most })
	time.Sleep(idleStall)
	for range 2 * most {
		conn := s.dial()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: s\r\n\r\n")
		if response := s.response(conn); response.StatusCode != http.StatusOK {
			t.Errorf("an ordinary request is answered with %s", response.Status)
		}
		time.Sleep(idleStall)
	}
}

// Guards against a listener that is full of requests in flight and leaves others without an answer.
func TestFullListenerRefuses(t *testing.T) {
	const most = 4
	hold, begun := make(chan struct{}), make(chan struct{}, most)
	s := startSite(t, 64<<20, Options{MaxConnections: most}, func(http.ResponseWriter, *http.Request) { begun <- struct{}{}; <-hold })
	defer close(hold)
	for range most {
		_, _ = io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: s\r\n\r\n")
		<-begun
	}
	conn := s.dial()
	response := s.response(conn)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("refused with %s, to come back after %q", response.Status, response.Header.Get("Retry-After"))
	}
}

// Guards against a drain that waits for clients who stand still.
func TestStalledRequestsYieldAtADrain(t *testing.T) {
	ended := make(chan error, 1)
	s := startSite(t, 64<<20, Options{MaxConnections: 4}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(r, r.Body, 0)
		ended <- err
	})
	_, _ = io.WriteString(s.dial(), "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\nhalf")
	s.await("the request gives way", func() bool {
		s.listener.YieldStalledRequests()
		return len(ended) > 0
	})
	if err := <-ended; !errors.Is(err, ErrYielded) {
		t.Errorf("the body ended with %v", err)
	}
}

// Guards against log lines that grow with the number of refusals.
func TestRefusalsAreLoggedAsSums(t *testing.T) {
	var log bytes.Buffer
	b := newBudget(t, 1<<20, &log)
	start := time.Now()
	note := func(at time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.noteRefusal(at, "test", "idle")
	}
	logged := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return !b.logging
	}
	for second := range 10 {
		for i := range 1000 {
			note(start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Millisecond))
		}
		for !logged() {
			time.Sleep(time.Millisecond)
		}
	}
	if lines := strings.Count(log.String(), "\n"); lines != 10 {
		t.Errorf("%d lines on 10,000 refusals in 10 s", lines)
	}
}

// Guards against bodies that are cut, too long or read beyond what is declared, and against a buffer beyond what was held for it.
func TestReadAll(t *testing.T) {
	sources := map[string]func(io.Reader) io.Reader{
		"at once":               func(r io.Reader) io.Reader { return r },
		"the end with the data": iotest.DataErrReader,
		"byte by byte":          iotest.OneByteReader,
	}
	for name, wrap := range sources {
		for _, length := range []int{0, 1, 511, 512, 513, 16 << 10, 16<<10 + 1, 100_000} {
			for _, declared := range []int64{-1, int64(length)} {
				var held int64
				text := strings.Repeat("b", length)
				body, err := readAll(wrap(strings.NewReader(text)), declared, 100_000, func(by int64) error { held += by; return nil })
				if err != nil || string(body) != text || held != int64(cap(body)) {
					t.Errorf("%s, %d bytes, declared %d: %d bytes, %v; %d held for %d", name, length, declared, len(body), err, held, cap(body))
				}
			}
		}
	}
	free := func(int64) error { return nil }
	for _, c := range []struct {
		length          int
		declared, limit int64
		want            error
	}{{101, -1, 100, ErrTooLong}, {101, 100, 0, ErrTooLong}, {100_000, -1, 99_999, ErrTooLong}} {
		if _, err := readAll(strings.NewReader(strings.Repeat("b", c.length)), c.declared, c.limit, free); !errors.Is(err, c.want) {
			t.Errorf("%d bytes, declared %d, limit %d: %v", c.length, c.declared, c.limit, err)
		}
	}
	if _, err := readAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10, 0, free); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that is cut: %v", err)
	}
}

// Guards against sums that drift: whatever clients send, nothing is held once they have left. startSite checks it at its end.
func TestSumsReturnToZero(t *testing.T) {
	const clients, memory = 40, 2 << 20
	s := startSite(t, memory, Options{MaxConnections: clients / 2, MaxHeadBytes: func() int { return 16 << 10 }}, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, r.Body, 256<<10)
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if Hold(r, 1000) == nil {
			defer func() { _ = Hold(r, -1000) }()
		}
		_, _ = w.Write(body)
		if len(body)%7 == 3 {
			panic(http.ErrAbortHandler)
		}
	})
	var crowd sync.WaitGroup
	for i := range clients {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		crowd.Go(func() {
			for range 20 {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(time.Duration(random.IntN(200)) * time.Millisecond))
				for range 1 + random.IntN(3) {
					body := strings.Repeat("\n", random.IntN(300<<10))
					request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n%s\r\n%s", len(body), strings.Repeat("a:\n", random.IntN(3000)), body)
					_, _ = io.WriteString(conn, request[:len(request)-random.IntN(2)*random.IntN(len(request))])
				}
				_, _ = io.CopyN(io.Discard, conn, int64(random.IntN(64<<10)))
				_ = conn.Close()
			}
		})
	}
	crowd.Wait()
	if held := s.budget.Held(); held > s.budget.limit {
		t.Errorf("%d bytes are held of %d", held, s.budget.limit)
	}
}
