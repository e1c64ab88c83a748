package main

import (
	"net/http"
	"slices"
	"time"
)

// tally counts requests and those of them that were served.
type tally struct{ all, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.all, 1)) }

const (
	// minCompared is the number of requests on each side from which two shares are compared.
	minCompared = 20
	// minBesideBad is the least share of sound streams that begin while bad parts come, as a part of the share at other times, and
	// minSkewed that of requests served while most connections go to one gateway.
	minBesideBad = 0.5
	minSkewed    = 0.75
)

// countShare counts a finished request on one of two sides, of those whose gateway had no fault. While no endpoint of a service was
// without one, its requests say nothing of where connections went.
func (c *checker) countShare(r *record, e outcome) {
	if e.cancelled || !c.faultFree(r.sentAt, time.Now(), r.gateway, plannedStopOf(r.gateway), storeTarget, storeLinkOf(r.gateway)) {
		return
	}
	_, bad := badPartOf(r.call.Parts)
	if active, known := c.besideBadPart(r.sentAt); known && r.kind == chat && !bad && r.call.LastEvent == 0 {
		side := &c.notBesideBad
		if active {
			side = &c.besideBad
		}
		side.count(e.status == http.StatusOK && len(e.body) > 0)
	}
	if !bad && (r.kind == read || r.kind == notice) && c.soundEndpoints(c.serviceOf(r), "", r.sentAt) > 0 {
		side := &c.even
		if c.isActive(skewTarget, contactTime) {
			side = &c.skewed
		}
		side.count(e.status == http.StatusOK)
	}
}

func (t *tally) count(served bool) {
	t.all++
	if served {
		t.served++
	}
}

// isActive reports whether a fault has lasted for longer than a time and has not ended. The caller holds mu.
func (c *checker) isActive(target string, since time.Duration) bool {
	return slices.ContainsFunc(c.faultPeriods[target], func(s span) bool { return s.end.IsZero() && time.Since(s.begin) > since })
}

// checkShares compares the shares that were served in both kinds of periods.
func (c *checker) checkShares() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range []struct {
		rule          string
		during, other tally
		least         float64
	}{
		{"beside a bad part", c.besideBad, c.notBesideBad, minBesideBad},
		{"skewed connections", c.skewed, c.even, minSkewed},
	} {
		c.counts["requests, "+s.rule] += s.during.all
		if s.during.all >= minCompared && s.other.all >= minCompared && s.during.share() < s.least*s.other.share() {
			c.addViolationLocked(s.rule, "%.2f of %d requests were served, of %d others %.2f", s.during.share(), s.during.all, s.other.all, s.other.share())
		}
	}
}

// skewTarget is the fault target that stands for connections that mostly go to one gateway.
const skewTarget = "skew"

// skewedShare is the share of the clients' requests that go to one gateway, on new connections, while connections are skewed.
const skewedShare = 0.8

// skew makes most clients connect to one gateway until the returned function is called.
func (s *site) skew(pick uint64) func() {
	end := s.checker.beginFault(skewTarget)
	s.skewed.Store(s.gateway(pick))
	return func() {
		s.skewed.Store(nil)
		end()
	}
}
