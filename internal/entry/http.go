package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/timeline"
	"balsamsail/internal/wire/wirepb"
)

const (
	pathChat   = "/v1/chat/completions"
	pathModels = "/v1/models"
)

// routes returns the handler of the callers' paths. Any path other than the model paths belongs to the plain service
// whose prefix matches.
func (e *Entry) routes() http.Handler {
	r := chi.NewRouter()
	r.Post(pathChat, e.serveChat)
	r.Get(pathModels, e.serveModels)
	r.NotFound(e.serveService)
	r.MethodNotAllowed(e.serveService)
	return r
}

// serveChat serves POST /v1/chat/completions.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	id := e.newRequestID()
	now := e.clock.Now()
	incoming, w := newCallerBody(w, r)
	defer incoming.finish()
	class, deadline, refusal := e.classAndDeadline(r.Header, e.deadlines(), now)
	if refusal == nil && !e.canRoute() {
		refusal = refusalError(wirepb.RefusalReason_NOT_READY, minRetryAfter)
	}
	if refusal != nil {
		e.writeError(w, id, refusal)
		return
	}
	incoming.setLimits(e.options.MaxBody, deadline)
	body, refusal := incoming.readAll(r)
	if refusal != nil {
		e.writeError(w, id, refusal)
		return
	}
	target, fields, body, refusal := chatTarget(e.store.Current(), body)
	if refusal != nil {
		e.writeError(w, id, refusal)
		return
	}
	rq := &request{
		id:         id,
		target:     target,
		class:      class,
		deadline:   deadline,
		received:   now,
		stream:     fields.Stream,
		idempotent: true,
		method:     http.MethodPost,
		path:       pathChat,
		headers:    forwardedHeaders(r.Header),
		caller:     callerKey(r),
		length:     int64(len(body)),
	}
	rq.body, rq.buffered = firstPart(body)
	e.serve(w, r, rq)
}

// canRoute reports whether the entry has the declarations and the host list. An entry that is stopping still has them.
func (e *Entry) canRoute() bool { return e.draining.Load() || len(e.Ready()) == 0 }

// serve admits and forwards a request and sends its final response.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, rq *request) {
	e.record(timeline.RequestReceived, rq, "", rq.method+" "+rq.path)
	if refusal := e.admit(rq); refusal != nil {
		e.record(timeline.RequestRefused, rq, "", string(refusal.code))
		e.writeError(w, rq.id, refusal)
		return
	}
	defer e.release(rq)
	out := newResponse(w, rq.id)
	res := e.forwardWithClaim(r, rq, out)
	e.finishRequest(w, rq, res)
}

// finishRequest records the result of a request and sends what remains to be sent.
func (e *Entry) finishRequest(w http.ResponseWriter, rq *request, res result) {
	e.metrics.observeRequest(rq, res, e.clock.Now().Sub(rq.received))
	if res.abort {
		e.record(timeline.RequestFailed, rq, "", "cut")
		// The response has started and cannot be completed: only aborting the connection shows the caller that it is
		// truncated.
		panic(http.ErrAbortHandler)
	}
	if res.err != nil {
		e.record(timeline.RequestRefused, rq, "", string(res.err.code))
		e.writeError(w, rq.id, res.err)
		return
	}
	e.record(timeline.RequestCompleted, rq, "", strconv.Itoa(res.status))
}

// admit applies the concurrency limit of the entry to a request.
func (e *Entry) admit(rq *request) *apiError {
	e.mu.Lock()
	refusal := e.limiter.Acquire(e.clock.Now(), rq.class)
	e.mu.Unlock()
	if refusal == nil {
		return nil
	}
	return refusalError(refusal.Reason, refusal.RetryAfter)
}

func (e *Entry) release(rq *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Release(e.clock.Now(), rq.class)
}

func (e *Entry) writeError(w http.ResponseWriter, id string, refusal *apiError) {
	e.metrics.errors.WithLabelValues(string(refusal.code)).Inc()
	refusal.write(w, id)
}

// deadlines returns the declared default deadlines.
func (e *Entry) deadlines() deadlines {
	limits := e.store.Current().Limits()
	return deadlines{
		interactive: time.Duration(limits.GetInteractiveDeadlineMillis()) * time.Millisecond,
		batch:       time.Duration(limits.GetBatchDeadlineMillis()) * time.Millisecond,
	}
}

// modelEntry is one element of the response to GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels serves GET /v1/models.
func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request) {
	set := e.store.Current()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range set.Models() {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: "balsamsail"})
	}
	for _, a := range set.Adapters() {
		list.Data = append(list.Data, modelEntry{ID: a.Name, Object: "model", OwnedBy: "balsamsail", Parent: a.Model})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, e.newRequestID())
	_ = json.NewEncoder(w).Encode(list)
}
