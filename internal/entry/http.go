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

// routes returns the callers' paths. What is not a model path belongs to the plain service whose prefix it has.
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
	sent, w := newCallerBody(w, r)
	defer sent.end()
	class, deadline, refusal := e.classAndDeadline(r.Header, e.deadlines(), now)
	if refusal == nil && !e.knowsEnough() {
		refusal = refused(wirepb.RefusalReason_NOT_READY, minRetryAfter)
	}
	if refusal != nil {
		e.answerError(w, id, refusal)
		return
	}
	sent.bound(e.options.MaxBody, deadline)
	body, refusal := sent.readAll()
	if refusal != nil {
		e.answerError(w, id, refusal)
		return
	}
	target, fields, body, refusal := chatTarget(e.store.Current(), body)
	if refusal != nil {
		e.answerError(w, id, refusal)
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
	rq.body, rq.kept = firstPart(body)
	e.serve(w, r, rq)
}

// knowsEnough reports whether the entry can tell what is declared and where it is. A stopping entry still can.
func (e *Entry) knowsEnough() bool { return e.draining.Load() || len(e.Ready()) == 0 }

// serve admits and forwards a request and sends its final answer.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, rq *request) {
	e.record(timeline.RequestReceived, rq, "", rq.method+" "+rq.path)
	if refusal := e.admit(rq); refusal != nil {
		e.record(timeline.RequestRefused, rq, "", string(refusal.code))
		e.answerError(w, rq.id, refusal)
		return
	}
	defer e.release(rq)
	out := newAnswer(w, rq.id)
	res := e.serveClaimed(r, rq, out)
	e.conclude(w, rq, res)
}

// conclude sends what is left to send.
func (e *Entry) conclude(w http.ResponseWriter, rq *request, res result) {
	e.metrics.observeRequest(rq, res, e.clock.Now().Sub(rq.received))
	if res.cut {
		e.record(timeline.RequestFailed, rq, "", "cut")
		// The body was begun and cannot be ended whole: only a cut connection tells the caller so.
		panic(http.ErrAbortHandler)
	}
	if res.err != nil {
		e.record(timeline.RequestRefused, rq, "", string(res.err.code))
		e.answerError(w, rq.id, res.err)
		return
	}
	e.record(timeline.RequestCompleted, rq, "", strconv.Itoa(res.status))
}

// admit takes a place for a request at this entry.
func (e *Entry) admit(rq *request) *apiError {
	e.mu.Lock()
	refusal := e.limiter.Acquire(e.clock.Now(), rq.class)
	e.mu.Unlock()
	if refusal == nil {
		return nil
	}
	return refused(refusal.Reason, refusal.RetryAfter)
}

func (e *Entry) release(rq *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Release(e.clock.Now(), rq.class)
}

func (e *Entry) answerError(w http.ResponseWriter, id string, refusal *apiError) {
	e.metrics.errors.WithLabelValues(string(refusal.code)).Inc()
	refusal.write(w, id)
}

// deadlines returns the declared deadlines of requests that name none.
func (e *Entry) deadlines() deadlines {
	limits := e.store.Current().Limits()
	return deadlines{
		interactive: time.Duration(limits.GetInteractiveDeadlineMillis()) * time.Millisecond,
		batch:       time.Duration(limits.GetBatchDeadlineMillis()) * time.Millisecond,
	}
}

// modelEntry is one line of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// modelList is the answer to GET /v1/models.
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
