package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
)

// exchange is the response to a call; cut is set if the connection was dropped instead.
type exchange struct {
	status int
	body   string
	cut    bool
}

func call(s *Server, method, path, body string, header ...string) (e exchange) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			e = exchange{cut: true}
		}
	}()
	s.Handler().ServeHTTP(w, r)
	return exchange{status: w.Code, body: w.Body.String()}
}

func order(s *Server, o endpoint.Order) exchange {
	body, _ := json.Marshal(o)
	return call(s, http.MethodPost, endpoint.PathOrders, string(body))
}

func load(s *Server, model string) exchange {
	return order(s, endpoint.Order{ID: model, Kind: endpoint.OrderLoad, Model: model, MemoryBytes: 10 * gib})
}

func unload(s *Server, model string) exchange {
	return order(s, endpoint.Order{ID: model, Kind: endpoint.OrderUnload, Model: model})
}

func chat(s *Server, model, id, priority string, tokens int) exchange {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"content":%q}]}`, model, tokens, id)
	return call(s, http.MethodPost, "/v1/chat/completions", body, endpoint.HeaderRequestID, id, endpoint.HeaderPriority, priority)
}

func read[T any](t *testing.T, s *Server, path string) T {
	t.Helper()
	var document T
	if err := json.Unmarshal([]byte(call(s, http.MethodGet, path, "").body), &document); err != nil {
		t.Fatal(err)
	}
	return document
}

// wantDuration runs a call and checks that it takes exactly the wanted time.
func wantDuration(t *testing.T, want time.Duration, run func() exchange) exchange {
	t.Helper()
	begun := time.Now()
	e := run()
	if took := time.Since(begun); took != want {
		t.Errorf("took %v, want %v", took, want)
	}
	return e
}

func mustLoad(t *testing.T, s *Server, models ...string) {
	t.Helper()
	for _, model := range models {
		if e := load(s, model); e.status != http.StatusOK {
			t.Fatalf("load: %+v", e)
		}
	}
}

func TestLoadTimeFollowsTheCaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The memory cache has room for one checkpoint, the disk cache for two.
		s := New(Options{MemoryCacheBytes: 10 * gib, DiskCacheBytes: 20 * gib})
		steps := []struct {
			model string
			want  time.Duration
			from  string
		}{
			{"a", s.options.LoadFromStore, ""},
			{"a", s.options.LoadFromMemory, CachedInMemory},
			{"b", s.options.LoadFromStore, ""},
			{"a", s.options.LoadFromDisk, CachedOnDisk},
			{"c", s.options.LoadFromStore, ""},
			{"b", s.options.LoadFromStore, ""},
		}
		for _, step := range steps {
			state := read[endpoint.EngineState](t, s, endpoint.PathState)
			if got := state.Cached[step.model]; got != step.from {
				t.Errorf("%s is cached %q, want %q", step.model, got, step.from)
			}
			wantDuration(t, step.want, func() exchange { return load(s, step.model) })
			wantDuration(t, s.options.Unload, func() exchange { return unload(s, step.model) })
		}
	})
}

// Concurrent load orders for the same model must cause one load whose memory counts once. An unload in the middle of a load
// must cancel it and free its memory.
func TestConcurrentOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		var orders sync.WaitGroup
		for range 3 {
			orders.Go(func() {
				if e := load(s, "m"); e.status != http.StatusOK {
					t.Errorf("concurrent load: %+v", e)
				}
			})
		}
		orders.Wait()
		orders.Go(func() {
			if e := load(s, "n"); e.status != http.StatusBadGateway {
				t.Errorf("cancelled load: %+v", e)
			}
		})
		time.Sleep(time.Second)
		if e := wantDuration(t, 0, func() exchange { return unload(s, "n") }); e.status != http.StatusOK {
			t.Errorf("unload in the middle of a load: %+v", e)
		}
		orders.Wait()
		truth := s.Truth()
		var kinds []HistoryKind
		for _, entry := range truth.History {
			kinds = append(kinds, entry.Kind)
		}
		want := []HistoryKind{HistoryLoadStarted, HistoryLoaded, HistoryLoadStarted, HistoryLoadFailed}
		if !slices.Equal(kinds, want) {
			t.Errorf("history %v, want %v", kinds, want)
		}
		if want := s.options.KVBytes + 20*gib; truth.MemoryPeak != want {
			t.Errorf("peak memory %d, want %d", truth.MemoryPeak, want)
		}
		if state := read[endpoint.EngineState](t, s, endpoint.PathState); state.UsedBytes != s.options.KVBytes+10*gib {
			t.Errorf("used memory %d, want that of the KV cache and one model", state.UsedBytes)
		}
	})
}

// A load order that waits for the unload of the same model must check its fencing token again after the wait, because a newer
// unload may have arrived meanwhile. Otherwise the model would be loaded after the newer unload, as one replica too many.
func TestLoadThatWaitedIsCheckedAgain(t *testing.T) {
	cases := []struct {
		fencing FencingMode
		status  int
		held    int
	}{
		{FencingChecks, http.StatusConflict, 0},
		{FencingIgnores, http.StatusOK, 1},
	}
	for _, c := range cases {
		t.Run(string(c.fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{Fencing: c.fencing})
				mustLoad(t, s, "m")
				var orders sync.WaitGroup
				for fence, kind := range []endpoint.OrderKind{endpoint.OrderUnload, endpoint.OrderLoad, endpoint.OrderUnload} {
					orders.Go(func() {
						e := order(s, endpoint.Order{Kind: kind, Model: "m", FencingToken: uint64(fence), MemoryBytes: 1})
						if kind == endpoint.OrderLoad && e.status != c.status {
							t.Errorf("load: %+v, want %d", e, c.status)
						}
					})
					synctest.Wait()
				}
				orders.Wait()
				if state := read[endpoint.EngineState](t, s, endpoint.PathState); len(state.Models) != c.held {
					t.Errorf("loaded %+v, want %d models", state.Models, c.held)
				}
			})
		})
	}
}

func TestAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		mustLoad(t, s, "m")
		adapter := endpoint.Order{Kind: endpoint.OrderLoadAdapter, Model: "m", Adapter: "a", MemoryBytes: gib}
		if e := chat(s, "a", "r", "", 1); e.status != http.StatusNotFound {
			t.Errorf("request before the adapter's load: %+v", e)
		}
		wantDuration(t, s.options.LoadAdapter, func() exchange { return order(s, adapter) })
		wantDuration(t, 0, func() exchange { return order(s, adapter) })
		e := chat(s, "a", "r", "", 2)
		if e.status != http.StatusOK || !strings.Contains(e.body, Answer("a", "r", 2)) {
			t.Errorf("request after the adapter's load: %+v", e)
		}
		adapter.Kind = endpoint.OrderUnloadAdapter
		order(s, adapter)
		state := read[endpoint.EngineState](t, s, endpoint.PathState)
		if len(state.Models[0].Adapters) != 0 || state.UsedBytes != s.options.KVBytes+10*gib {
			t.Errorf("state after the adapter's unload: %+v", state)
		}
	})
}

func TestBatching(t *testing.T) {
	// The Late fault delays every request by a second, so that all are in the batch before the first token.
	cases := []struct {
		name     string
		requests int
		slow     float64
		want     time.Duration
		refused  int
	}{
		{name: "alone", requests: 1, want: 1140 * time.Millisecond},
		{name: "a full batch", requests: 2, want: 1140 * time.Millisecond},
		{name: "twice the batch", requests: 4, want: 1280 * time.Millisecond},
		// Four run at half speed; the fifth then runs alone.
		{name: "one waits", requests: 5, want: 2420 * time.Millisecond},
		{name: "one too many", requests: 6, want: 2420 * time.Millisecond, refused: 1},
		{name: "slow", requests: 1, slow: 10, want: 2400 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{MaxBatch: 2, MaxRunning: 4, MaxWaiting: 1})
				mustLoad(t, s, "m")
				s.Faults().Update(func(f *Faults) {
					*f = Faults{SlowFactor: c.slow, Late: control.Chance{Fraction: 1}, LateSeconds: 1}
				})
				begun := time.Now()
				var requests sync.WaitGroup
				for i := range c.requests {
					requests.Go(func() { chat(s, "m", fmt.Sprint("r", i), "", 10) })
				}
				requests.Wait()
				if took := time.Since(begun); took != c.want {
					t.Errorf("took %v, want %v", took, c.want)
				}
				if truth := s.Truth(); truth.Refused != c.refused || truth.Done != c.requests-c.refused {
					t.Errorf("refused %d, done %d", truth.Refused, truth.Done)
				}
			})
		})
	}
}

func TestInteractiveRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{MaxRunning: 1})
		mustLoad(t, s, "m")
		var requests sync.WaitGroup
		for _, id := range []string{"running", "batch", "interactive"} {
			requests.Go(func() { chat(s, "m", id, strings.Replace(id, "running", "batch", 1), 1) })
			synctest.Wait()
		}
		requests.Wait()
		var ids []string
		for _, request := range s.Truth().Requests {
			ids = append(ids, request.ID)
		}
		if want := []string{"running", "interactive", "batch"}; !slices.Equal(ids, want) {
			t.Errorf("ran %v, want %v", ids, want)
		}
	})
}

// Requests of a model that is unloaded, or of an engine that is restarted, must be cut off and counted in Truth: tests of
// planned stops rely on these counts.
func TestUnloadAndRestartCutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		ends := []func(){func() { unload(s, "m") }, s.Restart}
		for i, end := range ends {
			mustLoad(t, s, "m")
			before := read[endpoint.EngineState](t, s, endpoint.PathState)
			var requests sync.WaitGroup
			requests.Go(func() {
				if e := chat(s, "m", "r", "", 100); !e.cut {
					t.Errorf("got response %+v, want a dropped connection", e)
				}
			})
			time.Sleep(100 * time.Millisecond)
			end()
			requests.Wait()
			state := read[endpoint.EngineState](t, s, endpoint.PathState)
			if len(state.Models) != 0 || state.UsedBytes != s.options.KVBytes {
				t.Errorf("models are still loaded: %+v", state)
			}
			if restarted := state.Incarnation != before.Incarnation; restarted != (i == 1) {
				t.Errorf("incarnation %q after %q", state.Incarnation, before.Incarnation)
			}
		}
		if truth := s.Truth(); truth.CutByUnload != 1 || truth.Cut != 2 {
			t.Errorf("cut %d requests, %d by unload; want 2 and 1", truth.Cut, truth.CutByUnload)
		}
	})
}

func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ReportLag: time.Second, BetweenTokens: time.Hour})
		mustLoad(t, s, "m")
		for i := range 2 {
			go chat(s, "m", fmt.Sprint(i), "", 2)
			time.Sleep(600 * time.Millisecond)
		}
		for _, want := range []int{1, 2} {
			report := read[endpoint.LoadReport](t, s, endpoint.PathReport)
			if age := time.Since(report.ReportedAt); report.Running != want || age != time.Second {
				t.Errorf("running %d as of %v ago, want %d", report.Running, age, want)
			}
			time.Sleep(600 * time.Millisecond)
		}
		s.Restart()
	})
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{EventLag: time.Second, PrefixEntries: 1})
		mustLoad(t, s, "m")
		// Three stores and two removals; the second event is dropped, and the repeated prefix causes none.
		for i, id := range []string{"p", "p", "q", "r"} {
			if i == 2 {
				s.Faults().Update(func(f *Faults) { f.DropEvents = control.Chance{Next: 1} })
			}
			chat(s, "m", id, "", 1)
		}
		if early := read[endpoint.CacheEvents](t, s, endpoint.PathEvents); len(early.Events) != 0 {
			t.Errorf("events before EventLag has passed: %+v", early)
		}
		time.Sleep(time.Second)
		got := ""
		for _, event := range read[endpoint.CacheEvents](t, s, endpoint.PathEvents+"?after=0").Events {
			got += fmt.Sprintf("%d:%s ", event.Sequence, event.Kind)
		}
		if want := "1:stored 3:removed 4:stored 5:removed "; got != want {
			t.Errorf("events %q, want %q", got, want)
		}
	})
}
