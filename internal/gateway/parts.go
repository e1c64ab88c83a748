package gateway

import (
	"slices"
	"time"

	"balsamsail/internal/crashes"
)

const (
	// underWayTime is how long an endpoint goes on after the first event of an answer until the answer shows that no part of its
	// prompt ends the endpoint.
	underWayTime = 200 * time.Millisecond
	// noteInterval is the time between two notes that an answer is still under way.
	noteInterval = time.Second
)

// partsOf returns the parts of a request's prompt that other requests may share, each once.
func partsOf(call Call) []crashes.Part {
	var parts []crashes.Part
	for _, id := range call.SharedParts {
		if part := crashes.PartOf(id); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// answerProgress is how far a streamed answer has got.
type answerProgress struct {
	// began and last are when its first and its latest events arrived; zero before that.
	began, last time.Time
	// noted is when it was last counted in favour of the parts of the prompt.
	noted time.Time
}

// lasted returns the time from the first event to the latest one.
func (p *answerProgress) lasted() time.Duration { return p.last.Sub(p.began) }

// underWay reports whether the endpoint has gone on for so long that no part of the prompt ends it.
func (p *answerProgress) underWay() bool { return p.lasted() >= underWayTime }

// noteAnswering counts the events of a stream in favour of the parts of its prompt, once the answer is under way.
func (g *Gateway) noteAnswering(q *request, now time.Time) {
	p := &q.progress
	if p.began.IsZero() {
		p.began = now
	}
	p.last = now
	if !p.underWay() || now.Sub(p.noted) < noteInterval {
		return
	}
	p.noted = now
	g.options.Parts.Answered(now, q.parts)
}

func (g *Gateway) hasBlamedPart(now time.Time, q *request) bool {
	blame, blamed := g.options.Parts.Blame(now, q.parts)
	if !blamed {
		return false
	}
	q.refusedFor, q.servableIn = reasonPartEnds, blame.Until.Sub(now)
	g.requestLog.write(now, true, "endpoints have ended under requests with a part of its prompt", "event", "part_refused", "request", q.call.ID,
		"part", q.partID(blame.Part), "ended", blame.Processes, "last", now.Sub(blame.Last), "sendings", q.attempts)
	return true
}

// partID returns the ID of one of the parts of the request's prompt.
func (q *request) partID(part crashes.Part) string {
	i := slices.IndexFunc(q.call.SharedParts, func(id string) bool { return crashes.PartOf(id) == part })
	if i < 0 {
		return ""
	}
	return q.call.SharedParts[i]
}
