// Package service is a stand-in for a plain service, for tests and the dev command. It accepts any method and path, and
// records which calls it executed and how often (Truth).
//
// A call is identified by its method, its path and a key: the "marker" in the query or in a JSON body, or else the
// Idempotency-Key, or else the X-Request-Id. POST /echo responds with the request's body, every other call with JSON that
// contains a sequence number. The stand-in's own paths are GET /admin/report, GET, POST and DELETE /faults, and GET /truth.
package service

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/semaphore"

	"balsamsail/internal/clock"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
)

// Options configure the stand-in. A zero value selects the default, which is given in parentheses.
type Options struct {
	// Clock is the source of time (the system clock).
	Clock clock.Clock
	// Seed seeds the random choices of faults.
	Seed uint64
	// ServiceTime is how long a call takes (no time).
	ServiceTime time.Duration
	// Concurrency is the number of calls that run concurrently (64); others wait.
	Concurrency int
	// HidesRequestID stops the service from echoing X-Request-Id.
	HidesRequestID bool
}

const defaultConcurrency = 64

// Faults are the faults that can be injected into a plain service.
type Faults struct {
	// SlowFactor makes each call that many times slower; 0 and 1 mean full speed.
	SlowFactor float64 `json:"slow_factor"`
	// Refuse rejects every call with 503.
	Refuse bool `json:"refuse"`
	// HangBefore leaves the call unanswered without executing it, HangAfter after executing it.
	HangBefore control.Chance `json:"hang_before"`
	HangAfter  control.Chance `json:"hang_after"`
	// CutBefore drops the connection without executing the call, CutAfter after executing it.
	CutBefore control.Chance `json:"cut_before"`
	CutAfter  control.Chance `json:"cut_after"`
}

// Call is one call that was executed, identified by method, path and key.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// Executions is how often the call was executed.
	Executions int `json:"executions"`
}

// Truth is what the service really executed.
type Truth struct {
	// Calls are in order of their first execution.
	Calls       []Call `json:"calls"`
	Executions  int    `json:"executions"`
	Refused     int    `json:"refused"`
	Abandoned   int    `json:"given_up"`
	PeakRunning int    `json:"peak_running"`
}

