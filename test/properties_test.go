package test

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"balsamsail/internal/standin/engine"
)

// checkAnswered checks that each request got one final answer in time. Requests whose entry was killed, stopped or
// frozen meanwhile are skipped, because the entry could not answer them.
func checkAnswered(e *evidence) *violations {
	v := &violations{property: "each request is answered in time"}
	for _, x := range e.exchanges {
		if x.notSent || e.cluster.wasDown(x.entry, x.sent, x.ended) {
			continue
		}
		if x.unanswered() {
			v.addExchange("no answer", x)
			continue
		}
		if x.truncated() && x.kind != chatStream {
			v.addExchange("a non-streamed answer was truncated", x)
		}
		if late := x.lateness(); late > 0 {
			v.addExchange(fmt.Sprintf("late by %v", late), x)
		}
		if isRetryable(x) && !isPositive(x.retryAfter) {
			v.addExchange(fmt.Sprintf("no valid Retry-After header (%q)", x.retryAfter), x)
		}
	}
	return v
}

// lateness returns how long after the deadline (plus tolerance) the answer came. For a successful stream the first
// bytes count, else the end of the answer.
func (x *exchange) lateness() time.Duration {
	answered := x.ended
	if x.kind == chatStream && x.status == http.StatusOK && !x.firstByte.IsZero() {
		answered = x.firstByte
	}
	return max(0, answered.Sub(x.sent)-x.deadline-deadlineTolerance)
}

// isRetryable reports whether the answer says that the request was not run and may be sent again.
func isRetryable(x *exchange) bool {
	return x.outcome == outcomeNotRun &&
		(x.status == http.StatusTooManyRequests || x.status == http.StatusServiceUnavailable)
}

func isPositive(seconds string) bool {
	n, err := strconv.Atoi(seconds)
	return err == nil && n > 0
}

// checkWhole checks that no answer that ended without an error was incomplete or belonged to another request.
func checkWhole(e *evidence) *violations {
	v := &violations{property: "answers are whole and the request's own"}
	for _, x := range e.exchanges {
		if x.mismatch != "" {
			v.addExchange("wrong content", x)
		}
	}
	return v
}

const outcomeNotRun = "not_run"

// checkNotRun checks that no request with outcome "not_run" was executed. A keyed call may have been executed by
// another attempt with the same marker, so executions are checked only if all attempts had that outcome.
func checkNotRun(e *evidence) *violations {
	v := &violations{property: `"not run" is true`}
	began := map[string]string{}
	for _, one := range e.truth.engines {
		for _, r := range one.Requests {
			began[r.ID] = one.host.name
		}
	}
	otherOutcome := map[string]bool{}
	for _, x := range e.exchanges {
		if x.outcome != outcomeNotRun {
			otherOutcome[x.marker] = true
		}
	}
	for _, x := range e.exchanges {
		if x.outcome != outcomeNotRun {
			continue
		}
		if at, ran := began[x.requestID]; ran {
			v.addExchange(at+" ran it", x)
		}
		if n := e.truth.executions[x.marker]; n > 0 && !otherOutcome[x.marker] {
			v.addExchange(fmt.Sprintf("run %d times", n), x)
		}
	}
	return v
}

// checkOnce checks that no call that may run only once ran twice, and that each served one did run.
func checkOnce(e *evidence) *violations {
	v := &violations{property: "a call that may run only once runs at most once"}
	for _, x := range e.exchanges {
		if x.kind != onceCall && x.kind != keyedCall {
			continue
		}
		n := e.truth.executions[x.marker]
		if n > 1 {
			v.addExchange(fmt.Sprintf("run %d times", n), x)
		}
		if n == 0 && x.served() {
			v.addExchange("served but never run", x)
		}
	}
	return v
}

