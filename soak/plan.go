package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// event is one scheduled fault.
type event struct {
	at       time.Duration
	duration time.Duration
	fault    fault
	// pick is a random number that selects the fault's target among several.
	pick uint64
}

// fault is a kind of fault.
type fault struct {
	name string
	// weight is how often the fault is picked relative to the others. minDuration and maxDuration bound how long it lasts.
	weight                   int
	minDuration, maxDuration time.Duration
	// run injects the fault and returns the function that ends it; nil if it ends by itself.
	run func(s *site, pick uint64, duration time.Duration) (end func())
}

const (
	// meanGap is the mean time between two faults.
	meanGap = 900 * time.Millisecond
	// repeatShare is the share of faults that are injected a second time, within repeatWithin of the first.
	repeatShare  = 0.2
	repeatWithin = 1500 * time.Millisecond
	// quietStart and quietEnd are the parts of the run without new faults, so that the site can start up and recover.
	quietStart = 3 * time.Second
	quietEnd   = 2 * time.Second
)

// plan returns the schedule of faults for a seed. Faults may overlap, and some are repeated shortly after.
func plan(seed uint64, length time.Duration, kinds []fault) []event {
	random := rand.New(rand.NewPCG(seed, 3))
	if len(kinds) == 0 {
		return nil
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var events []event
	for at := quietStart; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		e := event{at: at, fault: pickFault(random, kinds, total), pick: random.Uint64()}
		e.duration = e.fault.minDuration + time.Duration(random.Float64()*float64(e.fault.maxDuration-e.fault.minDuration))
		e.duration = min(e.duration, length-at)
		events = append(events, e)
		if random.Float64() < repeatShare {
			e.at += time.Duration(random.Float64() * float64(repeatWithin))
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func pickFault(random *rand.Rand, kinds []fault, total int) fault {
	at := random.IntN(total)
	for _, k := range kinds {
		if at -= k.weight; at < 0 {
			return k
		}
	}
	return kinds[0]
}