// Answer is the response to every call except POST /echo.
type Answer struct {
	// Sequence is the number of executions so far, including this one.
	Sequence int    `json:"sequence"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Key      string `json:"key,omitempty"`
}

// Server is the stand-in.
type Server struct {
	options Options
	faults  *control.FaultSet[Faults]
	router  chi.Router
	slots   *semaphore.Weighted

	mu      sync.Mutex
	running int
	waiting int
	truth   Truth
	index   map[callID]int
}

type callID struct{ method, path, key string }

// New returns a service that has executed no calls.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Concurrency == 0 {
		o.Concurrency = defaultConcurrency
	}
	s := &Server{
		options: o,
		faults:  control.NewFaultSet[Faults](o.Seed),
		router:  chi.NewRouter(),
		slots:   semaphore.NewWeighted(int64(o.Concurrency)),
		index:   map[callID]int{},
	}
	s.faults.Mount(s.router)
	s.router.Get("/truth", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Truth())
	})
	s.router.Get(endpoint.PathReport, func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.report())
	})
	s.router.HandleFunc("/*", s.serve)
	return s
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler { return s.router }

// Faults returns the injected faults, which the caller may change.
func (s *Server) Faults() *control.FaultSet[Faults] { return s.faults }

// Truth returns what was executed so far.
func (s *Server) Truth() Truth {
	s.mu.Lock()
	defer s.mu.Unlock()
	truth := s.truth
	truth.Calls = slices.Clone(truth.Calls)
	return truth
}

func (s *Server) report() endpoint.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return endpoint.LoadReport{Running: s.running, Waiting: s.waiting, ReportedAt: s.options.Clock.Now()}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(endpoint.HeaderRequestID); id != "" && !s.options.HidesRequestID {
		w.Header().Set(endpoint.HeaderRequestID, id)
	}
	if s.faults.Get().Refuse {
		s.count(func(t *Truth) { t.Refused++ })
		control.WriteError(w, http.StatusServiceUnavailable, endpoint.CodeUnavailable, "refusing")
		return
	}
	echo := r.Method == http.MethodPost && r.URL.Path == "/echo"
	key, err := callKey(r, echo)
	if err != nil {
		control.DropConnection()
	}
	s.hang(r, func(f *Faults) *control.Chance { return &f.HangBefore })
	s.cut(func(f *Faults) *control.Chance { return &f.CutBefore })
	if !s.acquire(r) {
		s.count(func(t *Truth) { t.Abandoned++ })
		return
	}
	defer s.release()
	s.run(w, r, key, echo)
}

// run executes a call and responds. The call counts as executed when its service time begins, even if the client disconnects
// after that.
func (s *Server) run(w http.ResponseWriter, r *http.Request, key string, echo bool) {
	answer := s.execute(callID{r.Method, r.URL.Path, key})
	duration := float64(s.options.ServiceTime) * max(1, s.faults.Get().SlowFactor)
	control.Sleep(r.Context(), s.options.Clock, time.Duration(duration))
	s.hang(r, func(f *Faults) *control.Chance { return &f.HangAfter })
	s.cut(func(f *Faults) *control.Chance { return &f.CutAfter })
	if !echo {
		control.WriteJSON(w, http.StatusOK, answer)
		return
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	flusher := http.NewResponseController(w)
	// Without full duplex the server would read the whole body before it sends the response's first byte.
	_ = flusher.EnableFullDuplex()
	if _, err := io.Copy(flushWriter{w, flusher}, r.Body); err != nil {
		control.DropConnection()
	}
}

// flushWriter flushes after each write.
type flushWriter struct {
	io.Writer
	flusher *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.flusher.Flush()
}

func (s *Server) execute(id callID) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truth.Executions++
	at, ok := s.index[id]
	if !ok {
		at = len(s.truth.Calls)
		s.index[id] = at
		s.truth.Calls = append(s.truth.Calls, Call{Method: id.method, Path: id.path, Key: id.key})
	}
	s.truth.Calls[at].Executions++
	return Answer{Sequence: s.truth.Executions, Method: id.method, Path: id.path, Key: id.key}
}

// maxBody bounds a body that is searched for a marker, in bytes.
const maxBody = 16 << 20

// callKey returns the key that identifies a call. It reads the body for a marker unless the body is to be streamed. It fails
// if the body is incomplete; such a call is not executed.
func callKey(r *http.Request, streamed bool) (string, error) {
	marked := struct {
		Marker string `json:"marker"`
	}{Marker: r.URL.Query().Get("marker")}
	if !streamed && marked.Marker == "" {
		body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
		if err != nil {
			return "", err
		}
		// A body that is not JSON has no marker.
		_ = json.NewDecoder(bytes.NewReader(body)).Decode(&marked)
	}
	for _, key := range []string{marked.Marker, r.Header.Get("Idempotency-Key")} {
		if key != "" {
			return key, nil
		}
	}
	return r.Header.Get(endpoint.HeaderRequestID), nil
}

func (s *Server) acquire(r *http.Request) bool {
	s.count(func(*Truth) { s.waiting++ })
	err := s.slots.Acquire(r.Context(), 1)
	s.count(func(t *Truth) {
		s.waiting--
		if err == nil {
			s.running++
			t.PeakRunning = max(t.PeakRunning, s.running)
		}
	})
	return err == nil
}

func (s *Server) release() {
	s.slots.Release(1)
	s.count(func(*Truth) { s.running-- })
}

func (s *Server) hang(r *http.Request, choose func(*Faults) *control.Chance) {
	if s.faults.Hit(choose) {
		control.Hang(r)
		control.DropConnection()
	}
}

func (s *Server) cut(choose func(*Faults) *control.Chance) {
	if s.faults.Hit(choose) {
		control.DropConnection()
	}
}

func (s *Server) count(change func(*Truth)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.truth)
}
