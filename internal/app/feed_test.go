package app

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/settings"
	"balsamsail/internal/watch"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

// scriptedHub is a hub whose copy of every table was last confirmed at a time.
type scriptedHub struct {
	mu        sync.Mutex
	own       bool
	confirmed time.Time
}

func (h *scriptedHub) IsOwnHub() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

func (h *scriptedHub) ConfirmedAt(string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

func (h *scriptedHub) confirm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = time.Now()
}

// countingStore is an empty store that counts its calls.
type countingStore struct {
	mu    sync.Mutex
	calls int
}

func (s *countingStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *countingStore) taken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

func (s *countingStore) List(context.Context, string) ([]watch.Row, int64, error) {
	s.count()
	return nil, 1, nil
}

func (s *countingStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration, _ int) ([]watch.Row, int64, error) {
	s.count()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

// An outage of the store for a few hosts, the hub among them. Behind a hub that confirms its tables a gateway makes no call;
// it reads the store within two seconds of the hub's last confirmation, the shortest bound for configurations on any site,
// and stops when the hub is back.
func TestGatewayReadsTheStoreWhileItsHubCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub, store := &scriptedHub{}, &countingStore{}
		hub.confirm()
		f := &feed{
			replica:  watch.NewReplica(platform.OperatorTable, discardSink{}),
			source:   store,
			options:  watch.Options{Wait: func() time.Duration { return time.Second }, MinBackoff: time.Second, MaxBackoff: time.Second},
			upstream: hub,
			logger:   slog.New(slog.DiscardHandler),
			started:  time.Now(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.run(ctx) }()
		confirmFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				hub.confirm()
			}
		}
		confirmFor(10 * time.Second)
		if n := store.taken(); n != 0 {
			t.Errorf("%d calls of the store behind a hub that confirms its tables", n)
		}
		time.Sleep(2*time.Second - 250*time.Millisecond)
		if store.taken() == 0 {
			t.Error("no call of the store within 2 s of the hub's last confirmation")
		}
		confirmFor(time.Second)
		store.taken()
		confirmFor(10 * time.Second)
		if n := store.taken(); n != 0 {
			t.Errorf("%d calls of the store after the hub has returned", n)
		}
		cancel()
		<-done
	})
}

// discardSink discards what it receives.
type discardSink struct{}

func (discardSink) Replace([]watch.Row) {}
func (discardSink) Apply([]watch.Row)   {}
func (discardSink) Unavailable(error)   {}
func (discardSink) Available()          {}

// countingSink counts the rows that it receives.
type countingSink struct{ rows atomic.Int64 }

func (s *countingSink) Replace(rows []watch.Row) { s.Apply(rows) }
func (s *countingSink) Apply(rows []watch.Row)   { s.rows.Add(int64(len(rows))) }
func (*countingSink) Unavailable(error)          {}
func (*countingSink) Available()                 {}

// Guards against a gateway that keeps an old configuration for seconds after the store is well again, because it waits for the
// answer to a call for changes that the store has lost.
func TestLostCallDelaysNoConfiguration(t *testing.T) {
	// inTouch is the time after an outage of the store from which the platform expects configurations to be in force.
	const inTouch = 3 * time.Second
	s := defaultStoreSettings(t)
	for name, wait := range map[string]time.Duration{"mesh": s.Wait, "hub": s.HubWait} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			server := httptest.NewServer(store)
			defer server.Close()
			sink := &countingSink{}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				options := watchOptions(s, func() time.Duration { return wait }, nil)
				source := platform.NewStore(server.Listener.Addr().String())
				watch.Run(ctx, source, watch.NewReplica(platform.OperatorTable, sink), options, slog.New(slog.DiscardHandler))
			}()
			defer func() { cancel(); <-done }()
			awaitFor := func(d time.Duration, what string, condition func() bool) {
				t.Helper()
				for end := time.Now().Add(d); !condition(); time.Sleep(5 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("not within %v: %s", d, what)
					}
				}
			}
			store.Put(standin.OperatorTable, standin.ConfigKey, "first")
			awaitFor(inTouch, "the first version is in force", func() bool { return sink.rows.Load() == 1 })
			calls := store.Calls()
			store.SetFaults(func(f *standin.StoreFaults) { f.Unresponsive = true })
			awaitFor(10*time.Second, "a call is lost", func() bool { return store.Calls() > calls })
			store.SetFaults(func(f *standin.StoreFaults) { f.Unresponsive = false })
			store.Put(standin.OperatorTable, standin.ConfigKey, "second")
			awaitFor(inTouch, "the second version is in force", func() bool { return sink.rows.Load() == 2 })
		})
	}
}

// defaultStoreSettings returns the settings of the store that a gateway has where its file names none.
func defaultStoreSettings(t *testing.T) settings.Store {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.ini")
	text := "[gateway]\nhost = h\nfailure_domain = d\nlisten = 127.0.0.1:1\nreadiness_listen = 127.0.0.1:2\n" +
		"[store]\naddress = 127.0.0.1:3\n[control]\nlisten = 127.0.0.1:4\nagent_port = 5\n" +
		"[retries]\nshare = 0.2\nextra = 50\nwindow = 10s\n[drain]\ngrace = 8s\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g, err := settings.LoadGateway(path)
	if err != nil {
		t.Fatal(err)
	}
	return g.Store
}
