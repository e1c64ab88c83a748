package test

import (
	"slices"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/faultlink"
	"balsamsail/internal/standin/control"
	standin "balsamsail/internal/standin/platform"
)

// failure is one entry in the table of failures: how to inject it into a running cluster and how to heal it.
type failure struct {
	name string
	// description says what happens, in which order, and what must hold.
	description string
	// duration is the time from inject to heal. If the failure makes a peer silent, it exceeds the timeouts by which
	// the processes detect that.
	duration time.Duration
	inject   func(c *cluster)
	heal     func(c *cluster)
	// frozenEndpoint is the endpoint whose stand-in is suspended, faultyEndpoints those whose stand-ins get faults
	// through their control API.
	frozenEndpoint  string
	faultyEndpoints []string
}

// excludes reports whether two failures can't be combined: a suspended stand-in doesn't answer its control API.
func (f failure) excludes(other failure) bool {
	return slices.Contains(other.faultyEndpoints, f.frozenEndpoint) || slices.Contains(f.faultyEndpoints, other.frozenEndpoint)
}

// freezesEndpoint sets the endpoint whose stand-in the failure suspends.
func (f failure) freezesEndpoint(endpoint string) failure {
	f.frozenEndpoint = endpoint
	return f
}

// setsFaultsOn sets the endpoints whose stand-ins get faults through their control API.
func (f failure) setsFaultsOn(endpoints ...string) failure {
	f.faultyEndpoints = endpoints
	return f
}

// The durations of failures.
const (
	// shortFault is shorter than the timeouts by which the processes detect a silent peer, longFault longer than all of
	// them.
	shortFault = 300 * time.Millisecond
	longFault  = 3 * time.Second
)

func noop(*cluster) {}

// engineFaults holds those faults of an engine's stand-in that the table uses.
type engineFaults struct {
	Hang               *bool           `json:"hang,omitempty"`
	SlowFactor         float64         `json:"slow_factor,omitempty"`
	SwapAnswer         *control.Chance `json:"cross,omitempty"`
	Cut                *control.Chance `json:"cut,omitempty"`
	CutAfterTokens     int             `json:"cut_after_tokens,omitempty"`
	Late               *control.Chance `json:"late,omitempty"`
	LateSeconds        float64         `json:"late_seconds,omitempty"`
	LoadFails          *control.Chance `json:"load_fails,omitempty"`
	LoadHangs          *control.Chance `json:"load_hangs,omitempty"`
	DelayOrders        *control.Chance `json:"delay_orders,omitempty"`
	DelayOrdersSeconds float64         `json:"delay_orders_seconds,omitempty"`
	LoseOrders         *control.Chance `json:"lose_orders,omitempty"`
}

// serviceFaults holds those faults of a plain service's stand-in that the table uses.
type serviceFaults struct {
	SlowFactor float64         `json:"slow_factor,omitempty"`
	HangBefore *control.Chance `json:"hang_before,omitempty"`
	HangAfter  *control.Chance `json:"hang_after,omitempty"`
	CutBefore  *control.Chance `json:"cut_before,omitempty"`
	CutAfter   *control.Chance `json:"cut_after,omitempty"`
}

func chance(fraction float64) *control.Chance { return &control.Chance{Fraction: fraction} }

// withEngine returns functions that set and clear faults on one engine's stand-in.
func withEngine(name string, faults engineFaults) (inject, heal func(c *cluster)) {
	return func(c *cluster) { c.endpoint(name).setFaults(c, faults) },
		func(c *cluster) { c.endpoint(name).clearFaults(c) }
}

// withServices returns functions that set and clear faults on the stand-ins of both plain services.
func withServices(faults serviceFaults) (inject, heal func(c *cluster)) {
	return func(c *cluster) {
			c.endpoint("ledger-1").setFaults(c, faults)
			c.endpoint("ledger-2").setFaults(c, faults)
		}, func(c *cluster) {
			c.endpoint("ledger-1").clearFaults(c)
			c.endpoint("ledger-2").clearFaults(c)
		}
}

// withPlatform returns functions that set and clear faults of the platform's services.
func withPlatform(change func(*standin.Faults)) (inject, heal func(c *cluster)) {
	return func(c *cluster) { c.platform.setFaults(change) }, func(c *cluster) { c.platform.clearFaults() }
}

// withLinks returns functions that set a fault on the chosen links and heal them.
func withLinks(choose func(c *cluster) []*faultlink.Link, setFault func(*faultlink.Link)) (inject, heal func(c *cluster)) {
	inject = func(c *cluster) {
		for _, l := range choose(c) {
			setFault(l)
		}
	}
	heal = func(c *cluster) {
		c.t.Helper()
		for _, l := range choose(c) {
			if err := l.Heal(); err != nil {
				c.t.Fatalf("heal the link at %s: %v", l.Address(), err)
			}
		}
	}
	return inject, heal
}

// oneLink returns a function that chooses the link between two processes.
func oneLink(from, to string) func(c *cluster) []*faultlink.Link {
	return func(c *cluster) []*faultlink.Link { return []*faultlink.Link{c.link(from, to)} }
}

// removeHost removes an endpoint's host, as the platform does when it reclaims one, and keeps the endpoint's truth.
func (c *cluster) removeHost(e *endpointHost) {
	c.t.Helper()
	e.finalTruth = &truth{executions: map[string]int{}, served: map[string]map[string]bool{}}
	e.agent.kill()
	c.readEndpointTruth(e, e.finalTruth)
	e.gone = true
	e.server.kill()
	c.platform.setState(e.host(), backing.HostGone)
}
