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

// generation is one chat request on its way through the engine.
type generation struct {
	server  *Server
	process *process
	model   *model
	request chatRequest
	id      string
	// question is what the answer's text depends on; crossed answers take another request's.
	question question
	begun    time.Time
	tokens   int
	// cutAfter is the number of tokens after which a fault cuts the answer; negative for never.
	cutAfter int
	// ctx ends with the caller, the model or the process.
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
	g := &generation{server: s, request: request, id: id, question: request.question(), cutAfter: -1}
	g.question.id = id
	place := s.enter(g, r.Header.Get(endpoint.HeaderPriority))
	if g.model == nil {
		s.refuse(w, http.StatusNotFound, "model_not_found", "the model is not loaded")
		return
	}
	if place == nil {
		s.refuse(w, http.StatusServiceUnavailable, "overloaded", "the waiting list is full")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(g.model.ctx, cancel)()
	g.ctx = ctx
	g.run(w, place)
}

func (s *Server) refuse(w http.ResponseWriter, status int, code, message string) {
	s.mu.Lock()
	s.truth.Refused++
	s.mu.Unlock()
	control.WriteError(w, status, code, message)
}

// enter finds the request's model and takes a place in the queue.
func (s *Server) enter(g *generation, priority string) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.process = s.process
	g.model = g.process.find(g.request.Model)
	if g.model == nil {
		return nil
	}
	place := g.process.queue.enter(priority)
	if place == nil {
		return nil
	}
	g.model.running++
	s.noteLoad(g.process)
	return place
}

// find returns the loaded model with a name, or the one that holds an adapter of that name.
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

// run waits for the request's turn and generates the answer.
func (g *generation) run(w http.ResponseWriter, place *ticket) {
	outcome := OutcomeCancelled
	defer func() { g.end(place, outcome) }()
	select {
	case <-place.ready:
	case <-g.ctx.Done():
		g.abort()
	}
	g.begun = g.server.clock.Now()
	g.applyFaults(w)
	if !g.sleep(g.firstToken()) {
		outcome = g.ended()
		g.abort()
	}
	outcome = OutcomeCut
	answer := newAnswerWriter(w, g)
	for g.tokens < g.request.tokens(g.server.options.DefaultTokens) {
		if g.tokens == g.cutAfter {
			control.Lose()
		}
		if g.tokens > 0 && !g.sleep(g.betweenTokens()) {
			outcome = g.ended()
			g.abort()
		}
		answer.token(g.tokens)
		g.tokens++
	}
	if g.tokens == g.cutAfter {
		control.Lose()
	}
	answer.finish()
	outcome = OutcomeDone
}

// abort ends an answer that cannot be completed. If the caller is still there it sees a broken connection.
func (g *generation) abort() { control.Lose() }

// ended says why the context ended.
func (g *generation) ended() Outcome {
	if g.model.ctx.Err() != nil {
		return OutcomeCut
	}
	return OutcomeCancelled
}

// applyFaults decides what goes wrong with this answer.
func (g *generation) applyFaults(w http.ResponseWriter) {
	s := g.server
	s.mu.Lock()
	previous := s.previous
	s.previous = g.question
	s.mu.Unlock()
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.Cross }) {
		g.question = previous
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
	hit := s.notePrefix(g.process, g.model.Model, g.request.prefix())
	s.mu.Unlock()
	d := g.paced(s.options.FirstToken)
	if hit {
		return d / prefixSpeedup
	}
	return d
}

func (g *generation) betweenTokens() time.Duration { return g.paced(g.server.options.BetweenTokens) }

// paced stretches a duration by the fault and by how far the batch exceeds what runs at full speed.
func (g *generation) paced(d time.Duration) time.Duration {
	s := g.server
	s.mu.Lock()
	batch := float64(g.process.queue.running) / float64(s.options.MaxBatch)
	s.mu.Unlock()
	return time.Duration(float64(d) * max(1, batch) * max(1, s.faults.Get().SlowFactor))
}

// end gives the request's place back and keeps the truth.
func (g *generation) end(place *ticket, outcome Outcome) {
	s := g.server
	s.mu.Lock()
	defer s.mu.Unlock()
	began := place.admitted
	g.process.queue.leave(place)
	g.model.running--
	s.noteLoad(g.process)
	switch outcome {
	case OutcomeDone:
		s.truth.Done++
	case OutcomeCut:
		s.truth.Cut++
	case OutcomeCancelled:
		s.truth.Cancelled++
	}
	if !began {
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

// countWords stands in for a tokenizer.
func countWords(text string) int { return len(strings.Fields(text)) }
