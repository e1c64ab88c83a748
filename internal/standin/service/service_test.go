package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamsail/internal/endpoint"
)

func call(s *Server, method, target, body string, header http.Header) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for name, values := range header {
		r.Header[name] = values
	}
	s.Handler().ServeHTTP(w, r)
	return w
}

func TestCallsAreToldApart(t *testing.T) {
	both := http.Header{"Idempotency-Key": {"key"}, endpoint.HeaderRequestID: {"id"}}
	cases := []struct {
		name, target, body string
		header             http.Header
		want               string
	}{
		{"marker in the body", "/notices", `{"marker":"m","amount":5}`, both, "m"},
		{"marker in the query", "/notices?marker=q", `{"marker":"m"}`, both, "q"},
		{"no marker", "/notices", `{"amount":5}`, both, "key"},
		{"body is not JSON", "/notices", `\x00`, both, "key"},
		{"only an identifier", "/notices", ``, http.Header{endpoint.HeaderRequestID: {"id"}}, "id"},
		{"echo streams its body", "/echo", `{"marker":"m"}`, both, "key"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(Options{})
			for range 2 {
				if w := call(s, http.MethodPost, c.target, c.body, c.header); w.Code != http.StatusOK {
					t.Fatalf("status %d", w.Code)
				}
			}
			truth := s.Truth()
			if len(truth.Calls) != 1 || truth.Calls[0].Key != c.want || truth.Calls[0].Executions != 2 {
				t.Errorf("executed %+v, want key %q twice", truth.Calls, c.want)
			}
		})
	}
}

func TestConcurrencyAndReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Concurrency: 2, ServiceTime: time.Second})
		s.Faults().Update(func(f *Faults) { f.SlowFactor = 3 })
		begun := time.Now()
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() { call(s, http.MethodPut, "/slots/7", "", nil) })
		}
		synctest.Wait()
		var report endpoint.LoadReport
		if err := json.Unmarshal(call(s, http.MethodGet, endpoint.PathReport, "", nil).Body.Bytes(), &report); err != nil {
			t.Fatal(err)
		}
		if report.Running != 2 || report.Waiting != 1 {
			t.Errorf("report %+v, want 2 running and 1 waiting", report)
		}
		calls.Wait()
		if took := time.Since(begun); took != 6*time.Second {
			t.Errorf("took %v, want 6s", took)
		}
		if truth := s.Truth(); truth.PeakRunning != 2 || truth.Executions != 3 {
			t.Errorf("truth %+v, want a peak of 2 and 3 executions", truth)
		}
	})
}
