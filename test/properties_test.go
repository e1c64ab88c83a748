package test

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"balsamsail/internal/standin/engine"
)

// checkAnswered checks that each request got one final answer in time. A request whose entry was killed, stopped or
// frozen meanwhile is excused: nobody is left who could answer.
func checkAnswered(e *evidence) *violations {
	v := &violations{property: "each request is answered in time"}
	for _, x := range e.exchanges {
		if x.notSent || e.cluster.wasDown(x.entry, x.sent, x.ended) {
			continue
		}
		if x.unanswered() {
			v.addExchange("dropped", x)
			continue
		}
		if x.truncated() && x.kind != chatStream {
			v.addExchange("an answer that is not streamed was cut", x)
		}
		if late := x.lateness(); late > 0 {
			v.addExchange(fmt.Sprintf("late by %v", late), x)
		}
		if isRetryable(x) && !isPositive(x.retryAfter) {
			v.addExchange(fmt.Sprintf("no time to come back (%q)", x.retryAfter), x)
		}
	}
	return v
}

// late is how much too late the answer came: a stream's first bytes count, else the whole answer.
func (x *exchange) lateness() time.Duration {
	answered := x.ended
	if x.kind == chatStream && x.status == http.StatusOK && !x.firstByte.IsZero() {
		answered = x.firstByte
	}
	return max(0, answered.Sub(x.sent)-x.deadline-deadlineTolerance)
}

// retryLater reports whether the answer says that the request was not run and may be sent again.
func isRetryable(x *exchange) bool {
	return x.outcome == outcomeNotRun &&
		(x.status == http.StatusTooManyRequests || x.status == http.StatusServiceUnavailable)
}

func isPositive(seconds string) bool {
	n, err := strconv.Atoi(seconds)
	return err == nil && n > 0
}

// checkWhole checks that no answer that ended cleanly was a part of one, or another request's.
func checkWhole(e *evidence) *violations {
	v := &violations{property: "answers are whole and the request's own"}
	for _, x := range e.exchanges {
		if x.mismatch != "" {
			v.addExchange("not the answer", x)
		}
	}
	return v
}

const outcomeNotRun = "not_run"

// checkNotRun checks that what callers were told was not run did not run.
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
			v.addExchange(fmt.Sprintf("it ran %d times", n), x)
		}
	}
	return v
}

// checkOnce checks that no call that may run only once ran twice, and that one whose caller was told so did run.
func checkOnce(e *evidence) *violations {
	v := &violations{property: "a call that may run only once runs at most once"}
	for _, x := range e.exchanges {
		if x.kind != onceCall && x.kind != keyedCall {
			continue
		}
		n := e.truth.executions[x.marker]
		if n > 1 {
			v.addExchange(fmt.Sprintf("it ran %d times", n), x)
		}
		if n == 0 && x.served() {
			v.addExchange("it was answered and never ran", x)
		}
	}
	return v
}

// checkMemory checks the engines' own count of loads beyond their memory.
func checkMemory(e *evidence) *violations {
	v := &violations{property: "memory is never overcommitted"}
	for _, one := range e.truth.engines {
		if one.Overcommits > 0 || one.NoMemory > 0 {
			v.add("%s: %d overcommits, %d loads refused for memory", one.host.name, one.Overcommits, one.NoMemory)
		}
		for _, h := range one.History {
			if h.Kind == engine.HistoryOvercommitted {
				v.add("%s: %s of %s %s under fence %d", one.host.name, h.At.Format(clockFormat), h.Model, h.Adapter, h.Fence)
			}
		}
	}
	return v
}

const clockFormat = "15:04:05.000"

// holding is a time for which an engine held a model version in memory, loading and unloading included.
type residency struct {
	span
	model string
	fence uint64
}

// holdings reads the times for which an engine held models from its history. What it holds at the end has a zero end.
func (one engineTruth) residencies() []residency {
	open := map[string]*residency{}
	var all []*residency
	for _, h := range one.History {
		switch h.Kind {
		case engine.HistoryLoadStarted:
			open[h.Model] = &residency{span: span{begin: h.At}, model: h.Model, fence: h.Fence}
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

// checkReplicas checks that each engine held a model version only while the table's row named it as a holder, and that no
// row ever named more engines than the declarations allow. So at no time were more replicas loaded than decided.
func checkReplicas(e *evidence) *violations {
	v := &violations{property: "no more replicas are loaded than decided"}
	for _, one := range e.truth.engines {
		for _, held := range one.residencies() {
			if problem := slotViolation(held, one.host, e.rows[held.model]); problem != "" {
				v.add("%s held %s from %s (fence %d) %s", one.host.name, held.model, held.begin.Format(clockFormat),
					held.fence, problem)
			}
		}
	}
	for model, versions := range e.rows {
		for _, version := range versions {
			if n, most := len(version.row.Slots), maxReplicas[model]; n > most {
				v.add("%s has %d slots at %s, declared are at most %d", model, n, version.notAfter.Format(clockFormat), most)
			}
		}
	}
	return v
}

// maxReplicas is what declarationsText says.
var maxReplicas = map[string]int{
	"crack@v1": 2, "crack@v2": 2, "compaction@v1": 3, "holdover@v1": 2, "fluid@v1": 2, "single@v1": 1,
	"audit-a@v1": 2, "audit-b@v1": 2, "audit-c@v1": 2, "audit-d@v1": 2, "audit-e@v1": 2, "audit-f@v1": 2,
	"mover@v1": 2,
}

// outside says how a holding reaches beyond the engine's slots, or nothing. A row's version is taken to hold from the
// earliest time at which it may have come to be until the latest time at which the next one may.
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
	return fmt.Sprintf("and still after its slot was gone at %s, until %s", covered.Format(clockFormat),
		held.end.Format(clockFormat))
}

// names reports whether a row's version has a slot of the host's engine.
func hasSlot(version rowVersion, host *endpointHost) bool {
	for _, slot := range version.row.Slots {
		if slot.Engine == host.name && slot.Host == host.host().ID {
			return true
		}
	}
	return false
}
