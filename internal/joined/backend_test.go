package joined

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// errAnswerTruncated reports that the endpoint's answer ended early.
var errAnswerTruncated = errors.New("joined: endpoint's answer is truncated")

// lastEvent is the last event of a streamed chat completion.
const lastEvent = "[DONE]"

// run is the execution of one request at an endpoint. The parts of the answer reach the agent in order.
type run struct {
	*world
	number         int
	agent          *agent
	call           *call
	request        string
	model, adapter string
	streamed       bool
	queue          []func()
	// head, chunk and end deliver the answer to the agent.
	head  func(status int)
	chunk func(data []byte)
	end   func(err error)
	// cancelled is set when the agent has cancelled the call.
	cancelled bool
}

// emit sends a part of the answer to the agent.
func (r *run) emit(part func()) {
	r.queue = append(r.queue, part)
	r.agent.later(r.between(100*time.Microsecond, time.Millisecond), func() {
		next := r.queue[0]
		r.queue = r.queue[1:]
		if !r.cancelled {
			next()
		}
	})
}

func (r *run) truncate()      { r.fail(errAnswerTruncated) }
func (r *run) fail(err error) { r.emit(func() { r.end(err) }) }

// answer sends a complete short answer.
func (r *run) answer(status int, body string) {
	r.emit(func() { r.head(status) })
	r.emit(func() { r.chunk([]byte(body)) })
	r.fail(nil)
}

func sortedRuns(runs map[*run]bool) []*run {
	return slices.SortedFunc(maps.Keys(runs), func(a, b *run) int { return cmp.Compare(a.number, b.number) })
}

// answerParts returns the parts of the answer to a call. They contain the call's token, so that a mix-up is detected.
func answerParts(c *call, streamed bool) []string {
	list := []string{}
	for i := range 1 + c.number%4 {
		list = append(list, fmt.Sprintf("answer %d to %s; ", i, c.token))
	}
	if streamed {
		list = append(list, lastEvent)
	}
	return list
}

// answerContent returns the whole answer to a call.
func answerContent(c *call, streamed bool) string { return strings.Join(answerParts(c, streamed), "") }

// serve passes a request to the engine.
func (e *engine) serve(r *run) {
	if !e.up || e.faulty(60) {
		r.fail(endpoint.ErrUnreachable)
		return
	}
	incarnation := e.incarnation
	e.after(e.between(100*time.Microsecond, 3*time.Millisecond), func() {
		if e.up && e.incarnation == incarnation {
			e.begin(r)
			return
		}
		r.truncate()
	})
}

func (e *engine) begin(r *run) {
	m := e.models[r.model]
	switch {
	case m == nil || m.state != endpoint.EngineLoaded || r.adapter != "" && (m.adapters[r.adapter] == nil || !m.adapters[r.adapter].loaded):
		e.logf("%s has not loaded %s %s for %s", e.host.endpoint, r.model, r.adapter, r.request)
		r.answer(http.StatusNotFound, "the model is not loaded")
		return
	case e.faulty(40):
		r.answer(http.StatusServiceUnavailable, "busy")
		return
	}
	e.runs[r] = true
	r.call.recordRun(e.host, r.request)
	e.later(e.between(2*time.Millisecond, 150*time.Millisecond), func() { e.generate(r, answerParts(r.call, r.streamed), true) })
}

// generate sends an answer part by part. Faulty engines break the connection, end a truncated answer without an error, or
// return the answer of another request.
func (e *engine) generate(r *run, rest []string, first bool) {
	switch {
	case !e.runs[r]:
		return
	case r.cancelled:
		delete(e.runs, r)
		return
	case e.faulty(60):
		delete(e.runs, r)
		r.truncate()
		return
	case first && e.faulty(60):
		delete(e.runs, r)
		r.fail(endpoint.ErrWrongAnswer)
		return
	case len(rest) == 0 || r.streamed && e.faulty(60):
		delete(e.runs, r)
		r.fail(nil)
		return
	}
	if first {
		r.emit(func() { r.head(http.StatusOK) })
		if e.firstByteDelay > 0 {
			e.later(e.firstByteDelay, func() { e.generate(r, rest, false) })
			return
		}
	}
	part := []byte(rest[0])
	r.emit(func() { r.chunk(part) })
	e.later(e.between(2*time.Millisecond, 100*time.Millisecond), func() { e.generate(r, rest[1:], false) })
}

// service is a plain service, some of whose calls must not be repeated. It runs every call that has arrived, even if the
// caller has disconnected.
type service struct {
	*world
	host        *host
	up          bool
	incarnation int
	slow        bool
}

func newService(h *host) *service { return &service{world: h.world, host: h, up: true} }

func (s *service) stop() {
	s.up = false
	s.incarnation++
}

// serve passes a call to the service.
func (s *service) serve(r *run) {
	if !s.up || s.faulty(60) {
		r.fail(endpoint.ErrUnreachable)
		return
	}
	maxTime := 200 * time.Millisecond
	if s.slow {
		maxTime = 4 * time.Second
	}
	begin, end := s.between(100*time.Microsecond, maxTime/2), s.between(0, maxTime/2)
	incarnation := s.incarnation
	s.after(begin, func() {
		if !s.up || s.incarnation != incarnation || s.faulty(60) {
			r.truncate()
			return
		}
		r.call.recordRun(s.host, r.request)
		s.after(end, func() {
			if !s.up || s.incarnation != incarnation || s.faulty(30) {
				r.truncate()
				return
			}
			r.answer(http.StatusOK, answerContent(r.call, false))
		})
	})
}
