package control

import (
	"sync"
	"time"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
	"balsamsail/internal/sitelog"
	"balsamsail/internal/streams"
)

const (
	// endsPerMessage, partsPerMessage and streamsPerMessage bound the facts in one message, which then takes some 80 KB; the rest
	// follows in the next one.
	endsPerMessage    = 512
	partsPerMessage   = 256
	streamsPerMessage = 4096
	// contactTTL is the time without a message of another gateway after which this one counts as cut off.
	contactTTL = 2 * time.Second
	// factsInterval is the time between two messages that are sent for new facts alone: streams begin all the time.
	factsInterval = 50 * time.Millisecond
)

// Facts are what the gateways of a site tell each other of requests. Gateways pass all that they learn on to their hub, hubs to
// their gateways and to the coordinator, and the coordinator to the hubs, so that each link carries each fact once or twice.
type Facts struct {
	Crashes *crashes.Tracker
	Parts   *crashes.Parts
	Streams *streams.Registry

	mu        sync.Mutex
	contactAt time.Time
	// changed is closed when a fact is added.
	changed chan struct{}
}

// NewFacts returns what a gateway that has just started knows.
func NewFacts(c *crashes.Tracker, p *crashes.Parts, s *streams.Registry) *Facts {
	f := &Facts{Crashes: c, Parts: p, Streams: s, changed: make(chan struct{})}
	c.OnAdd(f.notify)
	p.OnAdd(f.notify)
	s.OnAdd(f.notify)
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
type factsCursor struct {
	crashes, streams int64
	parts            crashes.PartsPosition
}

// next returns the facts that a peer has not been sent yet; nil if there are none.
func (f *Facts) next(now time.Time, c *factsCursor) *controlpb.SiteFacts {
	message := &controlpb.SiteFacts{}
	ends, position := f.Crashes.Since(now, c.crashes, endsPerMessage)
	c.crashes = position
	for _, e := range ends {
		message.Ended = append(message.Ended, &controlpb.EndedUnder{
			Content: uint64(e.Key.Content), EndpointId: e.Key.Process.EndpointID, EndpointStarted: e.Key.Process.Started,
			AgeMs: now.Sub(e.Value).Milliseconds(), Attempt: e.Key.Attempt,
		})
	}
	message.PartsEnded, message.PartsAnswered = f.nextParts(now, c)
	begun, position := f.Streams.Since(now, c.streams, streamsPerMessage)
	c.streams = position
	message.Streams = encodeStreams(now, begun)
	if len(message.Ended) == 0 && len(message.Streams) == 0 && len(message.PartsEnded) == 0 && len(message.PartsAnswered) == 0 {
		return nil
	}
	return message
}

func (f *Facts) nextParts(now time.Time, c *factsCursor) ([]*controlpb.PartEnded, []*controlpb.PartAnswered) {
	facts, position := f.Parts.Since(now, c.parts, partsPerMessage)
	c.parts = position
	var ended []*controlpb.PartEnded
	for _, e := range facts.Ends {
		ended = append(ended, encodePartEnd(now, e.Key, e.Value))
	}
	var answered []*controlpb.PartAnswered
	for _, a := range facts.Answers {
		answered = append(answered, &controlpb.PartAnswered{Part: uint64(a.Key.Part), AgeMs: now.Sub(a.Value).Milliseconds(), Attempt: a.Key.Attempt})
	}
	return ended, answered
}

func encodePartEnd(now time.Time, e crashes.PartEnd, at time.Time) *controlpb.PartEnded {
	return &controlpb.PartEnded{
		Part: uint64(e.Part), Content: uint64(e.Content), EndpointId: e.Process.EndpointID, EndpointStarted: e.Process.Started,
		AgeMs: now.Sub(at).Milliseconds(), Attempt: e.Attempt,
	}
}

func decodePartEnd(e *controlpb.PartEnded) (end crashes.PartEnd, age time.Duration) {
	process := crashes.Process{EndpointID: e.EndpointId, Started: e.EndpointStarted}
	end = crashes.PartEnd{Part: crashes.Part(e.Part), Process: process, Content: crashes.Content(e.Content), Attempt: e.Attempt}
	return end, milliseconds(e.AgeMs)
}

// end returns the cursor of a peer that needs none of the facts that are known.
func (f *Facts) end() factsCursor {
	return factsCursor{crashes: f.Crashes.End(), streams: f.Streams.End(), parts: f.Parts.End()}
}

// apply takes in the facts in a message of another gateway; nil is a message without any.
func (f *Facts) apply(now time.Time, message *controlpb.SiteFacts) {
	f.mu.Lock()
	f.contactAt = now
	f.mu.Unlock()
	for _, e := range message.GetEnded() {
		at := now.Add(-milliseconds(e.AgeMs))
		process := crashes.Process{EndpointID: e.EndpointId, Started: e.EndpointStarted}
		f.Crashes.Add(now, crashes.End{Content: crashes.Content(e.Content), Process: process, Attempt: e.Attempt}, at)
	}
	for _, e := range message.GetPartsEnded() {
		end, age := decodePartEnd(e)
		f.Parts.AddEnd(now, end, now.Add(-age))
	}
	for _, a := range message.GetPartsAnswered() {
		answer := crashes.PartAnswer{Part: crashes.Part(a.Part), Attempt: a.Attempt}
		f.Parts.AddAnswer(now, answer, now.Add(-milliseconds(a.AgeMs)))
	}
	for _, group := range message.GetStreams() {
		expires := now.Add(milliseconds(group.ExpiresInMs))
		for _, key := range group.Streams {
			f.Streams.Add(now, streams.Key(key), group.Version, expires)
		}
	}
}

// expiryStep is the step in which the expiry of streams is passed on, so that one message holds few groups of them.
const expiryStep = 4 * time.Second

// encodeStreams groups streams by version and time of expiry, which is rounded up.
func encodeStreams(now time.Time, list []sitelog.Fact[streams.Key, string]) []*controlpb.StreamsBegun {
	type group struct {
		version string
		steps   int64
	}
	var encoded []*controlpb.StreamsBegun
	groups := make(map[group]*controlpb.StreamsBegun)
	for _, s := range list {
		g := group{s.Value, int64((s.Expires.Sub(now) + expiryStep - 1) / expiryStep)}
		if groups[g] == nil {
			groups[g] = &controlpb.StreamsBegun{Version: g.version, ExpiresInMs: g.steps * expiryStep.Milliseconds()}
			encoded = append(encoded, groups[g])
		}
		groups[g].Streams = append(groups[g].Streams, uint64(s.Key))
	}
	return encoded
}
