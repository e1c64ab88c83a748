package replicas

import "time"

// Policy holds the parameters of the decision.
type Policy struct {
	// DefaultBaseline is the baseline of a model version whose declaration names no minimum: the number of slots that
	// it keeps while idle, limited by its maximum.
	DefaultBaseline int
	// DefaultMax is the maximum number of slots of a model version whose declaration names no maximum.
	DefaultMax int
	// PlaceBound and MoveBound limit an engine's load, the declared memory of the slots that it holds, as multiples of
	// its fair share. Above PlaceBound the engine gets no further slot while others have room; above MoveBound an idle
	// slot moves away.
	PlaceBound, MoveBound float64
	// UnreachableAfter is how long an engine must be unreachable before another engine gets a slot to replace it.
	UnreachableAfter time.Duration
	// GrowInterval is the minimum time between a change of a row and one that adds slots on demand. It keeps a burst of
	// slot requests that one new slot will satisfy from adding ten.
	GrowInterval time.Duration
	// SlotRequestTTL is how long an engine's slot request remains valid after its last repetition.
	SlotRequestTTL time.Duration
	// FailingAfter is how long an engine must have failed to serve a model version before its slot is released in favor
	// of another engine. AvoidFor is how long the engine is then avoided for new slots of that model version.
	FailingAfter, AvoidFor time.Duration
	// ExtraHold is how long slots above the baseline are kept after their demand has ended.
	ExtraHold time.Duration
	// LowWater is the fraction of the replicas' total concurrency that peak usage must stay below for a slot to be
	// released.
	LowWater float64
	// MoveTimeout bounds how long a slot that has a replacement is kept while the replacement loads.
	MoveTimeout time.Duration
}

// DefaultPolicy returns the defaults for sites of a few dozen to thousands of engines.
func DefaultPolicy() Policy {
	return Policy{
		DefaultBaseline:  2,
		DefaultMax:       4,
		PlaceBound:       1.25,
		MoveBound:        1.6,
		UnreachableAfter: 10 * time.Second,
		GrowInterval:     3 * time.Second,
		SlotRequestTTL:   15 * time.Second,
		FailingAfter:     10 * time.Second,
		AvoidFor:         5 * time.Minute,
		ExtraHold:        10 * time.Minute,
		LowWater:         0.7,
		MoveTimeout:      time.Minute,
	}
}

// bounds returns the baseline and the maximum number of slots of a model version.
func (p Policy) bounds(spec ModelSpec) (baseline, maxSlots int) {
	maxSlots = spec.Max
	if maxSlots <= 0 {
		maxSlots = max(p.DefaultMax, spec.Min, spec.Warm)
	}
	baseline = spec.Min
	if baseline <= 0 {
		baseline = p.DefaultBaseline
	}
	return min(max(baseline, spec.Warm), maxSlots), maxSlots
}
