package platform

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/backing"
)

func call(s *Server, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func fetch(s *Server, kind string, seconds float64) *httptest.ResponseRecorder {
	return call(s, http.MethodPost, "/weights/fetch", fmt.Sprintf(`{"kind":%q,"model":"m","seconds":%g}`, kind, seconds))
}

func TestWeightStoreSlowsWithItsLoad(t *testing.T) {
	cases := []struct {
		name    string
		limits  WeightLimits
		faults  WeightFaults
		kind    string
		count   int
		seconds float64
		// want is the time in seconds until the last one ends.
		want float64
	}{
		{"one load", WeightLimits{}, WeightFaults{}, FetchWeights, 1, 8, 8},
		{"as many as run at full speed", WeightLimits{}, WeightFaults{}, FetchWeights, 4, 8, 8},
		{"twice as many at once", WeightLimits{LoadsPerSecond: 100}, WeightFaults{}, FetchWeights, 8, 8, 16},
		// 10 starts in the window of 2 s are 5 a second, twice the limit: half speed for 2 s, then full speed.
		{"twice as many starts a second", WeightLimits{Loads: 100}, WeightFaults{}, FetchWeights, 10, 3, 4},
		{"adapters up to their limit", WeightLimits{}, WeightFaults{}, FetchAdapter, 30, 1, 1},
		{"three times as many adapters", WeightLimits{}, WeightFaults{}, FetchAdapter, 90, 1, 3},
		{"slow store", WeightLimits{}, WeightFaults{SlowFactor: 5}, FetchWeights, 1, 8, 40},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{Weights: c.limits})
				s.Faults().Update(func(f *Faults) { f.Weights = c.faults })
				begun := time.Now()
				var transfers sync.WaitGroup
				for range c.count {
					transfers.Go(func() {
						if w := fetch(s, c.kind, c.seconds); w.Code != http.StatusNoContent {
							t.Errorf("fetch: status %d", w.Code)
						}
					})
				}
				transfers.Wait()
				took := time.Since(begun).Seconds()
				if math.Abs(took-c.want) > 0.03*c.want {
					t.Errorf("took %.2f s, want %.2f s", took, c.want)
				}
				truth := s.Truth().Weights
				if all := truth.Loads.Finished + truth.Adapters.Finished; all != c.count {
					t.Errorf("finished %d transfers, want %d", all, c.count)
				}
				if peak := truth.Loads.Peak + truth.Adapters.Peak; peak != c.count {
					t.Errorf("peak of %d transfers, want %d", peak, c.count)
				}
			})
		})
	}
}

func TestWeightStoreOutageCutsTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		cut := make(chan any, 1)
		go func() {
			defer func() { cut <- recover() }()
			fetch(s, FetchWeights, 8)
		}()
		time.Sleep(time.Second)
		s.Faults().Update(func(f *Faults) { f.Weights.Outage = true })
		if got := <-cut; got != http.ErrAbortHandler {
			t.Errorf("the transfer ended with %v, want a dropped connection", got)
		}
		if w := fetch(s, FetchWeights, 1); w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a new transfer", w.Code)
		}
		truth := s.Truth().Weights.Loads
		if truth.Cut != 1 || truth.Refused != 1 || truth.InFlight != 0 {
			t.Errorf("truth %+v", truth)
		}
	})
}

func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := backing.Host{ID: "a", State: backing.HostLive}
		s := New(Options{HostsLag: 5 * time.Second, GoneRetention: time.Minute, Hosts: []backing.Host{first}})
		call(s, http.MethodPut, "/hosts/b", `{"state":"leaving"}`)
		call(s, http.MethodDelete, "/hosts/a", "")
		call(s, http.MethodDelete, "/hosts/unknown", "")
		steps := []struct {
			wait    time.Duration
			want    string
			version uint64
		}{
			{0, "a:live ", 1},
			{4 * time.Second, "a:live ", 1},
			{2 * time.Second, "a:gone b:leaving ", 3},
			{time.Minute, "b:leaving ", 4},
		}
		for _, step := range steps {
			time.Sleep(step.wait)
			var answer HostsAnswer
			if err := json.Unmarshal(call(s, http.MethodGet, "/hosts", "").Body.Bytes(), &answer); err != nil {
				t.Fatal(err)
			}
			got := ""
			for _, host := range answer.Hosts {
				got += host.ID + ":" + string(host.State) + " "
			}
			if got != step.want || answer.Version != step.version {
				t.Errorf("after %v: %q at version %d, want %q at %d", step.wait, got, answer.Version, step.want, step.version)
			}
		}
	})
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Table: StoreLimits{ReadsPerSecond: 10, WritesPerSecond: 5}})
		accepted := func(method, path, body string) (n int) {
			for range 20 {
				if call(s, method, path, body).Code == http.StatusOK {
					n++
				}
			}
			return n
		}
		for _, want := range []int{0, 1} {
			time.Sleep(time.Duration(want) * time.Second)
			if got := accepted(http.MethodGet, "/table/rows", ""); got != 10 {
				t.Errorf("%d reads in second %d, want 10", got, want)
			}
			if got := accepted(http.MethodPost, "/table/commit", "{}"); got != 5 {
				t.Errorf("%d writes in second %d, want 5", got, want)
			}
		}
		truth := s.Truth().Table
		if truth.Reads != 20 || truth.Writes != 10 || truth.RateLimited != 50 || truth.PeakReads != 10 {
			t.Errorf("truth %+v", truth)
		}
	})
}

func TestFaultsDocument(t *testing.T) {
	cases := []struct {
		name, method, body string
		status             int
		// want is what the response must contain.
		want string
	}{
		{"one fault", http.MethodPost, `{"table":{"lose_after":{"next":2}}}`, http.StatusOK, `"next":2`},
		{"another keeps the first", http.MethodPost, `{"weights":{"slow_factor":3}}`, http.StatusOK, `"next":2`},
		{"unknown field", http.MethodPost, `{"table":{"outge":true}}`, http.StatusBadRequest, `outge`},
		{"wrong type", http.MethodPost, `{"table":{"outage":"yes"}}`, http.StatusBadRequest, `outage`},
		{"a rejected change has no effect", http.MethodGet, ``, http.StatusOK, `"slow_factor":3`},
		{"all off", http.MethodDelete, ``, http.StatusOK, `"slow_factor":0`},
	}
	s := New(Options{})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := call(s, c.method, "/faults", c.body)
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
				t.Errorf("status %d, %s; want %d with %s", w.Code, w.Body, c.status, c.want)
			}
		})
	}
}
