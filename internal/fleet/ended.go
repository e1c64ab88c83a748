package fleet

import (
	"time"

	"balsamsail/internal/crashes"
)

// EndDetectionTime is the time within which the end of an engine shows in its agent's reports and in what a hub relays of them,
// before or after its requests break off.
const EndDetectionTime = time.Second

// MayHaveEnded reports whether a process of an endpoint may have ended at a time: whether nothing shows that it was there later.
func (f *Fleet) MayHaveEnded(now time.Time, p crashes.Process, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[p.EndpointID]
	if e.endedAfter(now, p, at) {
		return true
	}
	responded := e.responses.lastResponse
	if e.reportFresh(now) {
		if reported := e.loadReportedAt().Add(-EndDetectionTime); reported.After(responded) {
			responded = reported
		}
	}
	return !responded.After(at)
}

// HasEnded reports whether a process of an endpoint is gone or does not respond, and so may have ended at the given time.
func (f *Fleet) HasEnded(now time.Time, p crashes.Process, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[p.EndpointID].endedAfter(now, p, at)
}

// endedAfter reports whether the process p is gone or does not respond now, or its agent has lost it at about the given time or later.
// The endpoint is the one listed under its ID, or nil.
func (e *endpoint) endedAfter(now time.Time, p crashes.Process, at time.Time) bool {
	return e == nil || p.Started != 0 && p.Started != e.started || e.replaced || !e.responsive(now) || e.downAt.Add(EndDetectionTime).After(at)
}

// IsResponsive reports whether the chosen process is listed and, as far as is known, responds.
func (f *Fleet) IsResponsive(now time.Time, c Choice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.chosen(c)
	return e != nil && e.responsive(now)
}
