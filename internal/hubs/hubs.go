// Package hubs decides from which gateway each gateway of a site gets the state of the site. Hubs are the gateways that
// keep links to all engine agents; each other gateway is connected to one hub only. So the links of a site grow with its
// gateways and with its engines, not with the product of both. The package does no I/O and reads no clock.
package hubs

import (
	"cmp"
	"slices"
	"time"
)

// fullMeshGateways is the number of gateways up to which each is its own hub: there are few links then, and the loss of a
// hub costs nothing.
const fullMeshGateways = 8

// Gateway is a gateway as it has registered itself.
type Gateway struct {
	// Address is the address of the gateway's control links, which identifies it.
	Address       string
	FailureDomain string
	// Processor is the processor time that the gateway's host gives it, in cores.
	Processor float64
}

// ComparePreference orders gateways by preference for duties, most preferred first: the largest hosts, then by address.
func ComparePreference(a, b Gateway) int {
	return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(a.Address, b.Address))
}

// Order returns the gateways in the order in which those of a failure domain choose their hub. All gateways of a domain
// choose in the same order, so that they meet at the same hub; those of other domains come last.
func Order(gateways []Gateway, domain string) []Gateway {
	ordered := slices.Clone(gateways)
	slices.SortFunc(ordered, func(a, b Gateway) int {
		if near := a.FailureDomain == domain; near != (b.FailureDomain == domain) {
			if near {
				return -1
			}
			return 1
		}
		return ComparePreference(a, b)
	})
	return ordered
}

const (
	// minRetryDelay is the time after which a gateway that failed as a hub is tried again; it doubles with each failure up
	// to maxRetryDelay.
	minRetryDelay = time.Second
	maxRetryDelay = 10 * time.Second
)

// Selector chooses the hub of one gateway.
type Selector struct {
	self     Gateway
	order    []Gateway
	failures map[string]failure
}

type failure struct {
	count int
	until time.Time
}

// NewSelector returns the selector of a gateway that knows no other gateway yet.
func NewSelector(self Gateway) *Selector {
	return &Selector{self: self, failures: make(map[string]failure)}
}

// SetGateways sets the gateways that are registered.
func (s *Selector) SetGateways(list []Gateway) {
	others := slices.DeleteFunc(slices.Clone(list), func(g Gateway) bool { return g.Address == s.self.Address })
	s.order = Order(append(others, s.self), s.self.FailureDomain)
	for address := range s.failures {
		if !slices.ContainsFunc(others, func(g Gateway) bool { return g.Address == address }) {
			delete(s.failures, address)
		}
	}
}

// Gateways returns the number of gateways, this one included.
func (s *Selector) Gateways() int { return max(1, len(s.order)) }

// FailureDomains returns the number of failure domains of the registered gateways.
func (s *Selector) FailureDomains() int {
	domains := map[string]bool{s.self.FailureDomain: true}
	for _, g := range s.order {
		domains[g.FailureDomain] = true
	}
	return len(domains)
}

// IsMesh reports whether each gateway is its own hub.
func (s *Selector) IsMesh() bool { return len(s.order) <= fullMeshGateways }

// Gateway returns a registered gateway, or this one.
func (s *Selector) Gateway(address string) (Gateway, bool) {
	i := slices.IndexFunc(s.order, func(g Gateway) bool { return g.Address == address })
	if i < 0 {
		return Gateway{}, false
	}
	return s.order[i], true
}

// Choose returns the address of the preferred hub that has not failed lately; the gateway's own if it is to be a hub.
func (s *Selector) Choose(now time.Time) string {
	if s.IsMesh() {
		return s.self.Address
	}
	for _, g := range s.order {
		if g.Address == s.self.Address || !now.Before(s.failures[g.Address].until) {
			return g.Address
		}
	}
	return s.self.Address
}

// Failed records that a gateway did not answer as a hub, or that the connection to it was lost.
func (s *Selector) Failed(now time.Time, address string) {
	f := s.failures[address]
	delay := min(minRetryDelay<<min(f.count, 8), maxRetryDelay)
	s.failures[address] = failure{count: f.count + 1, until: now.Add(delay)}
}

// Succeeded records that a gateway has served as a hub for some time.
func (s *Selector) Succeeded(address string) { delete(s.failures, address) }
