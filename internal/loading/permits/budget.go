// Package permits shares the weight store's load budget among the agents that load from it.
package permits

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Options are the settings of a Budget.
type Options struct {
	// LoadsPerSecond is the rate at which loads of weights may start.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of loads of weights that may be in flight.
	LoadsAtOnce int
	// AdaptersInTransit is the number of adapters that may be in flight.
	AdaptersInTransit int
	// Lease is how long a permit counts without a sign of life from its agent.
	Lease time.Duration
}

// Grant is the answer to one request of an agent.
type Grant struct {
	Agent  string
	Permit *wirepb.Permit
}

// Budget is the issuer's view of the load budget. It is not safe for concurrent use.
type Budget struct {
	opts Options
	out  []Grant
}

// NewBudget returns a Budget that knows of no loads.
func NewBudget(opts Options) *Budget {
	return &Budget{opts: opts}
}

// Request notes that an agent asks for a permit.
func (b *Budget) Request(_ time.Time, agent string, req *wirepb.PermitRequest) {
	p := &wirepb.Permit{Id: req.GetId(), ValidMicros: b.opts.Lease.Microseconds()}
	b.out = append(b.out, Grant{Agent: agent, Permit: p})
}

// Done notes that an agent no longer uses a permit or no longer asks for it.
func (b *Budget) Done(_ time.Time, _, _ string) {}

// InFlight notes what an agent reports to have in flight from the store.
func (b *Budget) InFlight(_ time.Time, _ string, _, _ int) {}

// AgentGone forgets an agent.
func (b *Budget) AgentGone(_ time.Time, _ string) {}

// Decide returns the answers that are due.
func (b *Budget) Decide(time.Time) []Grant {
	out := b.out
	b.out = nil
	return out
}

// Next returns the time at which Decide should be called again, zero if only an event can change anything.
func (b *Budget) Next() time.Time { return time.Time{} }
