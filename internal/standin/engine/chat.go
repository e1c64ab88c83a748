package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
)

// maxPrompt bounds a chat request's body, in bytes.
const maxPrompt = 32 << 20

// generation is one chat request while the engine processes it.
type generation struct {
	server  *Server
	process *process
	model   *model
	request chatRequest
	id      string
	// input determines the answer's text; the SwapAnswer fault replaces it by another request's.
	input  answerInput
	begun  time.Time
	tokens int
	// cutAfter is the number of tokens after which the Cut fault drops the connection; negative for never.
	cutAfter int
	// ctx ends when the client disconnects, the model is dropped or the process ends.
	ctx context.Context
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(endpoint.HeaderRequestID)
	if id != "" {
		w.Header().Set(endpoint.HeaderRequestID, id)
	}
	if s.hang(r) {
		return
	}
	if s.faults.Get().Refuse {
		s.refuse(w, http.StatusServiceUnavailable, endpoint.CodeUnavailable, "refusing")
		return
	}
	var request chatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPrompt)).Decode(&request); err != nil {
		s.refuse(w, http.StatusBadRequest, endpoint.CodeInvalid, err.Error())
		return
	}
	g := &generation{server: s, request: request, id: id, input: request.answerInput(), cutAfter: -1}
	g.input.id = id
	queued := s.enter(g, r.Header.Get(endpoint.HeaderPriority))
	if g.model == nil {
		s.refuse(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
		return
	}
	if queued == nil {
		s.refuse(w, http.StatusServiceUnavailable, "overloaded", "the waiting list is full")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(g.model.ctx, cancel)()
	g.ctx = ctx
	g.run(w, queued)
}

func (s *Server) refuse(w http.ResponseWriter, status int, code, message string) {
	s.mu.Lock()
	s.truth.Refused++
	s.mu.Unlock()
	control.WriteError(w, status, code, message)
}

// enter looks up the request's model and puts the request into the queue. It returns nil if the model is not loaded, which
// leaves g.model nil, or if the queue is full.
func (s *Server) enter(g *generation, priority string) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.process = s.process
	g.model = g.process.find(g.request.Model)
	if g.model == nil {
		return nil
	}
	queued := g.process.queue.enter(priority)
	if queued == nil {
		return nil
	}
	g.model.running++
	s.recordLoad(g.process)
	return queued
}

// find returns the loaded model with the given name, or the one with a loaded adapter of that name.
func (p *process) find(name string) *model {
	if m, ok := p.models[name]; ok && m.State == endpoint.EngineLoaded {
		return m
	}
	for _, listed := range p.loadedModels() {
		if listed.State == endpoint.EngineLoaded && slices.Contains(listed.Adapters, name) {
			return p.models[listed.Model]
		}
	}
	return nil
}

// run waits until the request is admitted to the batch and generates the answer.
func (g *generation) run(w http.ResponseWriter, queued *ticket) {
	outcome := OutcomeCancelled
	defer func() { g.finish(queued, outcome) }()
	select {
	case <-queued.ready:
	case <-g.ctx.Done():
		g.abort()
	}
	g.begun = g.server.clock.Now()
	g.applyFaults(w)
	if !g.sleep(g.firstToken()) {
		outcome = g.endOutcome()
		g.abort()
	}
	outcome = OutcomeCut
	answer := newAnswerWriter(w, g)
	for g.tokens < g.request.tokens(g.server.options.DefaultTokens) {
		if g.tokens == g.cutAfter {
			control.DropConnection()
		}
		if g.tokens > 0 && !g.sleep(g.betweenTokens()) {
			outcome = g.endOutcome()
			g.abort()
		}
		answer.token(g.tokens)
		g.tokens++
	}
	if g.tokens == g.cutAfter {
		control.DropConnection()
	}
	answer.finish()
	outcome = OutcomeDone
}

// abort drops the connection of an answer that cannot be completed. It does not return.
func (g *generation) abort() { control.DropConnection() }

// endOutcome returns the outcome of a request whose context has ended.
func (g *generation) endOutcome() Outcome {
	if g.model.ctx.Err() != nil {
		return OutcomeCut
	}
	return OutcomeCancelled
}

// applyFaults applies the faults SwapAnswer, Cut and Late to this answer.
func (g *generation) applyFaults(w http.ResponseWriter) {
	s := g.server
	s.mu.Lock()
	previous := s.previousInput
	s.previousInput = g.input
	s.mu.Unlock()
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.SwapAnswer }) {
		g.input = previous
		w.Header().Set(endpoint.HeaderRequestID, previous.id)
	}
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.Cut }) {
		g.cutAfter = s.faults.Get().CutAfterTokens
	}
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.Late }) {
		g.sleep(control.Seconds(s.faults.Get().LateSeconds))
	}
}

func (g *generation) sleep(d time.Duration) bool { return control.Sleep(g.ctx, g.server.clock, d) }

// prefixSpeedup divides the time to the first token of a request whose prefix is in the cache.
const prefixSpeedup = 4

func (g *generation) firstToken() time.Duration {
	s := g.server
	s.mu.Lock()
	hit := s.touchPrefix(g.process, g.model.Model, g.request.prefix())
	s.mu.Unlock()
	d := g.scaled(s.options.FirstToken)
	if hit {
		return d / prefixSpeedup
	}
	return d
}

func (g *generation) betweenTokens() time.Duration { return g.scaled(g.server.options.BetweenTokens) }

// scaled lengthens a duration by SlowFactor and by the ratio of running requests to MaxBatch if it exceeds 1.
func (g *generation) scaled(d time.Duration) time.Duration {
	s := g.server
	s.mu.Lock()
	batch := float64(g.process.queue.running) / float64(s.options.MaxBatch)
	s.mu.Unlock()
	return time.Duration(float64(d) * max(1, batch) * max(1, s.faults.Get().SlowFactor))
}

// finish removes the request from the queue and records its outcome.
func (g *generation) finish(queued *ticket, outcome Outcome) {
	s := g.server
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted := queued.admitted
	g.process.queue.leave(queued)
	g.model.running--
	s.recordLoad(g.process)
	switch outcome {
	case OutcomeDone:
		s.truth.Done++
	case OutcomeCut:
		s.truth.Cut++
	case OutcomeCancelled:
		s.truth.Cancelled++
	}
	if !admitted {
		return
	}
	s.truth.Requests = appendBounded(s.truth.Requests, RequestEntry{
		ID: g.id, Model: g.request.Model, Begun: g.begun, Tokens: g.tokens, Outcome: outcome,
	})
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	var names []string
	for _, m := range s.process.loadedModels() {
		if m.State == endpoint.EngineLoaded {
			names = append(names, m.Model)
			names = append(names, m.Adapters...)
		}
	}
	s.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, newModelList(names))
}

// countWords approximates a token count by the number of words.
func countWords(text string) int { return len(strings.Fields(text)) }
