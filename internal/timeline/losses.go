package timeline

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Loss is a number of requests that did not get an answer in time, for one cause.
type Loss struct {
	// Ending is how the requests ended: late, refused, failed or left.
	Ending string
	Cause  string
	// Requests is their number, and Example the identifier of one.
	Requests int
	Example  string
}

// Endings of lost requests.
const (
	endingLate    = "late"
	endingRefused = "refused"
	endingFailed  = "failed"
	endingLeft    = "client left"
)

// The causes of losses. unexplained is that of requests whose lines do not tell it.
const (
	causeNoReplica  = "replica absent"
	causeNoPlace    = "batch full"
	causeBudget     = "retry budget used up"
	causeNoEndpoint = "no endpoint accepts work"
	causeNoConfig   = "gateway without configuration"
	causeNotRouted  = "request not valid or not routed"
	causeLost       = "endpoint lost while it ran, or its answer lost"
	causeFailure    = "endpoint answered with a failure"
	causeSlow       = "slow first event at the endpoint"
	causePause      = "pause within the stream"
	causeClient     = "client left while it was served"
	causeStop       = "planned stop"
	causeOutOfTime  = "deadline passed"
	unexplained     = "unexplained"
)

// refusalCauses are the causes of the gateway's refusals, by the beginning of their reason.
var refusalCauses = []struct{ reason, cause string }{
	{"no configuration yet", causeNoConfig},
	{"the model comes too late", causeNoReplica},
	{"the engines of the model have no place", causeNoPlace},
	{"the retry budget allows", causeBudget},
	{"no endpoint takes the request", causeNoEndpoint},
	{"no endpoint in time", causeOutOfTime},
	{"no whole answer", causeLost},
	{"a header field has", causeNotRouted},
	{"no route matches", causeNotRouted},
	{"the body", causeNotRouted},
}

// waitCauses are the causes of long waits, by what the request waited for last.
var waitCauses = map[string]string{"model": causeNoReplica, "place": causeNoPlace, "budget": causeBudget, "endpoint": causeNoEndpoint}

// stopWindow is how long after a process was told to stop its refusals are put down to that.
const stopWindow = 10 * time.Second

// Losses returns the requests that got no answer in time, by ending and cause, most frequent first. A request whose line
// was dropped is not counted; Dropped tells how many lines are missing.
func (l *LogReader) Losses() []Loss {
	refusals, stops := make(map[string]Event), make(map[string]uint64)
	ended := make(map[string]bool)
	for _, e := range l.Events {
		switch e.Kind {
		case "refused":
			refusals[e.Request] = e
		case "stopping":
			stops[e.Process] = e.Clock
		case "ended":
			ended[e.Request] = true
		}
	}
	losses := make(map[Loss]*Loss)
	add := func(ending, cause, request string) {
		key := Loss{Ending: ending, Cause: cause}
		if losses[key] == nil {
			losses[key] = &Loss{Ending: ending, Cause: cause, Example: request}
		}
		losses[key].Requests++
	}
	for _, e := range l.Events {
		switch {
		case e.Kind == "ended":
			if ending, cause := lossOf(e, refusals[e.Request], stops[e.Process]); ending != "" {
				add(ending, cause, e.Request)
			}
		case e.Kind == "refused" && !ended[e.Request]:
			add(endingRefused, refusalCause(e, stops[e.Process]), e.Request)
		}
	}
	list := make([]Loss, 0, len(losses))
	for _, loss := range losses {
		list = append(list, *loss)
	}
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Ending, b.Ending), strings.Compare(a.Cause, b.Cause))
	})
	return list
}

// lossOf returns how a request was lost and why; ending is empty for one that was answered in time.
func lossOf(e, refusal Event, stoppedAt uint64) (ending, cause string) {
	switch e.Fields["outcome"] {
	case "answered":
		return answeredLoss(e)
	case "refused":
		if strings.HasPrefix(refusal.Fields["reason"], "no whole answer") {
			return endingFailed, causeLost
		}
		return endingRefused, refusalCause(refusal, stoppedAt)
	case "cut":
		return endingFailed, causeLost
	case "client_gone":
		if e.Fields["first_event"] != "" {
			return endingLeft, causeClient
		}
		return endingLeft, beforeFirstEvent(e)
	}
	return endingFailed, unexplained
}

// answeredLoss returns the loss of a request that was answered, late or with a failure.
func answeredLoss(e Event) (ending, cause string) {
	switch {
	case e.Fields["status"] >= "500":
		return endingFailed, causeFailure
	case e.Fields["late"] == "pause":
		return endingLate, causePause
	case e.Fields["late"] != "":
		return endingLate, beforeFirstEvent(e)
	}
	return "", ""
}

// beforeFirstEvent returns what took most of the time before a request's first event.
func beforeFirstEvent(e Event) string {
	waited, _ := time.ParseDuration(e.Fields["waited"])
	total, _ := time.ParseDuration(cmp.Or(e.Fields["first_event"], e.Fields["took"]))
	if cause := waitCauses[e.Fields["waited_for"]]; cause != "" && 2*waited >= total {
		return cause
	}
	if e.Fields["sendings"] != "" && e.Fields["sendings"] != "0" {
		return causeSlow
	}
	return unexplained
}

func refusalCause(e Event, stoppedAt uint64) string {
	if stoppedAt != 0 && e.Clock >= stoppedAt && e.Clock-stoppedAt < uint64(stopWindow.Milliseconds())<<counterBits {
		return causeStop
	}
	for _, c := range refusalCauses {
		if strings.HasPrefix(e.Fields["reason"], c.reason) {
			return c.cause
		}
	}
	return unexplained
}
