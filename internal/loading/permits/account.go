package permits

import (
	"slices"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// kind is a resource of the weight store that has its own limit.
type kind int

const (
	weights kind = iota
	adapters
	numKinds
)

// kindOf maps the kind of a message; unknown values count as weights, which have the lower limit.
func kindOf(k wirepb.PermitKind) kind {
	if k == wirepb.PermitKind_ADAPTER {
		return adapters
	}
	return weights
}

// permit is a permit that was granted and has not ended.
type permit struct {
	id      string
	model   string
	granted time.Time
	expires time.Time
}

// account is the set of loads that one agent has in flight, according to its permits and to its own report.
type account struct {
	permits  [numKinds][]permit
	reported [numKinds]int
	// reportExpires is when the report stops counting.
	reportExpires time.Time
}

// used returns the number that counts against the limit. The report includes loads permitted by another issuer, the
// permits include loads that started after the report.
func (a *account) used(k kind) int {
	return max(len(a.permits[k]), a.reported[k])
}

// empty reports whether the agent has no permits and no reported loads.
func (a *account) empty() bool {
	for k := range numKinds {
		if a.used(k) > 0 {
			return false
		}
	}
	return true
}

// take removes a permit and returns it.
func (a *account) take(id string) (permit, kind, bool) {
	for k := range numKinds {
		i := slices.IndexFunc(a.permits[k], func(p permit) bool { return p.id == id })
		if i < 0 {
			continue
		}
		p := a.permits[k][i]
		a.permits[k] = slices.Delete(a.permits[k], i, i+1)
		return p, k, true
	}
	return permit{}, 0, false
}

// report records the agent's own count of one kind. It renews the permits that the count covers, and drops the excess
// ones whose start deadline has passed: their Done message was lost, and without this a live agent would hold their
// share of the budget forever.
func (a *account) report(k kind, count int, now time.Time, opts Options) {
	a.reported[k] = count
	a.reportExpires = now.Add(opts.Lease)
	surplus := len(a.permits[k]) - count
	a.permits[k] = slices.DeleteFunc(a.permits[k], func(p permit) bool {
		excess := surplus > 0 && !now.Before(p.granted.Add(opts.StartWithin))
		if excess {
			surplus--
		}
		return excess
	})
	for i := range a.permits[k] {
		a.permits[k][i].expires = a.reportExpires
	}
}

// loadEnded decrements the reported count after the load of a permit has ended.
func (a *account) loadEnded(k kind) {
	a.reported[k] = max(0, a.reported[k]-1)
}

// expire drops expired permits and reports. Otherwise the share of an agent that vanished in the middle of a load would
// never be freed, as neither Done nor a report arrives.
func (a *account) expire(now time.Time) {
	for k := range numKinds {
		a.permits[k] = slices.DeleteFunc(a.permits[k], func(p permit) bool { return !now.Before(p.expires) })
	}
	if !now.Before(a.reportExpires) {
		a.reported = [numKinds]int{}
	}
}

// nextExpiry returns the next time at which expire has an effect.
func (a *account) nextExpiry() time.Time {
	var first time.Time
	for k := range numKinds {
		for _, p := range a.permits[k] {
			first = earlier(first, p.expires)
		}
	}
	if a.reported != ([numKinds]int{}) {
		first = earlier(first, a.reportExpires)
	}
	return first
}

// earlier returns the earlier of two times; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
