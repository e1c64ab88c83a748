package joined

import (
	"fmt"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// told is what a caller gets as the final answer.
type callResult string

const (
	resultWhole    callResult = "whole"
	resultReplayed callResult = "replayed"
	resultNotRun   callResult = "not run"
	resultUnknown  callResult = "unknown"
	// toldCut: the connection broke in the middle, so that the caller knows that the answer is not whole.
	resultCut callResult = "cut"
)

// answerBound is how long after its deadline a request may still get its final answer: the agent's word on a request that
// was withdrawn at the deadline has to come.
const answerGrace = 200 * time.Millisecond

// call is one call of a caller.
type call struct {
	w      *world
	number int
	token  string
	// service is set for calls of the plain service; key names those that the caller repeats.
	service, key, model string
	// idempotent calls of the plain service may run more than once, as requests for models may.
	idempotent bool
	class      wirepb.Class
	caller     string
	timeout    time.Duration
	// leaves is when the caller goes away; 0 when it stays.
	disconnectAfter time.Duration
	streamed        bool
	// patient callers repeat a call with a key until it is told to have run.
	repeats int

	// at is when the entry took the call up, which is when its deadline begins to count.
	at           time.Duration
	entry        *entry
	received     string
	results      []callResult
	disconnected bool
	runs         int
	// answered, when set, is told of the final answer.
	onResult func(callResult)
}

// newCall returns a call that has not been made yet.
func (w *world) newCall() *call {
	c := &call{w: w, number: len(w.calls), token: fmt.Sprint("call", len(w.calls)), class: wirepb.Class_INTERACTIVE, caller: "someone"}
	w.calls = append(w.calls, c)
	return c
}

// make sends the call to an entry.
func (c *call) send(e *entry) {
	c.entry = e
	c.w.counts["calls"]++
	e.later(c.w.net.latency(), func() {
		c.at = c.w.elapsed
		c.w.after(c.timeout+answerGrace, c.checkAnswered)
		e.handleCall(c)
	})
}

// newRequestID names a call at an entry.
func (w *world) newRequestID(e *entry, c *call) string {
	id := fmt.Sprintf("%s-%d-%d", e.name, e.started, e.sequence)
	w.callOf[id] = c
	return id
}

// receive takes a part of the answer.
func (c *call) receive(data []byte) { c.received += string(data) }

// tell takes the final answer.
func (c *call) deliver(_ *entry, result callResult, body string) {
	w := c.w
	c.results = append(c.results, result)
	w.counts["told "+string(result)]++
	w.logf("%s is told %q after %v", c.token, result, w.elapsed-c.at)
	if len(c.results) > 1 {
		w.violated("P3", "%s is told %v", c.token, c.results)
	}
	switch result {
	case resultWhole:
		if c.received != answerContent(c, c.streamed) {
			w.violated("P4", "%s gets %q", c.token, c.received)
		}
	case resultReplayed:
		c.checkReplay(body)
	case resultNotRun:
		if c.runs > 0 {
			w.violated("P5", "%s is told that it did not run, and did", c.token)
		}
	}
	if c.onResult != nil {
		c.onResult(result)
	}
	if c.key != "" && c.repeats > 0 && result != resultWhole && result != resultReplayed && !w.healthy {
		w.after(w.between(10*time.Millisecond, 2*time.Second), c.repeat)
	}
}

// checkReplay checks that a recorded answer belongs to the call under the same key that ran.
func (c *call) checkReplay(body string) {
	for _, other := range c.w.calls {
		if other.key == c.key && other.runs > 0 && body == answerContent(other, false) {
			return
		}
	}
	c.w.violated("P4", "%s gets the recorded answer %q", c.token, body)
}

// repeat makes the call again under the same key.
func (c *call) repeat() {
	entries := c.w.liveEntries()
	if len(entries) == 0 {
		return
	}
	next := c.w.newCall()
	next.service, next.key, next.timeout, next.repeats = c.service, c.key, c.timeout, c.repeats-1
	next.send(pick(c.w.sim, entries))
}

// ran takes in that an endpoint runs the call.
func (c *call) recordRun(h *host, request string) {
	w := c.w
	c.runs++
	w.logf("%s runs %s for %s", h.endpoint, request, c.token)
	if len(c.results) > 0 && c.results[0] == resultNotRun {
		w.violated("P5", "%s was told that it did not run, and runs", c.token)
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
			w.violated("P6", "the calls under %s run %d times", c.key, w.keyRuns[c.key])
		}
	}
}

// checkTold checks that the caller got its final answer by the deadline and a bound, or that a streamed one had begun. A
// frozen entry has the same time once it goes on.
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
