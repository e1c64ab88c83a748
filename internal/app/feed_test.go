package app

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/watch"
	"balsamsail/platform"
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

func (s *countingStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]watch.Row, int64, error) {
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
