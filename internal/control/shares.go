package control

import (
	"sync"
	"time"
)

const (
	// evenShare is the part of the endpoints' limits that is divided evenly among the hubs, so that one to which clients have just
	// moved can serve some of them before its share grows.
	evenShare = 0.2
	// shareUnit is the step in which shares are passed on.
	shareUnit = 256
	// shareTTL is how long a share of the coordinator is used, and a hub's arrivals count, without a further message.
	shareTTL = time.Second
	// shareRaiseDelay is how long a hub waits before it uses a larger share: by then the others use their smaller ones.
	shareRaiseDelay = 500 * time.Millisecond
)

// arrivalRates holds how many requests arrive each second at other gateways. It is safe for concurrent use.
type arrivalRates struct {
	mu    sync.Mutex
	heard map[string]heardRate
}

type heardRate struct {
	at        time.Time
	perSecond float64
}

func newArrivalRates() *arrivalRates { return &arrivalRates{heard: make(map[string]heardRate)} }

func (a *arrivalRates) set(now time.Time, gateway string, perSecond uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard[gateway] = heardRate{now, float64(perSecond)}
}

func (a *arrivalRates) forget(gateway string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.heard, gateway)
}

// total returns the rate at all gateways together, and that at one of them.
func (a *arrivalRates) total(now time.Time, gateway string) (all, one float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, r := range a.heard {
		if now.Sub(r.at) > shareTTL {
			continue
		}
		all += r.perSecond
		if name == gateway {
			one = r.perSecond
		}
	}
	return all, one
}

// shareOf returns a hub's share of the limits, by its part of the requests that arrive at all hubs.
func shareOf(one, all float64, hubs int) float64 {
	even := 1 / float64(max(hubs, 1))
	if all <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*one/all
}

// limitShare is this gateway's share of the limits over time.
type limitShare struct {
	// given is the coordinator's word, and givenAt when it came; givenAt is zero before the first.
	given   float64
	givenAt time.Time
	// used is the share in use, and raiseAt when it may grow; zero while it is not to grow.
	used    float64
	raiseAt time.Time
}

// next returns the share to use from now on, given what the coordinator or, without its word, an even division wants it to be.
func (s *limitShare) next(now time.Time, wanted float64) float64 {
	switch {
	case s.used == 0 || wanted <= s.used:
		s.used, s.raiseAt = wanted, time.Time{}
	case s.raiseAt.IsZero():
		s.raiseAt = now.Add(shareRaiseDelay)
	case !now.Before(s.raiseAt):
		s.used, s.raiseAt = wanted, time.Time{}
	}
	return s.used
}
