package waiting

import (
	"slices"
	"time"
)

// Engine is what is known of one engine that may load the model.
type Engine struct {
	// LoadTime is the nominal time to load the model, and FromStore is set if that is from the weight store.
	LoadTime  time.Duration
	FromStore bool
	// Busy is set while the engine carries out a command, Loading if that loads the model. Age is the time since the
	// command's start, Nominal its nominal time, and StoreLoad is set if it loads from the weight store.
	Busy, Loading, StoreLoad bool
	Age, Nominal             time.Duration
}

// Store is what is known of the weight store.
type Store struct {
	// Slowdown is the ratio of the actual to the nominal times of its latest loads.
	Slowdown float64
	// FullSpeed is the highest number of concurrent loads that have run at full speed; 0 if unknown.
	FullSpeed int
}

const (
	// commandDelay is the typical time from a request's arrival to the start of a load for it, and reportDelay that from
	// the end of the load to the arrival of its report.
	commandDelay = 200 * time.Millisecond
	reportDelay  = 100 * time.Millisecond
	// overdueShare is the share of its age that a load which has outlasted its expected time is expected to take longer.
	overdueShare = 0.25
)

// ModelReadyIn estimates the time until one of the engines has loaded a model that none has loaded now. It returns never
// if there is no engine.
func ModelReadyIn(engines []Engine, store Store) time.Duration {
	var storeLoads []time.Duration
	for _, e := range engines {
		if e.Busy && e.StoreLoad {
			storeLoads = append(storeLoads, e.remaining(store))
		}
	}
	slices.Sort(storeLoads)
	if store.FullSpeed > 0 {
		store.Slowdown = max(store.Slowdown, float64(len(storeLoads))/float64(store.FullSpeed))
	}
	best := never
	for _, e := range engines {
		best = min(best, e.readyIn(store, storeLoads))
	}
	return best
}

// readyIn estimates the time until the engine has loaded the model; storeLoads are the remaining times of the loads from
// the weight store, shortest first.
func (e Engine) readyIn(store Store, storeLoads []time.Duration) time.Duration {
	if e.Loading {
		return e.remaining(store) + reportDelay
	}
	start := time.Duration(0)
	if e.Busy {
		start = e.remaining(store)
	}
	if !e.FromStore {
		return start + commandDelay + e.LoadTime + reportDelay
	}
	start = max(start, store.permitIn(storeLoads))
	return start + commandDelay + store.scale(e.LoadTime) + reportDelay
}

// permitIn returns the time until the weight store takes a further load.
func (s Store) permitIn(storeLoads []time.Duration) time.Duration {
	excess := len(storeLoads) - s.FullSpeed
	if s.FullSpeed <= 0 || excess < 0 {
		return 0
	}
	return storeLoads[min(excess, len(storeLoads)-1)]
}

// remaining estimates the time until the engine's command is complete.
func (e Engine) remaining(store Store) time.Duration {
	expected := e.Nominal
	if e.StoreLoad {
		expected = store.scale(expected)
	}
	return max(expected-e.Age, time.Duration(overdueShare*float64(e.Age)))
}

func (s Store) scale(nominal time.Duration) time.Duration {
	return time.Duration(max(1, s.Slowdown) * float64(nominal))
}
