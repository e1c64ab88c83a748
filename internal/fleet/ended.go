package fleet

import "time"

// endDetectionTime is the time within which the end of an engine shows in its agent's reports and in what a hub relays of them,
// before or after its requests break off.
const endDetectionTime = time.Second

// MayHaveEnded reports whether an endpoint may have ended at a time: whether nothing shows that it was there later.
func (f *Fleet) MayHaveEnded(now time.Time, id string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil || e.replaced || !e.responsive(now) || e.downAt.Add(endDetectionTime).After(at) {
		return true
	}
	responded := e.responses.lastResponse
	if e.reportFresh(now) {
		if reported := e.loadReportedAt().Add(-endDetectionTime); reported.After(responded) {
			responded = reported
		}
	}
	return !responded.After(at)
}

// IsResponsive reports whether an endpoint is listed and, as far as is known, responds.
func (f *Fleet) IsResponsive(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	return e != nil && e.responsive(now)
}
