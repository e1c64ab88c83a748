package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// event is one fault of a run.
type event struct {
	at    time.Duration
	lasts time.Duration
	fault fault
	// pick chooses what the fault befalls, where it befalls one of several.
	pick uint64
}

// fault is a kind of fault.
type fault struct {
	name string
	// weight is how often it comes against others; shortest and longest bound how long it lasts.
	weight            int
	shortest, longest time.Duration
	// run injects the fault and returns what ends it; nil where it ends by itself.
	run func(s *site, pick uint64, lasts time.Duration) (end func())
}

const (
	// meanGap is the mean time between two faults.
	meanGap = 900 * time.Millisecond
	// series is the share of faults that come again at once, and repeatWithin how soon.
	series       = 0.2
	repeatWithin = 1500 * time.Millisecond
	// quietBegin and quietEnd are left without new faults: the site must come up, and show that it recovers.
	quietBegin = 3 * time.Second
	quietEnd   = 2 * time.Second
)

// plan draws the faults of a run from its seed. Faults come at any moment, overlap, and some come twice in a row.
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
	for at := quietBegin; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		e := event{at: at, fault: draw(random, kinds, total), pick: random.Uint64()}
		e.lasts = e.fault.shortest + time.Duration(random.Float64()*float64(e.fault.longest-e.fault.shortest))
		e.lasts = min(e.lasts, length-at)
		events = append(events, e)
		if random.Float64() < series {
			e.at += time.Duration(random.Float64() * float64(repeatWithin))
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func draw(random *rand.Rand, kinds []fault, total int) fault {
	at := random.IntN(total)
	for _, k := range kinds {
		if at -= k.weight; at < 0 {
			return k
		}
	}
	return kinds[0]
}
