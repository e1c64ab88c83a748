// Package control holds what the stand-ins share: fault injection over HTTP, strict JSON decoding and dropped connections.
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

// Chance determines which calls a fault affects: the next Next ones, then a random Fraction of the others (0 to 1).
type Chance struct {
	Fraction float64 `json:"fraction,omitempty"`
	Next     int     `json:"next,omitempty"`
}

// FaultSet holds the active faults of a stand-in as a value of type F.
type FaultSet[F any] struct {
	mu     sync.Mutex
	faults F
	random *rand.Rand
}

// NewFaultSet returns a set with all faults off and a random source with the given seed.
func NewFaultSet[F any](seed uint64) *FaultSet[F] {
	return &FaultSet[F]{random: rand.New(rand.NewPCG(seed, seed))}
}

// Get returns the present faults.
func (s *FaultSet[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Update changes the faults.
func (s *FaultSet[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Hit decides whether the chosen fault affects this call, and counts down its Next.
func (s *FaultSet[F]) Hit(choose func(*F) *Chance) bool {
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
func (s *FaultSet[F]) Exponential(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// Mount adds the routes GET, POST and DELETE /faults. POST changes the fields that are present in its body and keeps the
// others; DELETE turns all faults off.
func (s *FaultSet[F]) Mount(r chi.Router) {
	r.Get("/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, s.Get()) })
	r.Post("/faults", s.post)
	r.Delete("/faults", func(w http.ResponseWriter, _ *http.Request) {
		var none F
		s.Update(func(f *F) { *f = none })
		WriteJSON(w, http.StatusOK, none)
	})
}

func (s *FaultSet[F]) post(w http.ResponseWriter, r *http.Request) {
	changed := s.Get()
	if err := ReadJSON(r, &changed); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	s.Update(func(f *F) { *f = changed })
	WriteJSON(w, http.StatusOK, changed)
}

// ReadJSON decodes a request's body. Unknown fields are an error.
func ReadJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxDocument))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(document)
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, endpoint.ErrorDocument{Error: endpoint.ErrorDetail{Code: code, Message: message}})
}

// DropConnection closes the connection instead of sending the response or the rest of it. It does not return.
func DropConnection() { panic(http.ErrAbortHandler) }

// Hang waits until the client disconnects. It reads the request's body first, because net/http detects a disconnect only
// after the body has been read.
func Hang(r *http.Request) {
	// A read error means that the client disconnected in the middle of its body.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Sleep waits for d. It returns false if the context ends first.
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
