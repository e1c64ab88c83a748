package control

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"balsamsail/internal/fleet"
	"balsamsail/internal/peak"
)

// sendings records when which gateway sent the engine a request.
type sendings struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *sendings) add(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, now)
}

// most returns the largest number of requests in a window.
func (s *sendings) most(window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.times, time.Time.Compare)
	return peak.Within(s.times, window)
}

// press sends requests for the engine's model from each gateway as fast as it is allowed to, for a while.
func press(gateways []*testGateway, d time.Duration) *sendings {
	s := &sendings{}
	var clients sync.WaitGroup
	until := time.Now().Add(d)
	for _, g := range gateways {
		clients.Go(func() {
			for time.Now().Before(until) {
				now := time.Now()
				r := &fleet.Request{Target: fleet.Target{Service: "s", Model: "m"}}
				g.fleet.Arrived(now, r.Target, 0)
				if c, _, ok := g.fleet.Choose(now, r); ok {
					s.add(now)
					g.fleet.Done(c, r)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return s
}

// observeLimit has a gateway see a limit in an answer of the engine.
func observeLimit(t *testing.T, g *testGateway, limit fleet.RateLimit) {
	t.Helper()
	r := &fleet.Request{Target: fleet.Target{Service: "s", Model: "m"}}
	var c fleet.Choice
	eventually(t, "the engine takes a request", func() (ok bool) {
		c, _, ok = g.fleet.Choose(time.Now(), r)
		return ok
	})
	g.fleet.ObserveLimit(time.Now(), time.Now(), c, limit)
	g.fleet.Done(c, r)
}

// startLimitedSite starts a site whose engine names a limit to one gateway, and waits until all know it.
func startLimitedSite(t *testing.T, n int, limit fleet.RateLimit) []*testGateway {
	t.Helper()
	gateways, agent := startSite(t, n)
	if n < 8 {
		agent.setGateways(gateways)
	}
	for i, g := range gateways {
		eventually(t, fmt.Sprintf("gateway %d knows the engine's state", i), g.engineReported)
	}
	observeLimit(t, gateways[1], limit)
	for i, g := range gateways {
		eventuallyWithin(t, 2*time.Second, fmt.Sprintf("gateway %d knows the limit", i), func() bool { return g.fleet.LimitedEndpoints() == 1 })
	}
	return gateways
}

// Guards against gateways that each keep an engine's limit for themselves alone: one of them hears of it, and all together
// stay within it, as a mesh and behind hubs.
func TestLimitHoldsOverAllGateways(t *testing.T) {
	for _, n := range []int{4, 10} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			limit := fleet.RateLimit{Named: true, PerSecond: 10}
			gateways := startLimitedSite(t, n, limit)
			const window = 2 * time.Second
			sent := press(gateways, 2*window)
			allowed := int(limit.PerSecond*window.Seconds()) + n
			if got := sent.most(window); got > allowed || got < allowed/2 {
				t.Errorf("%d requests in %v from %d gateways, want at most %d, and half of them at least", got, window, n, allowed)
			}

			observeLimit(t, gateways[2], fleet.RateLimit{})
			for i, g := range gateways {
				eventuallyWithin(t, 2*time.Second, fmt.Sprintf("gateway %d knows that there is no limit", i), func() bool { return g.fleet.LimitedEndpoints() == 0 })
			}
			if sent := press(gateways, time.Second).most(window); sent < 2*allowed {
				t.Errorf("%d requests after the end of the limit", sent)
			}
		})
	}
}

// Guards against equal shares of an engine's limit: while most clients connect to one gateway, it would have to refuse most of what
// the engine takes, as a mesh and behind hubs.
func TestLimitFollowsTheClients(t *testing.T) {
	for _, n := range []int{4, 10} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			limit := fleet.RateLimit{Named: true, PerSecond: 20}
			gateways := startLimitedSite(t, n, limit)
			const window = 2 * time.Second
			even := press(gateways, window).most(window)
			// The clients move to one gateway; the shares have three seconds to follow.
			press(gateways[2:3], 3*time.Second)
			skewed := press(gateways[2:3], window).most(window)
			if skewed < even*3/4 {
				t.Errorf("%d requests in %v while all clients are at one gateway, %d before", skewed, window, even)
			}
			if allowed := int(limit.PerSecond*window.Seconds()) + n; skewed > allowed {
				t.Errorf("%d requests in %v, want at most %d", skewed, window, allowed)
			}
		})
	}
}

// Guards against a gateway that has just come to a hub and does not hear of the limits that the hub knows.
func TestNewSubscriberHearsOfLimits(t *testing.T) {
	gateways, agent := startSite(t, 10)
	hub := gateways[9]
	eventually(t, "all gateways use the hub", func() bool { return hub.hub.Subscribers() == 9 })
	observeLimit(t, hub, fleet.RateLimit{Named: true, PerSecond: 3})
	newcomer := startNewcomer(t, gateways, agent)
	eventually(t, "the new gateway knows the limit", func() bool { return newcomer.fleet.LimitedEndpoints() == 1 })
}
