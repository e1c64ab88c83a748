package membership

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// waitTimeout bounds all waits of the tests; it is far longer than any of them needs.
const waitTimeout = 20 * time.Second

// receive receives a value from c, or fails the test after waitTimeout.
func receive[T any](t *testing.T, c <-chan T, failure string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		t.Fatal(failure)
		panic("not reached")
	}
}

// eventually polls until holds returns true, or fails the test after waitTimeout.
func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// fakeAgent is an agent whose streams are served by the test.
type fakeAgent struct {
	t                 *testing.T
	address           string
	control, requests chan *wire.Stream
	stop              func()
}

// newAgent starts an agent that listens at the given address, or at any free one if it is empty.
func newAgent(t *testing.T, address string) *fakeAgent {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{t: t, address: listener.Addr().String(), control: make(chan *wire.Stream, 64), requests: make(chan *wire.Stream, 64)}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() {
		_ = wire.Serve(ctx, listener, wire.DefaultOptions(), slog.New(slog.DiscardHandler),
			func(ctx context.Context, h *wirepb.StreamHeader, s *wire.Stream) {
				if h.Kind == wirepb.StreamKind_CONTROL {
					s.SetLimit(wire.MaxControlBytes)
					a.control <- s
				} else {
					a.requests <- s
				}
				<-ctx.Done()
			})
	})
	a.stop = sync.OnceFunc(func() {
		cancel()
		serving.Wait()
	})
	t.Cleanup(a.stop)
	return a
}

// acceptControl returns the control stream of the next connection.
func (a *fakeAgent) acceptControl() *wire.Stream {
	a.t.Helper()
	return receive(a.t, a.control, "the manager did not connect to the agent")
}

// report sends a status on a control stream.
func (a *fakeAgent) report(s *wire.Stream, status *wirepb.Status) {
	a.t.Helper()
	if err := s.Write(&wirepb.ControlUp{Status: status}); err != nil {
		a.t.Fatal(err)
	}
}

// fakeHostList is a host list that is set by the test.
type fakeHostList struct {
	mu      sync.Mutex
	hosts   []backing.Host
	version uint64
	err     error
	reads   int
}

func (l *fakeHostList) Hosts(context.Context) ([]backing.Host, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.hosts, l.version, l.err
}

func (l *fakeHostList) set(hosts ...backing.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.err = hosts, nil
	l.version++
}

func (l *fakeHostList) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = backing.ErrUnavailable
}

// waitForReread waits for two more reads; the second one began after the call.
func (l *fakeHostList) waitForReread(t *testing.T) {
	t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.reads
	}
	from := count()
	eventually(t, "the host list was not read again", func() bool { return count() >= from+2 })
}

// host returns a listed host of the endpoint "engine" at the agent's address.
func (a *fakeAgent) host(id string, s backing.HostState) backing.Host {
	return backing.Host{ID: id, Role: backing.RoleEndpoint, State: s, Address: a.address, Endpoint: "engine"}
}

// recordingObserver is an observer that records the events it gets.
type recordingObserver struct {
	mu     sync.Mutex
	events []string
}

func (o *recordingObserver) record(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, fmt.Sprintf(format, args...))
}

func (o *recordingObserver) Connected(endpoint string) { o.record("connected") }
func (o *recordingObserver) Lost(endpoint string)      { o.record("lost") }
func (o *recordingObserver) Changed()                  {}

func (o *recordingObserver) Reported(_ string, up *wirepb.ControlUp) {
	o.record("reported %d", up.Status.GetIncarnation())
}

func (o *recordingObserver) count(event string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, e := range o.events {
		if e == event {
			n++
		}
	}
	return n
}

func (o *recordingObserver) waitFor(t *testing.T, event string, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("got fewer than %d events %q", n, event), func() bool { return o.count(event) >= n })
}

// startManager runs a manager with the given host list until the test ends.
func startManager(t *testing.T, list *fakeHostList, observer Observer, change func(*Options)) *Manager {
	t.Helper()
	o := DefaultOptions()
	o.EntryID, o.Incarnation = "entry-1", 7
	o.ListInterval, o.RedialDelay, o.BatchDelay = 2*time.Millisecond, 2*time.Millisecond, time.Millisecond
	o.HeartbeatInterval, o.SilenceLimit = 20*time.Millisecond, time.Hour
	if change != nil {
		change(&o)
	}
	m := NewManager(o, list, clock.Real{}, slog.New(slog.DiscardHandler), prometheus.NewRegistry(),
		timeline.NewRecorder("entry-1", 64, timeline.NewHybridClock(time.Now)))
	if observer != nil {
		m.Observe(observer)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		receive(t, ended, "Run did not return")
	})
	return m
}

// awaitEndpoint waits until the text of the endpoint "engine" is as wanted.
func awaitEndpoint(t *testing.T, m *Manager, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if e := m.Endpoint("engine"); e != nil {
			got = e.text()
		}
		if got == want {
			return
		}
	}
	t.Fatalf("endpoint is %q, want %q", got, want)
}
