package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"balsamsail/platform/standin"
)

const (
	// badPartPause is the time between two requests with a part that ends endpoints.
	badPartPause = 250 * ms
	// badPartEnds is the number of ends after which all gateways must know the part within contactTime; from then on maxBadArrivals
	// requests with it may reach endpoints.
	badPartEnds    = 5
	contactTime    = 3 * second
	maxBadArrivals = 3
	// maxBadParts is the number of such parts at a time, which one in overlapOneIn reaches.
	maxBadParts  = 2
	overlapOneIn = 12
	// commonParts is the number of second parts that sound prompts have.
	commonParts = 6
	// badPartMark begins the IDs of the parts that end endpoints.
	badPartMark = "bad"
)

// badPart is what is known of a part that ends endpoints.
type badPart struct {
	ended map[string]bool
	// last is when the last endpoint ended under it, and fifth when the fifth did; zero before.
	last, fifth time.Time
	// active is set while requests with it come.
	active bool
	// late is the number of requests with it that have reached endpoints too late.
	late int
}

// promptOf returns the list of parts of a sound prompt.
func promptOf(common int, own string) string {
	return fmt.Sprintf("f00d:40,c%d:40,%s:20", common%commonParts, own)
}

// badPartOf returns the part of a prompt that ends endpoints, if it has one.
func badPartOf(prompt string) (id string, bad bool) {
	for part := range strings.SplitSeq(prompt, ",") {
		id, _, _ = strings.Cut(part, ":")
		if strings.HasPrefix(id, badPartMark) {
			return id, true
		}
	}
	return "", false
}

// sendBadParts sends requests that share a part which ends the engines that begin to answer them, no two alike, each to another
// gateway, until the returned function is called.
func (s *site) sendBadParts(pick uint64) func() {
	n := s.badPartsSent.Add(1)
	most := int64(1)
	if pick%overlapOneIn == 0 {
		most = maxBadParts
	}
	if s.badPartsActive.Add(1) > most {
		s.badPartsActive.Add(-1)
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	part := fmt.Sprintf("%s%x", badPartMark, n)
	s.checker.setBadPart(part, true)
	go func() {
		defer close(done)
		for n := uint64(0); ctx.Err() == nil; n++ {
			go s.sendBadPart(part, pick, n)
			select {
			case <-ctx.Done():
			case <-time.After(badPartPause):
			}
		}
	}()
	return func() {
		stop()
		<-done
		s.checker.setBadPart(part, false)
		s.badPartsActive.Add(-1)
	}
}

func (s *site) sendBadPart(part string, pick, n uint64) {
	gateway := s.gateway(pick/3 + n*n)
	c := newClient(s, gateway, 3000)
	defer c.close()
	id := fmt.Sprintf("%s-%d", part, n)
	r := &record{kind: chat, gateway: gateway.name, call: standin.Call{
		ID: id, Host: siteHost, Method: http.MethodPost, Path: prefixChat + id, Model: s.models[(pick+n)%3], Events: 5, Timeout: 4 * second,
		Parts: fmt.Sprintf("f00d:40,%s:40,c%d:30,%s:20", part, n%commonParts, id),
	}}
	ctx, cancel := context.WithTimeout(context.Background(), r.call.Timeout+responseSlack)
	defer cancel()
	c.attempt(ctx, r)
}

// setBadPart records that requests with a part that ends endpoints begin to come, or come no more.
func (c *checker) setBadPart(part string, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.badParts[part] == nil {
		c.badParts[part] = &badPart{ended: map[string]bool{}}
	}
	c.badParts[part].active = active
}

// besideBadPart reports whether requests with bad parts come, and whether the gateways have had the time to know all of them and the
// engines to come back. The caller holds mu.
func (c *checker) besideBadPart(at time.Time) (active, known bool) {
	known = true
	for _, p := range c.badParts {
		since := p.last
		if p.active && !p.fifth.IsZero() {
			since = p.fifth
		}
		active = active || p.active
		known = known && at.Sub(since) > 2*contactTime
	}
	return active, known
}

// recordBadArrival checks a request that has reached an endpoint with a part that ends endpoints. The caller holds mu.
func (c *checker) recordBadArrival(a standin.Arrival, r *record) {
	id, bad := badPartOf(a.Prompt)
	if !bad {
		return
	}
	c.counts["requests with a bad part at endpoints"]++
	p := c.badParts[id]
	if p == nil || p.fifth.IsZero() || a.At.Sub(p.fifth) < contactTime || !c.faultFree(r.sentAt, a.At, r.gateway, plannedStopOf(r.gateway)) {
		return
	}
	if p.late++; p.late > maxBadArrivals {
		c.addViolationLocked("bad part", "%d requests with %s have reached endpoints more than %v after the fifth of %d had ended, the last as %s from %s",
			p.late, id, contactTime, len(p.ended), a.RequestID, r.gateway)
	}
}

// recordBadEnd records that an endpoint ends under a part.
func (c *checker) recordBadEnd(part, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.badParts[part]
	p.ended[incarnation], p.last = true, time.Now()
	if len(p.ended) == badPartEnds && p.fifth.IsZero() {
		p.fifth = time.Now()
	}
	c.counts["endpoints ended under a part"]++
}
