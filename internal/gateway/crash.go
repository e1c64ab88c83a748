package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
)

const (
	// maxEndedAlone is the number of endpoints that may end under a request at a gateway that does not hear from the others,
	// and so does not know what the client's other tries have ended.
	maxEndedAlone = 1
	// endCheckTime is the time after which a refused request is worth another look: by then endpoints that have not ended have
	// reported, and a gateway that has just started has heard from the others.
	endCheckTime = time.Second
)

// contentOf returns the hash of what all tries of a client have in common.
func contentOf(r *http.Request, call Call, body []byte) crashes.Content {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.RequestURI, call.Model, call.Adapter, call.Prompt} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(":")
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(body)
	return crashes.Content(h.Sum64())
}

// recordEnd records that an endpoint has left a request without a whole answer, and so may have ended. The parts of its prompt are
// suspects only if the answer was not under way: something else has ended the endpoint then.
func (g *Gateway) recordEnd(q *request, choice fleet.Choice) {
	now := time.Now()
	if !q.progress.underWay() {
		g.options.Parts.Ended(now, q.parts, processOf(choice), q.content)
	}
	g.options.Crashes.Add(now, endOf(q, choice), now)
}

// recordLaterEnd records that an endpoint has ended under a request that its client, or the deadline, took from it at about the same
// time: an end that has come before shows only after a while. The parts of the prompt are no suspects, as most such requests had
// nothing to do with the end.
func (g *Gateway) recordLaterEnd(q *request, choice fleet.Choice) {
	end, at := endOf(q, choice), time.Now()
	time.AfterFunc(fleet.EndDetectionTime, func() {
		if now := time.Now(); g.fleet.HasEnded(now, end.Process, at) {
			g.options.Crashes.Add(now, end, at)
		}
	})
}

func endOf(q *request, choice fleet.Choice) crashes.End {
	return crashes.End{Content: q.content, Process: processOf(choice), Attempt: rand.Uint64()}
}

func processOf(c fleet.Choice) crashes.Process {
	return crashes.Process{EndpointID: c.ID, Started: c.Started}
}

// mustNotBeSent reports whether so many endpoints have ended under the request, in all tries of its client, or under requests that
// share a part of its prompt, that it is sent to no other one.
func (g *Gateway) mustNotBeSent(now time.Time, q *request) bool {
	return g.hasBlamedPart(now, q) || g.endsEndpoints(now, q)
}

func (g *Gateway) endsEndpoints(now time.Time, q *request) bool {
	ended := g.options.Crashes.Ended(now, q.content, g.fleet.MayHaveEnded)
	limit, alone := crashes.MaxEnded, !g.options.InContact()
	if alone {
		limit = maxEndedAlone
	}
	if ended.Processes < limit {
		return false
	}
	q.refusedFor, q.servableIn = reasonEndsEndpoints, ended.Until.Sub(now)
	if alone || now.Sub(ended.Last) < endCheckTime {
		q.servableIn = endCheckTime
	}
	g.requestLog.write(now, true, "endpoints have ended under this request", "event", "crash_refused", "request", q.call.ID,
		"content", q.contentText(), "ended", ended.Processes, "alone", alone, "sendings", q.attempts)
	return true
}

func (q *request) contentText() string { return strconv.FormatUint(uint64(q.content), 16) }
