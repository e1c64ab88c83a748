package joined

import (
	"fmt"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// callResult is the final result that a caller gets.
type callResult string

const (
	resultWhole    callResult = "whole"
	resultReplayed callResult = "replayed"
	resultNotRun   callResult = "not run"
	resultUnknown  callResult = "unknown"
	// resultCut: the connection broke during the answer, so that the caller can tell that it is incomplete.
	resultCut callResult = "cut"
)

// answerGrace is the time after the deadline within which a request must get its final answer. It leaves time for the
// agent's confirmation of a request that was withdrawn at the deadline.
const answerGrace = 200 * time.Millisecond

// call is one call of a caller.
type call struct {
	w      *world
	number int
	token  string
	// service is set for calls of the plain service; key is the idempotency key of those that the caller may repeat.
	service, key, model string
	// idempotent is set for calls of the plain service that may run more than once, like requests for models.
	idempotent bool
	class      wirepb.Class
	caller     string
	timeout    time.Duration
	// disconnectAfter is the time after which the caller disconnects; 0 if it does not.
	disconnectAfter time.Duration
	streamed        bool
	// repeats is how often the caller repeats a call with a key that is not reported as having run.
	repeats int

	// at is the time at which the call arrived at the entry, from which its timeout counts.
	at           time.Duration
	entry        *entry
	received     string
	results      []callResult
	disconnected bool
	runs         int
	// onResult, if set, is called with the final result.
	onResult func(callResult)
}

// newCall returns a call that has not been sent yet.
func (w *world) newCall() *call {
	c := &call{w: w, number: len(w.calls), token: fmt.Sprint("call", len(w.calls)), class: wirepb.Class_INTERACTIVE, caller: "someone"}
	w.calls = append(w.calls, c)
	return c
}

// send sends the call to an entry.
func (c *call) send(e *entry) {
	c.entry = e
	c.w.counts["calls"]++
	e.later(c.w.net.latency(), func() {
		c.at = c.w.elapsed
		c.w.after(c.timeout+answerGrace, c.checkAnswered)
		e.handleCall(c)
	})
}

// newRequestID returns the request ID of a call at an entry.
func (w *world) newRequestID(e *entry, c *call) string {
	id := fmt.Sprintf("%s-%d-%d", e.name, e.started, e.sequence)
	w.callOf[id] = c
	return id
}

// receive appends a part of the answer.
func (c *call) receive(data []byte) { c.received += string(data) }

// deliver handles the final result of the call and checks it.
func (c *call) deliver(_ *entry, result callResult, body string) {
	w := c.w
	c.results = append(c.results, result)
	w.counts["result "+string(result)]++
	w.logf("%s gets result %q after %v", c.token, result, w.elapsed-c.at)
	if len(c.results) > 1 {
		w.violated("P3", "%s gets several results: %v", c.token, c.results)
	}
	switch result {
	case resultWhole:
		if c.received != answerContent(c, c.streamed) {
			w.violated("P4", "%s gets the wrong answer %q", c.token, c.received)
		}
	case resultReplayed:
		c.checkReplay(body)
	case resultNotRun:
		if c.runs > 0 {
			w.violated("P5", "%s is reported as not run, but has run", c.token)
		}
	}
	if c.onResult != nil {
		c.onResult(result)
	}
	if c.key != "" && c.repeats > 0 && result != resultWhole && result != resultReplayed && !w.healthy {
		w.after(w.between(10*time.Millisecond, 2*time.Second), c.repeat)
	}
}

// checkReplay checks that a replayed answer belongs to a call with the same key that ran.
func (c *call) checkReplay(body string) {
	for _, other := range c.w.calls {
		if other.key == c.key && other.runs > 0 && body == answerContent(other, false) {
			return
		}
	}
	c.w.violated("P4", "%s gets the wrong replayed answer %q", c.token, body)
}

// repeat sends the call again with the same key.
func (c *call) repeat() {
	entries := c.w.liveEntries()
	if len(entries) == 0 {
		return
	}
	next := c.w.newCall()
	next.service, next.key, next.timeout, next.repeats = c.service, c.key, c.timeout, c.repeats-1
	next.send(pick(c.w.sim, entries))
}

// recordRun records and checks that an endpoint runs the call.
func (c *call) recordRun(h *host, request string) {
	w := c.w
	c.runs++
	w.logf("%s runs %s for %s", h.endpoint, request, c.token)
	if len(c.results) > 0 && c.results[0] == resultNotRun {
		w.violated("P5", "%s was reported as not run, but runs now", c.token)
	}
	if c.service == "" || c.idempotent {
		return
	}
	if c.runs > 1 {
		w.violated("P6", "%s runs %d times", c.token, c.runs)
	}
	if c.key != "" {
		w.keyRuns[c.key]++
		if w.keyRuns[c.key] > 1 {
			w.violated("P6", "the calls with key %s run %d times", c.key, w.keyRuns[c.key])
		}
	}
}

// checkAnswered checks that the caller has its final answer within answerGrace of the deadline, or that a streamed answer
// has begun. After a freeze the entry gets the same time again.
func (c *call) checkAnswered() {
	w := c.w
	switch {
	case len(c.results) > 0 || !c.entry.alive || c.disconnected:
		return
	case c.entry.frozen:
		w.after(answerGrace, c.checkAnswered)
		return
	case w.elapsed-c.entry.thawedAt < answerGrace:
		w.after(answerGrace, c.checkAnswered)
		return
	case c.streamed && c.received != "" && w.elapsed < c.at+c.timeout+maxAnswer:
		w.after(time.Second, c.checkAnswered)
		return
	}
	w.violated("P3", "%s has no final answer %v after its deadline", c.token, w.elapsed-c.at-c.timeout)
}
