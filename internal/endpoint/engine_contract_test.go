package endpoint_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
	"balsamsail/internal/standin/engine"
)

const (
	credentials = "secret"
	// shortTimeout bounds the calls that get no answer.
	shortTimeout = 250 * time.Millisecond
)

// always injects a fault into every call.
var always = control.Chance{Fraction: 1}

// fastEngine returns the options of a simulated engine without delays.
func fastEngine() engine.Options {
	return engine.Options{
		MemoryBytes:    100,
		KVBytes:        20,
		LoadFromMemory: time.Millisecond,
		LoadFromDisk:   time.Millisecond,
		LoadFromStore:  time.Millisecond,
		LoadAdapter:    time.Millisecond,
		Unload:         time.Millisecond,
		FirstToken:     -1,
		BetweenTokens:  -1,
	}
}

func startEngine(t *testing.T, o engine.Options) (*engine.Server, string) {
	t.Helper()
	s := engine.New(o)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(s.Restart)
	return s, server.URL
}

func load(model string, fence uint64, bytes int64) endpoint.Order {
	return endpoint.Order{ID: "order", Kind: endpoint.OrderLoad, Model: model, FencingToken: fence, MemoryBytes: bytes}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// checkError checks that an error matches the wanted sentinel and none of the others.
func checkError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
	for _, other := range []error{
		endpoint.ErrUnreachable, endpoint.ErrOutcomeUnknown, endpoint.ErrFenced, endpoint.ErrNoMemory,
		endpoint.ErrLoadFailed, endpoint.ErrUnauthorized, endpoint.ErrUnavailable, endpoint.ErrInvalid,
		endpoint.ErrWrongAnswer,
	} {
		if other != want && errors.Is(err, other) {
			t.Errorf("%v is also %v", err, other)
		}
	}
}

// modelState is the state of a model at an engine, or notHeld.
type modelState string

const notHeld modelState = ""

// An agent tracks the engine's memory by the errors of its orders. If the engine uses memory in spite of a definite
// error, the next load overcommits it; the same happens if an unknown outcome is reported as definite and the order
// takes effect later. Each case compares the error with the state that the engine reaches.
func TestOrderFaults(t *testing.T) {
	checks, ignores := engine.FencingChecks, engine.FencingIgnores
	cases := []struct {
		name string
		// At the start the engine has loaded "old@1" with 40 of 80 bytes and fencing token 5.
		options func(*engine.Options)
		faults  engine.Faults
		order   endpoint.Order
		token   string
		// timesOut means that the client must give up by its own timeout. during runs while the order is in progress.
		timesOut  bool
		during    func(*engine.Server)
		want      error
		wantState modelState
	}{
		{name: "no fault", order: load("new@1", 6, 40), wantState: endpoint.EngineLoaded},
		{name: "same fence", order: load("new@1", 5, 40), wantState: endpoint.EngineLoaded},
		{name: "old fence refused", order: load("new@1", 4, 40), want: endpoint.ErrFenced},
		{
			name:      "old fence ignored",
			options:   func(o *engine.Options) { o.Fencing = ignores },
			order:     load("new@1", 4, 40),
			wantState: endpoint.EngineLoaded,
		},
		{
			name:    "fence checked before memory",
			options: func(o *engine.Options) { o.Fencing = checks },
			order:   load("new@1", 4, 41),
			want:    endpoint.ErrFenced,
		},
		{name: "one byte too many", order: load("new@1", 6, 41), want: endpoint.ErrNoMemory},
		{
			name:    "one byte too many, load begun",
			options: func(o *engine.Options) { o.Overcommit = engine.OvercommitFails },
			order:   load("new@1", 6, 41),
			want:    endpoint.ErrLoadFailed,
		},
		{name: "load fails", faults: engine.Faults{LoadFails: always}, order: load("new@1", 6, 40), want: endpoint.ErrLoadFailed},
		{
			name:  "unknown kind",
			order: endpoint.Order{Kind: "role", Model: "new@1", FencingToken: 6},
			want:  endpoint.ErrInvalid,
		},
		{
			name:  "adapter without its model",
			order: endpoint.Order{Kind: endpoint.OrderLoadAdapter, Model: "new@1", Adapter: "a", FencingToken: 6},
			want:  endpoint.ErrLoadFailed,
		},
		{name: "wrong credentials", token: "guess", order: load("new@1", 6, 40), want: endpoint.ErrUnauthorized},
		{name: "refuses", faults: engine.Faults{Refuse: true}, order: load("new@1", 6, 40), want: endpoint.ErrUnavailable},
		{
			name:     "hangs",
			faults:   engine.Faults{Hang: true},
			order:    load("new@1", 6, 40),
			timesOut: true,
			want:     endpoint.ErrOutcomeUnknown,
		},
		{
			name:      "answer lost",
			faults:    engine.Faults{LoseOrders: always},
			order:     load("new@1", 6, 40),
			want:      endpoint.ErrOutcomeUnknown,
			wantState: endpoint.EngineLoaded,
		},
		{
			name:      "order arrives late",
			faults:    engine.Faults{DelayOrders: always, DelayOrdersSeconds: 2 * shortTimeout.Seconds()},
			order:     load("new@1", 6, 40),
			timesOut:  true,
			want:      endpoint.ErrOutcomeUnknown,
			wantState: endpoint.EngineLoaded,
		},
		{
			name:      "load hangs",
			faults:    engine.Faults{LoadHangs: always},
			order:     load("new@1", 6, 40),
			timesOut:  true,
			want:      endpoint.ErrOutcomeUnknown,
			wantState: endpoint.EngineLoading,
		},
		{
			name:   "engine dies in the middle of the load",
			faults: engine.Faults{LoadHangs: always},
			order:  load("new@1", 6, 40),
			during: (*engine.Server).Restart,
			want:   endpoint.ErrOutcomeUnknown,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := fastEngine()
			o.Token = credentials
			if c.options != nil {
				c.options(&o)
			}
			s, url := startEngine(t, o)
			if err := endpoint.NewHTTPEngine(url, credentials, endpoint.Timeouts{}).Do(t.Context(), load("old@1", 5, 40)); err != nil {
				t.Fatal(err)
			}
			s.Faults().Update(func(f *engine.Faults) { *f = c.faults })
			token, timeouts := credentials, endpoint.Timeouts{}
			if c.token != "" {
				token = c.token
			}
			if c.timesOut {
				timeouts.Order = shortTimeout
			}
			if c.during != nil {
				go func() {
					waitUntilLoading(s, "new@1")
					c.during(s)
				}()
			}
			checkError(t, endpoint.NewHTTPEngine(url, token, timeouts).Do(t.Context(), c.order), c.want)
			s.Faults().Update(func(f *engine.Faults) { *f = engine.Faults{} })
			waitFor(t, "the expected state of the model", func() bool { return modelStateOf(t, url, c.order.Model) == c.wantState })
		})
	}
}

