package replicas

import "time"

// Policy holds the settings of the decision.
type Policy struct {
	// DefaultHome is how many slots a model version keeps while idle when its declaration names no minimum and its maximum
	// allows it.
	DefaultHome int
	// DefaultMax is the most slots of a model version whose declaration names no maximum.
	DefaultMax int
	// PlaceBound and MoveBound are how far an engine's declared weights may exceed its share: above the first it gets no
	// further slot while others have room, above the second an idle slot moves away.
	PlaceBound, MoveBound float64
	// SilentAfter is how long an engine must be unreachable before another one gets a slot for it.
	SilentAfter time.Duration
	// GrowInterval is the least time between a change of a row and one that adds slots on demand, so that a burst of
	// wishes that one new slot will answer does not grant ten.
	GrowInterval time.Duration
	// WantLife is how long an engine's wish counts after it was last repeated.
	WantLife time.Duration
	// FailingAfter is how long an engine must have failed to serve a model version before its slot is given up for one
	// elsewhere, and AvoidFor how long it then gets no new slot of it.
	FailingAfter, AvoidFor time.Duration
	// ExtraHold is how long slots above the home slots are kept after their demand has gone.
	ExtraHold time.Duration
	// LowWater is the share of the replicas' concurrency that the peak use must stay under for a slot to be taken back.
	LowWater float64
	// MoveTimeout bounds how long a slot that has a replacement is kept for the replacement to load.
	MoveTimeout time.Duration
}

// DefaultPolicy returns the settings for sites of some tens of engines up to thousands.
func DefaultPolicy() Policy {
	return Policy{
		DefaultHome:  2,
		DefaultMax:   4,
		PlaceBound:   1.25,
		MoveBound:    1.6,
		SilentAfter:  10 * time.Second,
		GrowInterval: 3 * time.Second,
		WantLife:     15 * time.Second,
		FailingAfter: 10 * time.Second,
		AvoidFor:     5 * time.Minute,
		ExtraHold:    10 * time.Minute,
		LowWater:     0.7,
		MoveTimeout:  time.Minute,
	}
}

// bounds returns the number of home slots and the most slots of a model version.
func (p Policy) bounds(spec ModelSpec) (home, most int) {
	most = spec.Max
	if most <= 0 {
		most = max(p.DefaultMax, spec.Min, spec.Warm)
	}
	home = spec.Min
	if home <= 0 {
		home = p.DefaultHome
	}
	return min(max(home, spec.Warm), most), most
}
