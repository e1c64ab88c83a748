// Package control holds what the stand-ins share: faults switched over HTTP, strict JSON and lost answers.
package control

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/clock"
	"balsamsail/internal/endpoint"
)

// maxDocument bounds a JSON document that a stand-in reads, in bytes.
const maxDocument = 8 << 20

// Chance says which calls a fault hits: the next Next ones, then a random Fraction of the others (0 to 1).
type Chance struct {
	Fraction float64 `json:"fraction,omitempty"`
	Next     int     `json:"next,omitempty"`
}

// Switch holds a stand-in's faults, a document of type F.
type Switch[F any] struct {
	mu     sync.Mutex
	faults F
	random *rand.Rand
}

// NewSwitch returns a switch with all faults off and a seeded source of chance.
func NewSwitch[F any](seed uint64) *Switch[F] {
	return &Switch[F]{random: rand.New(rand.NewPCG(seed, seed))}
}

// Get returns the faults that are on.
func (s *Switch[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Update changes the faults.
func (s *Switch[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Hit decides whether the chosen fault hits this call, and counts down its Next.
func (s *Switch[F]) Hit(choose func(*F) *Chance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := choose(&s.faults)
	if c.Next > 0 {
		c.Next--
		return true
	}
	return c.Fraction > 0 && s.random.Float64() < c.Fraction
}

// Exponential returns a random duration with the given mean.
func (s *Switch[F]) Exponential(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// Mount adds GET, POST and DELETE of /faults. POST changes the fields that it names and keeps the others; DELETE
// switches every fault off.
func (s *Switch[F]) Mount(r chi.Router) {
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, s.Get()) })
	r.Post("/faults", s.post)
	r.Delete("/faults", func(w http.ResponseWriter, _ *http.Request) {
		var none F
		s.Update(func(f *F) { *f = none })
		WriteJSON(w, http.StatusOK, none)
	})
}

func (s *Switch[F]) post(w http.ResponseWriter, r *http.Request) {
	changed := s.Get()
	if err := ReadJSON(r, &changed); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	s.Update(func(f *F) { *f = changed })
	WriteJSON(w, http.StatusOK, changed)
}

// ReadJSON decodes a request's body, refusing unknown fields.
func ReadJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxDocument))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WriteJSON writes an answer.
func WriteJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(document)
}

// WriteError writes a refusal.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, endpoint.Refusal{Error: endpoint.RefusalDetail{Code: code, Message: message}})
}

// Lose cuts the connection in place of an answer, or of what is left of it. It does not return.
func Lose() { panic(http.ErrAbortHandler) }

// Hang waits until the client goes away. It reads the request's body first, since a server notices that a client has
// gone only once it has read the body.
func Hang(r *http.Request) {
	// A client that goes away in the middle of its body has gone as well.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Sleep waits for d and says whether the context still lasts then.
func Sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
