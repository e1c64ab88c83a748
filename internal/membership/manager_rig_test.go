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

// patience bounds what a test waits for; it is far above what any of them needs.
const patience = 20 * time.Second

// within waits for a value.
func within[T any](t *testing.T, c <-chan T, otherwise string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal(otherwise)
		panic("not reached")
	}
}

// eventually polls until a condition holds.
func eventually(t *testing.T, otherwise string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(otherwise)
		}
	}
}

// scriptedAgent is an agent whose streams the test serves.
type scriptedAgent struct {
	t                 *testing.T
	address           string
	control, requests chan *wire.Stream
	stop              func()
}

// newAgent listens as an agent does, at an address or at any.
func newAgent(t *testing.T, address string) *scriptedAgent {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	a := &scriptedAgent{t: t, address: listener.Addr().String(), control: make(chan *wire.Stream, 64), requests: make(chan *wire.Stream, 64)}
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

// connected returns the control stream of the next connection.
func (a *scriptedAgent) connected() *wire.Stream {
	a.t.Helper()
	return within(a.t, a.control, "the entry does not connect")
}

// report sends a status.
func (a *scriptedAgent) report(s *wire.Stream, status *wirepb.Status) {
	a.t.Helper()
	if err := s.Write(&wirepb.ControlUp{Status: status}); err != nil {
		a.t.Fatal(err)
	}
}

// scriptedList is the host list.
type scriptedList struct {
	mu      sync.Mutex
	hosts   []backing.Host
	version uint64
	err     error
	reads   int
}

func (l *scriptedList) Hosts(context.Context) ([]backing.Host, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.hosts, l.version, l.err
}

func (l *scriptedList) set(hosts ...backing.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.err = hosts, nil
	l.version++
}

func (l *scriptedList) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = backing.ErrUnavailable
}

// readAgain waits for two more reads, of which the second began after now.
func (l *scriptedList) readAgain(t *testing.T) {
	t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.reads
	}
	from := count()
	eventually(t, "the list is not read", func() bool { return count() >= from+2 })
}

// host is a listed host of "engine" at an agent's address.
func (a *scriptedAgent) host(id string, s backing.HostState) backing.Host {
	return backing.Host{ID: id, Role: backing.RoleEndpoint, State: s, Address: a.address, Endpoint: "engine"}
}

// watcher is an observer that notes what it is told.
type watcher struct {
	mu     sync.Mutex
	events []string
}

func (w *watcher) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf(format, args...))
}

func (w *watcher) Connected(endpoint string) { w.note("connected") }
func (w *watcher) Lost(endpoint string)      { w.note("lost") }
func (w *watcher) Changed()                  {}

func (w *watcher) Reported(_ string, up *wirepb.ControlUp) {
	w.note("reported %d", up.Status.GetIncarnation())
}

func (w *watcher) count(event string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.events {
		if e == event {
			n++
		}
	}
	return n
}

func (w *watcher) has(t *testing.T, event string, n int) {
	t.Helper()
	eventually(t, fmt.Sprintf("not %d times %q", n, event), func() bool { return w.count(event) >= n })
}

// startManager runs a manager over a list until the test ends.
func startManager(t *testing.T, list *scriptedList, observer Observer, change func(*Options)) *Manager {
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
		within(t, ended, "Run does not end")
	})
	return m
}

// endpoint waits until the endpoint "engine" reads as told.
func awaitEndpoint(t *testing.T, m *Manager, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if e := m.Endpoint("engine"); e != nil {
			got = e.text()
		}
		if got == want {
			return
		}
	}
	t.Fatalf("the endpoint is %s, want %s", got, want)
}