// checkMemory checks that no engine recorded a load beyond its memory.
func checkMemory(e *evidence) *violations {
	v := &violations{property: "memory is never overcommitted"}
	for _, one := range e.truth.engines {
		if one.Overcommits > 0 || one.NoMemory > 0 {
			v.add("%s: %d overcommits, %d loads refused for lack of memory", one.host.name, one.Overcommits, one.NoMemory)
		}
		for _, h := range one.History {
			if h.Kind == engine.HistoryOvercommitted {
				v.add("%s: %s of %s %s under fence %d", one.host.name, h.At.Format(clockFormat), h.Model, h.Adapter, h.FencingToken)
			}
		}
	}
	return v
}

const clockFormat = "15:04:05.000"

// residency is the time for which an engine had a model version in memory, from the start of its load to the end of its
// unload.
type residency struct {
	span
	model string
	fence uint64
}

// residencies returns all residencies in an engine's history. Models still in memory have a zero end.
func (one engineTruth) residencies() []residency {
	open := map[string]*residency{}
	var all []*residency
	for _, h := range one.History {
		switch h.Kind {
		case engine.HistoryLoadStarted:
			open[h.Model] = &residency{span: span{begin: h.At}, model: h.Model, fence: h.FencingToken}
			all = append(all, open[h.Model])
		case engine.HistoryLoadFailed, engine.HistoryUnloaded:
			if held := open[h.Model]; held != nil {
				held.end = h.At
				delete(open, h.Model)
			}
		case engine.HistoryRestarted:
			for _, held := range open {
				held.end = h.At
			}
			clear(open)
		}
	}
	list := make([]residency, len(all))
	for i, held := range all {
		list[i] = *held
	}
	return list
}

// checkReplicas checks that each engine had a model version in memory only while the table's row had a slot for it, and
// that no row ever had more slots than the declared max_replicas. Together these bound the loaded replicas at any time.
func checkReplicas(e *evidence) *violations {
	v := &violations{property: "no more replicas are loaded than decided"}
	for _, one := range e.truth.engines {
		for _, held := range one.residencies() {
			if problem := slotViolation(held, one.host, e.rows[held.model]); problem != "" {
				v.add("%s had %s in memory from %s (fence %d) %s", one.host.name, held.model, held.begin.Format(clockFormat),
					held.fence, problem)
			}
		}
	}
	for model, versions := range e.rows {
		for _, version := range versions {
			if n, most := len(version.row.Slots), maxReplicas[model]; n > most {
				v.add("%s has %d slots at %s, want at most %d as declared", model, n, version.notAfter.Format(clockFormat), most)
			}
		}
	}
	return v
}

// maxReplicas holds the values of max_replicas in declarationsText, by model version.
var maxReplicas = map[string]int{
	"crack@v1": 2, "crack@v2": 2, "compaction@v1": 3, "holdover@v1": 2, "fluid@v1": 2, "single@v1": 1,
	"audit-a@v1": 2, "audit-b@v1": 2, "audit-c@v1": 2, "audit-d@v1": 2, "audit-e@v1": 2, "audit-f@v1": 2,
	"mover@v1": 2,
}

// slotViolation describes the part of a residency that no slot of the engine covers, or returns "". A row's version
// counts from the earliest time at which it may have been written to the latest time at which the next one may have
// been.
func slotViolation(held residency, host *endpointHost, versions []rowVersion) string {
	covered := held.begin
	for i, version := range versions {
		if !hasSlot(version, host) {
			continue
		}
		if version.notBefore.After(covered) {
			break
		}
		if i == len(versions)-1 {
			return ""
		}
		if next := versions[i+1].notAfter; next.After(covered) {
			covered = next
		}
	}
	if covered.Equal(held.begin) {
		return "without a slot"
	}
	if !held.end.IsZero() && !held.end.After(covered) {
		return ""
	}
	return fmt.Sprintf("until %[2]s, after its slot was removed at %[1]s", covered.Format(clockFormat),
		held.end.Format(clockFormat))
}

// hasSlot reports whether a row's version has a slot for the host's engine.
func hasSlot(version rowVersion, host *endpointHost) bool {
	for _, slot := range version.row.Slots {
		if slot.Engine == host.name && slot.Host == host.host().ID {
			return true
		}
	}
	return false
}
