package fleet

import (
	"slices"
	"time"

	"balsamsail/internal/routing"
)

const (
	// leastSilence is how long an endpoint may say nothing, with a request at it, before others are preferred: answers of plain
	// services take some 60 ms, 240 ms at one that is four times slower than the rest.
	leastSilence = 400 * time.Millisecond
	// silenceFactor is that time in usual answers of the service, where these take longer.
	silenceFactor = 4
	// probeInterval is the time after which a silent endpoint gets one more request that may be repeated: it may be well again,
	// and nothing else would show it.
	probeInterval = time.Second
	// usualWeight is the weight of a new answer in the usual time of a service's answers.
	usualWeight = 0.05
)

// silence follows whether an endpoint says anything while requests are at it.
//
// It guards against an endpoint that goes dark: its host neither answers nor refuses, connections to it stay open, and its
// registration lapses only after three heartbeats, some 4 s, later where the store is away. Calls that may run once can't be
// sent again, and a client that leaves without an answer told nobody anything: of 50 calls in 10 s a gateway lost 6 or 7 to one of
// three endpoints, and one or two with this.
type silence struct {
	// since is when the first request was sent after the endpoint's last word; zero while none is at it without a word.
	since time.Time
	// lastSent is when the last one was sent, lastHeard when the endpoint spoke last.
	lastSent, lastHeard time.Time
}

func (s *silence) sent(now time.Time) {
	s.lastSent = now
	if s.since.IsZero() {
		s.since = now
	}
}

// heard notes the answer to one of the open requests: the others are waited for anew.
func (s *silence) heard(now time.Time, open int) {
	s.lastHeard, s.since = now, now
	if open <= 1 {
		s.since = time.Time{}
	}
}

// done ends a request, with so many still open. The last one whose client left without a word of the endpoint leaves it as
// silent as it was.
func (s *silence) done(open int) {
	if open == 0 && !s.lastHeard.Before(s.lastSent) {
		s.since = time.Time{}
	}
}

// tooLong reports whether the endpoint has been silent for longer than allowed.
func (s *silence) tooLong(now time.Time, allowed time.Duration) bool {
	return !s.since.IsZero() && now.Sub(s.since) > allowed
}

// Heard notes an answer of an endpoint, and how long it took.
func (f *Fleet) Heard(now time.Time, id string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	e.silence.heard(now, e.sent)
	usual, known := f.usual[e.Service]
	if !known {
		usual = took
	}
	f.usual[e.Service] = usual + time.Duration(usualWeight*float64(took-usual))
}

// speaking leaves out the endpoints of a plain service that have been silent for too long, unless all have: then the service is
// slow, or this gateway is cut off. Engines are not looked at: they may rightly be silent until a first event, and the agents
// beside them tell whether they live.
func (f *Fleet) speaking(now time.Time, candidates []routing.Candidate, w *Want) []routing.Candidate {
	if w.Model != "" {
		return candidates
	}
	allowed := max(leastSilence, silenceFactor*f.usual[w.Service])
	left := slices.DeleteFunc(slices.Clone(candidates), func(c routing.Candidate) bool {
		s := &f.endpoints[c.Endpoint].silence
		probe := w.Repeatable && now.Sub(s.lastSent) > probeInterval
		return s.tooLong(now, allowed) && !probe
	})
	untried := func(c routing.Candidate) bool { return !slices.Contains(w.Tried, c.Endpoint) }
	if !slices.ContainsFunc(left, untried) {
		return candidates
	}
	return left
}
