package app

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/hubs"
	"balsamsail/internal/watch"
	"balsamsail/platform"
	"balsamsail/platform/standin"
)

// startDirectory registers a gateway in a store, and returns the lists of gateways that it has read.
func startDirectory(t *testing.T, ctx context.Context, address string, store *platform.Store) (<-chan []hubs.Gateway, <-chan struct{}) {
	t.Helper()
	d := newDirectory(hubs.Gateway{Address: address, FailureDomain: "here", Processor: 0.5}, nil, slog.New(slog.DiscardHandler))
	lists, done := make(chan []hubs.Gateway, 16), make(chan struct{})
	d.sink.onChange = func(list []hubs.Gateway) { lists <- list }
	go func() { defer close(done); d.register(ctx, store) }()
	return lists, done
}

func gatewayAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

// All gateways of a site start together, while the store is down. Each must know all others from its first list on: a list of
// those that registered first would make several hubs. One that restarts finds its registration and writes nothing.
func TestGatewaysThatStartTogetherKnowEachOther(t *testing.T) {
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	standIn.SetFaults(func(f *standin.StoreFaults) { f.Down = true })
	const n = 12
	var lists []<-chan []hubs.Gateway
	for i := range n {
		l, _ := startDirectory(t, t.Context(), gatewayAddress(i), store)
		lists = append(lists, l)
	}
	time.Sleep(200 * time.Millisecond)
	standIn.SetFaults(func(f *standin.StoreFaults) { f.Down = false })
	for i, l := range lists {
		select {
		case list := <-l:
			if len(list) != n {
				t.Errorf("gateway %d begins with %d gateways, want %d", i, len(list), n)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("gateway %d has no list", i)
		}
	}
	before := standIn.Calls()
	l, done := startDirectory(t, t.Context(), gatewayAddress(0), store)
	<-done
	if list := <-l; len(list) != n || standIn.Calls() != before+1 {
		t.Errorf("restart: %d gateways after %d calls, want %d after one", len(list), standIn.Calls()-before, n)
	}
}

// A gateway stops while the store does not answer: it must not go on trying.
func TestRegistrationEndsWithTheProcess(t *testing.T) {
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	standIn.SetFaults(func(f *standin.StoreFaults) { f.Down = true })
	ctx, cancel := context.WithCancel(t.Context())
	_, done := startDirectory(t, ctx, gatewayAddress(0), platform.NewStore(server.Listener.Addr().String()))
	time.Sleep(50 * time.Millisecond)
	cancel()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the registration goes on after the end")
	}
}

// Guards against a gateway that stays out of the list because it took another call's answer for that to its registration.
func TestRegistrationCountsOnceItIsListed(t *testing.T) {
	standIn := standin.NewStore()
	var writes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && writes.Add(1) == 1 {
			return
		}
		standIn.ServeHTTP(w, r)
	}))
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	_, done := startDirectory(t, t.Context(), gatewayAddress(0), store)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the registration does not end")
	}
	if rows, _, err := store.List(t.Context(), platform.GatewayTable); err != nil || len(rows) != 1 {
		t.Errorf("rows %v, error %v after %d writes, want one row", rows, err, writes.Load())
	}
}

// Guards against a gateway that the others no longer know because its row was overwritten or removed: it was written at the start only.
func TestOverwrittenRowOfAGatewayIsWrittenAgain(t *testing.T) {
	standIn := standin.NewStore()
	server := httptest.NewServer(standIn)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := platform.NewStore(server.Listener.Addr().String())
	self := hubs.Gateway{Address: gatewayAddress(0), FailureDomain: "here", Processor: 0.5}
	d := newDirectory(self, nil, slog.New(slog.DiscardHandler))
	d.sink.onChange = func([]hubs.Gateway) {}
	d.register(ctx, store)
	go d.keepRegistered(ctx, store)
	go watch.Run(ctx, store, d.replica, watch.Options{Wait: func() time.Duration { return 20 * time.Second }, MinBackoff: 10 * time.Millisecond, MaxBackoff: 20 * time.Millisecond}, d.logger)
	for _, overwrite := range []func(){
		func() { standIn.PutBytes(platform.GatewayTable, self.Address, []byte("\xff")) },
		func() { standIn.Remove(platform.GatewayTable, self.Address) },
		func() { standIn.PutBytes(platform.GatewayTable, self.Address, []byte(standin.NestedArrays(10_000))) },
	} {
		overwrite()
		const limit = 5 * time.Second
		for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
			rows, _, err := store.List(t.Context(), platform.GatewayTable)
			if err != nil {
				t.Fatal(err)
			}
			if len(rows) == 1 {
				if g, err := hubs.DecodeRow(rows[0].Key, rows[0].Value); err == nil && g == self {
					break
				}
			}
			if time.Now().After(deadline) {
				t.Fatalf("not registered again within %v: %+v", limit, rows)
			}
		}
	}
	time.Sleep(2 * registerBackoff)
	before := standIn.Calls()
	time.Sleep(2 * registerBackoff)
	if n := standIn.Calls() - before; n > 1 {
		t.Errorf("%d calls of the store in %v after that", n, 2*registerBackoff)
	}
}
