package control

import (
	"fmt"
	"testing"
	"time"

	"balsamsail/internal/crashes"
	"balsamsail/internal/streams"
)

func mayHaveEnded(time.Time, crashes.Process, time.Time) bool { return true }

// blames reports whether a gateway blames a part for the end of endpoints.
func (g *testGateway) blames(part crashes.Part) bool {
	_, blamed := g.facts.Parts.Blame(time.Now(), []crashes.Part{part})
	return blamed
}

// endedUnder returns the number of endpoints that have ended under a request as far as a gateway knows.
func (g *testGateway) endedUnder(c crashes.Content) int {
	now := time.Now()
	return g.facts.Crashes.Ended(now, c, mayHaveEnded).Processes
}

// startSiteInContact starts a site and waits until each gateway has heard from another.
func startSiteInContact(t *testing.T, n int) (gateways []*testGateway, agent *fakeAgent) {
	t.Helper()
	gateways, agent = startSite(t, n)
	if n < 8 {
		agent.setGateways(gateways)
	}
	for i, g := range gateways {
		eventually(t, fmt.Sprintf("gateway %d is in contact", i), func() bool { return g.peers.InContact(time.Now()) })
	}
	return gateways, agent
}

// Guards against gateways that each count only the ends that they have seen, as a mesh and behind hubs: a client comes back some
// 80 ms after it got no answer, mostly at another gateway.
func TestEndsAreKnownToAllGateways(t *testing.T) {
	const request crashes.Content = 7
	for _, n := range []int{4, 10} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			gateways, _ := startSiteInContact(t, n)
			for i, g := range gateways[:3] {
				now := time.Now()
				g.facts.Crashes.Add(now, crashes.End{Content: request, Process: crashes.Process{EndpointID: fmt.Sprint("e", i%2), Started: int64(i)}}, now)
			}
			for i, g := range gateways {
				eventuallyWithin(t, time.Second, fmt.Sprintf("gateway %d knows of all ends", i), func() bool { return g.endedUnder(request) == 3 })
			}
		})
	}
}

// Guards against a gateway that has just started and sends a request on to which others have lost endpoints.
func TestGatewayThatStartsHearsOfEnds(t *testing.T) {
	const ends = 3 * endsPerMessage
	gateways, agent := startSite(t, 10)
	hub := gateways[9]
	eventually(t, "all gateways use the hub", func() bool { return hub.hub.Subscribers() == 9 })
	for i := range ends {
		now := time.Now()
		hub.facts.Crashes.Add(now, crashes.End{Content: crashes.Content(i), Process: crashes.Process{EndpointID: "e1"}}, now)
	}
	newcomer := startNewcomer(t, gateways, agent)
	if newcomer.peers.InContact(time.Now()) && newcomer.endedUnder(ends-1) == 0 {
		t.Error("a gateway counts as in contact before it has heard from another")
	}
	eventually(t, "the new gateway knows of all ends", func() bool { return newcomer.endedUnder(0) == 1 && newcomer.endedUnder(ends-1) == 1 })
	if !newcomer.peers.InContact(time.Now()) {
		t.Error("a gateway that has heard from its hub is not in contact")
	}
}

// Guards against gateways that blame a part only for the ends that they have seen, or go on when another has got an answer on it, as a
// mesh, behind hubs, and where they have started since.
func TestBlamedPartsAreKnownToAllGateways(t *testing.T) {
	const part, sound crashes.Part = 7, 8
	for _, n := range []int{4, 10} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			gateways, agent := startSiteInContact(t, n)
			for i, g := range gateways[:crashes.MaxEnded] {
				g.facts.Parts.Ended(time.Now(), []crashes.Part{part, sound}, crashes.Process{EndpointID: fmt.Sprint("e", i)}, crashes.Content(i))
			}
			time.Sleep(10 * time.Millisecond)
			for i, g := range gateways {
				eventuallyWithin(t, time.Second, fmt.Sprintf("gateway %d knows of all ends", i), func() bool { return g.facts.Parts.Suspects() == 2 })
			}
			gateways[0].facts.Parts.Answered(time.Now(), []crashes.Part{sound})
			for i, g := range gateways {
				eventuallyWithin(t, time.Second, fmt.Sprintf("gateway %d blames one part", i), func() bool { return g.blames(part) && !g.blames(sound) })
			}
			newcomer := startNewcomer(t, gateways, agent)
			eventually(t, "a new gateway blames the part", func() bool { return newcomer.blames(part) })
			if newcomer.blames(sound) {
				t.Error("a new gateway blames a part on which there was an answer")
			}
		})
	}
}

// Guards against a gateway that does not know which version began a stream that its client takes up there, as a mesh, behind hubs,
// and where it has started since.
func TestStreamsAreKnownToAllGateways(t *testing.T) {
	for _, n := range []int{4, 10} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			gateways, _ := startSiteInContact(t, n)
			now := time.Now()
			for i, g := range gateways {
				g.facts.Streams.Add(now, streams.KeyOf(fmt.Sprint("request", i)), fmt.Sprint("v", i%2), now.Add(time.Minute))
			}
			for i, g := range gateways {
				eventuallyWithin(t, time.Second, fmt.Sprintf("gateway %d knows all streams", i), func() bool {
					for other := range gateways {
						v, known := g.facts.Streams.Version(time.Now(), streams.KeyOf(fmt.Sprint("request", other)))
						if !known || v != fmt.Sprint("v", other%2) {
							return false
						}
					}
					return true
				})
			}
		})
	}
}

// Guards against streams that are forgotten on their way through the gateways before their clients can no longer come back.
func TestStreamsKeepTheirExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	from, to := NewFacts(crashes.New(), crashes.NewParts(mayHaveEnded), streams.New()), NewFacts(crashes.New(), crashes.NewParts(mayHaveEnded), streams.New())
	for i, life := range []time.Duration{time.Second, 30 * time.Second} {
		from.Streams.Add(now, streams.Key(i), "v1", now.Add(life))
	}
	to.apply(now, from.next(now, &factsCursor{}))
	for i, life := range []time.Duration{time.Second, 30 * time.Second} {
		if _, known := to.Streams.Version(now.Add(life-time.Millisecond), streams.Key(i)); !known {
			t.Errorf("a stream of %v is forgotten too soon", life)
		}
		if _, known := to.Streams.Version(now.Add(life+expiryStep), streams.Key(i)); known {
			t.Errorf("a stream of %v is known too long", life)
		}
	}
}