// waitUntilLoading waits until an engine has begun to load a model. Unlike waitFor it may be used outside the test's
// goroutine.
func waitUntilLoading(s *engine.Server, model string) {
	for {
		for _, entry := range s.Truth().History {
			if entry.Model == model && entry.Kind == engine.HistoryLoadStarted {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func modelStateOf(t *testing.T, url, model string) modelState {
	t.Helper()
	state, err := endpoint.NewHTTPEngine(url, credentials, endpoint.Timeouts{}).State(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range state.Models {
		if m.Model == model {
			return modelState(m.State)
		}
	}
	return notHeld
}

// A proxy between agent and engine answers, such as a gateway that lost the engine's answer. A status without an error
// code proves nothing about the order, and a redirect must not send the order a second time.
func TestOrderAnswersThatProveNothing(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"conflict", http.StatusConflict, ``, endpoint.ErrOutcomeUnknown},
		{"insufficient storage", http.StatusInsufficientStorage, `no`, endpoint.ErrOutcomeUnknown},
		{"bad gateway", http.StatusBadGateway, `<html>`, endpoint.ErrOutcomeUnknown},
		{"unavailable", http.StatusServiceUnavailable, ``, endpoint.ErrOutcomeUnknown},
		{"server error", http.StatusInternalServerError, `{"error":{"code":"oops"}}`, endpoint.ErrOutcomeUnknown},
		{"redirect", http.StatusPermanentRedirect, ``, endpoint.ErrOutcomeUnknown},
		{"accepted", http.StatusAccepted, ``, endpoint.ErrOutcomeUnknown},
		{"named code", http.StatusBadGateway, `{"error":{"code":"load_failed"}}`, endpoint.ErrLoadFailed},
		{"credentials rejected by a proxy", http.StatusForbidden, ``, endpoint.ErrUnauthorized},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				w.Header().Set("Location", r.URL.Path)
				w.WriteHeader(c.status)
				w.Write([]byte(c.body))
			}))
			defer server.Close()
			err := endpoint.NewHTTPEngine(server.URL, "", endpoint.Timeouts{}).Do(t.Context(), load("m@1", 1, 1))
			checkError(t, err, c.want)
			if calls != 1 {
				t.Errorf("the order arrived %d times, want once", calls)
			}
		})
	}
}

func TestEngineReads(t *testing.T) {
	s, url := startEngine(t, fastEngine())
	client := endpoint.NewHTTPEngine(url, "", endpoint.Timeouts{Read: shortTimeout})
	reads := []struct {
		name string
		read func(context.Context) error
	}{
		{"state", func(ctx context.Context) error { _, err := client.State(ctx); return err }},
		{"report", func(ctx context.Context) error { _, err := client.Report(ctx); return err }},
		{"events", func(ctx context.Context) error { _, err := client.Events(ctx, 0); return err }},
	}
	for _, r := range reads {
		t.Run(r.name, func(t *testing.T) {
			checkError(t, r.read(t.Context()), nil)
			s.Faults().Update(func(f *engine.Faults) { f.Hang = true })
			checkError(t, r.read(t.Context()), endpoint.ErrUnavailable)
			s.Faults().Update(func(f *engine.Faults) { f.Hang = false })
		})
	}
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	down := endpoint.NewHTTPEngine(server.URL, "", endpoint.Timeouts{})
	_, err := down.State(t.Context())
	checkError(t, err, endpoint.ErrUnreachable)
	checkError(t, down.Do(t.Context(), load("m@1", 1, 1)), endpoint.ErrUnreachable)
}
