package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/admission"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// blockingEngine answers a read of its state only when the test releases it.
type blockingEngine struct {
	endpoint.Engine
	release chan struct{}
}

func (e blockingEngine) State(context.Context) (endpoint.EngineState, error) {
	<-e.release
	return endpoint.EngineState{Incarnation: "1", MemoryBytes: 100}, nil
}

// emptyTable is a table without rows.
type emptyTable struct{ backing.Table }

func (emptyTable) Commit(context.Context, backing.Txn) (uint64, error) { return 1, nil }
func (emptyTable) List(context.Context, string, uint64) (backing.Listing, error) {
	return backing.Listing{Revision: 1}, nil
}

func newUnstartedAgent(kind string, engine endpoint.Engine) *Agent {
	options := Options{
		Endpoint: "e", Kind: kind, Capacity: 1, OrderTimeout: time.Hour, DrainTimeout: time.Minute,
		Queue: admission.Options{MaxWaiting: 8}, Loading: loading.Options{Engine: "e", OrderLifetime: time.Second},
	}
	return New(options, Dependencies{
		Engine: engine, Table: emptyTable{}, Policy: idle.NewPolicy(idle.Options{}), Clock: clock.Real{},
		Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		Recorder: timeline.NewRecorder("e", 16, timeline.NewHybridClock(time.Now)),
	})
}

// An agent is frozen while it reads its engine's state. When it continues, the machine asks again, and the first read's
// answer arrives too. If it were taken as the answer to the second request, the second read's answer would be taken as
// that of a later request, made after an order had changed the engine.
func TestAnswersOfTheEngineNameTheirRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := blockingEngine{release: make(chan struct{})}
		a := newUnstartedAgent(KindEngine, engine)
		ctx, stop := context.WithCancel(t.Context())
		a.core.executor = newOrderExecutor(ctx, a)
		a.core.step(loading.Tick{})
		a.core.step(loading.RowsRead{Revision: 1})
		go a.runEngineReads(ctx)
		synctest.Wait()
		time.Sleep(time.Minute)
		a.core.step(loading.Tick{})
		engine.release <- struct{}{}
		synctest.Wait()
		if a.core.isReady() {
			t.Error("the answer of the first read was accepted for the second")
		}
		engine.release <- struct{}{}
		synctest.Wait()
		if !a.core.isReady() {
			t.Error("the answer of the second read was not accepted")
		}
		stop()
		close(engine.release)
		synctest.Wait()
	})
}

// An agent is stopped while it unloads a model. If it stopped at once, the order could reach an engine that ignores
// fencing tokens after the next agent had begun to serve the same model, and abort that agent's requests.
func TestPlannedStopWaitsForUnloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newUnstartedAgent(KindEngine, nil)
		a.unloads.enter()
		ended := make(chan error, 1)
		go func() { ended <- a.drain() }()
		time.Sleep(10 * time.Second)
		select {
		case <-ended:
			t.Fatal("stopped with an unload in flight")
		default:
		}
		a.unloads.exit()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// A restarted engine has lost its models, and its agent detects this seconds later. Until then the engine's "not found"
// must not be relayed to callers as the answer to their requests.
func TestEngineThatHasNotLoadedTheModelRefuses(t *testing.T) {
	model, service := admission.Target{Model: "m@1"}, admission.Target{Service: "ledger"}
	cases := []struct {
		name   string
		target admission.Target
		status int
		want   bool
	}{
		{"model not loaded", model, http.StatusNotFound, true},
		{"engine too busy", model, http.StatusServiceUnavailable, true},
		{"too many requests", model, http.StatusTooManyRequests, true},
		{"answer", model, http.StatusOK, false},
		{"request that the engine rejects as invalid", model, http.StatusBadRequest, false},
		{"not found by a plain service", service, http.StatusNotFound, false},
		{"plain service too busy", service, http.StatusServiceUnavailable, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := &exchange{target: c.target}
			if got := x.engineRefused(&http.Response{StatusCode: c.status}); got != c.want {
				t.Errorf("refused: %v, want %v", got, c.want)
			}
		})
	}
}

// A service hangs for half a minute during a request. Afterwards each request with a deadline of a few seconds was
// refused at once, because the only observed service time exceeded it, and no request ran that could have shown a
// shorter one.
func TestOneSlowRequestDoesNotShutTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newUnstartedAgent(KindService, nil)
		a.core.executor = newOrderExecutor(t.Context(), a)
		a.core.setServiceUp(true)
		target := admission.Target{Service: "ledger"}
		a.core.times.Observe(target, 30*time.Second)
		offer := func(id string) *admission.Refusal {
			return a.core.offer(newPendingRequest(admission.Request{
				ID: id, Target: target, Class: wirepb.Class_INTERACTIVE, Arrived: time.Now(), Deadline: time.Now().Add(8 * time.Second),
			}))
		}
		if offer("first") == nil {
			t.Fatal("a request with a longer expected time than its deadline was accepted at once")
		}
		const tries = 20
		for range tries {
			time.Sleep(time.Second)
			if offer("next") == nil {
				return
			}
		}
		t.Errorf("%d requests in a row were refused although nothing runs", tries)
	})
}

// An agent was frozen, and its entry has made a second connection. The agent accepts the old connection after the new
// one, and the old one ends. Messages to all entries, such as the release of a model, must still reach the entry, which
// would otherwise wait forever before it grants the model to another engine.
func TestEntryIsToldOverTheStreamThatIsLeft(t *testing.T) {
	a := newUnstartedAgent(KindEngine, nil)
	a.options.HeartbeatInterval = time.Second
	ctx, stop := context.WithCancel(t.Context())
	a.core.executor = newOrderExecutor(ctx, a)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = wire.Serve(ctx, listener, wire.DefaultOptions(), a.logger, a.serveStream) })
	defer serving.Wait()
	defer stop()
	connect := func() (*wire.Session, *wire.Stream) {
		session, err := wire.Dial(ctx, listener.Addr().String(), wire.DefaultOptions(), a.logger)
		if err != nil {
			t.Fatal(err)
		}
		stream, err := session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: "entry-1"}, wire.MaxControlBytes)
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Read(&wirepb.ControlUp{}); err != nil {
			t.Fatal(err)
		}
		return session, stream
	}
	working, left := connect()
	defer func() { _ = working.Close() }()
	stale, _ := connect()
	_ = stale.Close()
	for a.countStreams() > 1 {
		time.Sleep(time.Millisecond)
	}
	a.confirmRelease(loading.ConfirmRelease{Model: "m@1", Revision: 7})
	_ = left.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		up := &wirepb.ControlUp{}
		if err := left.Read(up); err != nil {
			t.Fatalf("the release was not received: %v", err)
		}
		if len(up.Releases) > 0 {
			return
		}
	}
}

func (a *Agent) countStreams() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.streams)
}
