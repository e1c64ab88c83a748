package control

import (
	"sync"
	"time"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
)

const (
	// factsPerMessage bounds the facts of a kind in one message, which then takes some 20 KB; the rest follows in the next one.
	factsPerMessage = 512
	// contactTTL is the time without a message of another gateway after which this one counts as cut off.
	contactTTL = 2 * time.Second
)

// Facts are what the gateways of a site tell each other of requests. Gateways pass all that they learn on to their hub, hubs to
// their gateways and to the coordinator, and the coordinator to the hubs, so that each link carries each fact once or twice.
type Facts struct {
	Crashes *crashes.Tracker

	mu        sync.Mutex
	contactAt time.Time
	// changed is closed when a fact is added.
	changed chan struct{}
}

// NewFacts returns what a gateway that has just started knows.
func NewFacts(c *crashes.Tracker) *Facts {
	f := &Facts{Crashes: c, changed: make(chan struct{})}
	c.OnAdd(f.notify)
	return f
}

func (f *Facts) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the next fact is added.
func (f *Facts) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// inContact reports whether another gateway was heard lately.
func (f *Facts) inContact(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.contactAt) < contactTTL
}

// factsCursor is how far a peer has been sent the facts on one stream.
type factsCursor struct{ crashes int64 }

// next returns the facts that a peer has not been sent yet; nil if there are none.
func (f *Facts) next(now time.Time, c *factsCursor) *controlpb.SiteFacts {
	message := &controlpb.SiteFacts{}
	ends, position := f.Crashes.Since(now, c.crashes, factsPerMessage)
	c.crashes = position
	for _, e := range ends {
		message.Ended = append(message.Ended, &controlpb.EndedUnder{
			Content: uint64(e.Key.Content), EndpointId: e.Key.EndpointID, AgeMs: now.Sub(e.Value).Milliseconds(), Attempt: e.Key.Attempt,
		})
	}
	if len(message.Ended) == 0 {
		return nil
	}
	return message
}

// skip moves a cursor past all facts.
func (f *Facts) skip(now time.Time, c *factsCursor) {
	for f.next(now, c) != nil {
	}
}

// apply takes in the facts in a message of another gateway; nil is a message without any.
func (f *Facts) apply(now time.Time, message *controlpb.SiteFacts) {
	f.mu.Lock()
	f.contactAt = now
	f.mu.Unlock()
	for _, e := range message.GetEnded() {
		at := now.Add(-time.Duration(e.AgeMs) * time.Millisecond)
		f.Crashes.Add(now, crashes.End{Content: crashes.Content(e.Content), EndpointID: e.EndpointId, Attempt: e.Attempt}, at)
	}
}
