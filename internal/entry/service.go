package entry

import (
	"net/http"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/declarations"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// serveService serves calls of plain services.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	id := e.newRequestID()
	now := e.clock.Now()
	body, w := newCallerBody(w, r)
	defer body.finish()
	service, ok := e.store.Current().ServiceFor(routedPath(r))
	if !ok && !e.canRoute() {
		e.writeError(w, id, refusalError(wirepb.RefusalReason_NOT_READY, minRetryAfter))
		return
	}
	if !ok {
		e.writeError(w, id, notRun(http.StatusNotFound, CodeNotFound, "no service has this path", 0))
		return
	}
	class, deadline, refusal := e.classAndDeadline(r.Header, e.serviceDeadlines(service), now)
	if refusal != nil {
		e.writeError(w, id, refusal)
		return
	}
	body.setLimits(e.bodyLimit(service), deadline)
	first, rest, refusal := body.readFirst()
	if refusal != nil {
		e.writeError(w, id, refusal)
		return
	}
	rq := &request{
		id:         id,
		target:     admission.Target{Service: service.Name},
		class:      class,
		deadline:   deadline,
		received:   now,
		idempotent: service.Idempotent(r.Method),
		method:     r.Method,
		path:       servicePath(r, service.PathPrefix),
		headers:    forwardedHeaders(r.Header),
		caller:     callerKey(r),
		body:       first,
		rest:       rest,
		length:     r.ContentLength,
	}
	if rest == nil {
		rq.length = int64(len(first))
	}
	e.serve(w, r, rq)
}

// serviceDeadlines returns the default deadlines of a service's calls.
func (e *Entry) serviceDeadlines(service *declarations.Service) deadlines {
	if ms := service.DefaultDeadlineMillis; ms > 0 {
		d := time.Duration(ms) * time.Millisecond
		return deadlines{interactive: d, batch: d}
	}
	return e.deadlines()
}

func (e *Entry) bodyLimit(service *declarations.Service) int64 {
	if service.MaxBodyBytes > 0 {
		return service.MaxBodyBytes
	}
	return e.options.MaxBody
}

// firstPart splits a body that is fully in memory into the part that is sent with the offer and the rest.
func firstPart(body []byte) (first, buffered []byte) {
	if len(body) <= wire.MaxFrameBytes/2 {
		return body, nil
	}
	return body[:wire.ChunkBytes], body[wire.ChunkBytes:]
}
