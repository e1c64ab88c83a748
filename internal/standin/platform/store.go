package platform

import (
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"balsamsail/internal/standin/control"
)

// Faults are what can go wrong with the platform's services.
type Faults struct {
	Table   StoreFaults  `json:"table"`
	Objects StoreFaults  `json:"objects"`
	Weights WeightFaults `json:"weights"`
	Hosts   HostFaults   `json:"hosts"`
}

// StoreFaults are the faults of the table or of the object store.
type StoreFaults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// Hang gives no answer at all and takes no call.
	Hang bool `json:"hang"`
	// LatencySeconds is the mean of what is added before each call, exponentially distributed.
	LatencySeconds float64 `json:"latency_seconds"`
	// LoseBefore cuts the connection before the write happened, LoseAfter after it.
	LoseBefore control.Chance `json:"lose_before"`
	LoseAfter  control.Chance `json:"lose_after"`
	// Delay cuts the connection and lets the write happen DelaySeconds later.
	Delay        control.Chance `json:"delay"`
	DelaySeconds float64        `json:"delay_seconds"`
}

// StoreTruth counts a store's calls.
type StoreTruth struct {
	Reads       int `json:"reads"`
	Writes      int `json:"writes"`
	Conflicts   int `json:"conflicts"`
	RateLimited int `json:"rate_limited"`
	Refused     int `json:"refused"`
	// LostBefore, LostAfter and Delayed count the faults that hit a write, LostReads those that hit a read.
	LostBefore int `json:"lost_before"`
	LostAfter  int `json:"lost_after"`
	Delayed    int `json:"delayed"`
	LostReads  int `json:"lost_reads"`
	// PeakReads and PeakWrites are the most calls taken within one second of the clock.
	PeakReads  int `json:"peak_reads_per_second"`
	PeakWrites int `json:"peak_writes_per_second"`
}

// store is the part that the table and the object store share: limits, faults and counts.
type store struct {
	server *Server
	choose func(*Faults) *StoreFaults
	reads  *rate.Limiter
	writes *rate.Limiter

	mu          sync.Mutex
	counts      StoreTruth
	second      int64
	readsInSec  int
	writesInSec int
}

const (
	defaultReads  = 2000
	defaultWrites = 400
)

func newStore(s *Server, limits StoreLimits, choose func(*Faults) *StoreFaults) *store {
	return &store{
		server: s,
		choose: choose,
		reads:  newLimiter(limits.ReadsPerSecond, defaultReads),
		writes: newLimiter(limits.WritesPerSecond, defaultWrites),
	}
}

func newLimiter(perSecond, otherwise float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = otherwise
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// admit applies faults and the limit to a call. It answers and returns false if the call is not taken.
func (s *store) admit(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter) bool {
	faults := s.faults()
	latency := control.Seconds(faults.LatencySeconds)
	if latency > 0 && !control.Sleep(r.Context(), s.server.clock, s.server.faults.Exponential(latency)) {
		return false
	}
	if faults.Hang {
		control.Hang(r)
		return false
	}
	if faults.Outage {
		s.count(func(t *StoreTruth) { t.Refused++ })
		control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "outage")
		return false
	}
	if !limiter.AllowN(s.server.clock.Now(), 1) {
		s.count(func(t *StoreTruth) { t.RateLimited++ })
		control.WriteError(w, http.StatusTooManyRequests, "rate_limited", "over the rate of calls")
		return false
	}
	return true
}

// read runs a read unless a fault or the limit forbids it.
func (s *store) read(w http.ResponseWriter, r *http.Request, run func()) {
	if !s.admit(w, r, s.reads) {
		return
	}
	s.count(func(t *StoreTruth) {
		t.Reads++
		s.readsInSec++
		t.PeakReads = max(t.PeakReads, s.readsInSec)
	})
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.LoseBefore }) ||
		s.hit(func(f *StoreFaults) *control.Chance { return &f.LoseAfter }) {
		s.count(func(t *StoreTruth) { t.LostReads++ })
		control.Lose()
	}
	run()
}

// write runs a write, in time, later or never as the faults say. The function that run returns writes the answer.
func (s *store) write(w http.ResponseWriter, r *http.Request, run func() (answer func())) {
	if !s.admit(w, r, s.writes) {
		return
	}
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.LoseBefore }) {
		s.count(func(t *StoreTruth) { t.LostBefore++ })
		control.Lose()
	}
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.Delay }) {
		s.count(func(t *StoreTruth) { t.Delayed++ })
		timer := s.server.clock.NewTimer(control.Seconds(s.faults().DelaySeconds))
		go func() {
			<-timer.C()
			run()
		}()
		control.Lose()
	}
	answer := run()
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.LoseAfter }) {
		s.count(func(t *StoreTruth) { t.LostAfter++ })
		control.Lose()
	}
	answer()
}

// countWrite counts a write that took effect.
func (s *store) countWrite() {
	s.count(func(t *StoreTruth) {
		t.Writes++
		s.writesInSec++
		t.PeakWrites = max(t.PeakWrites, s.writesInSec)
	})
}

func (s *store) faults() StoreFaults {
	all := s.server.faults.Get()
	return *s.choose(&all)
}

func (s *store) hit(choose func(*StoreFaults) *control.Chance) bool {
	return s.server.faults.Hit(func(f *Faults) *control.Chance { return choose(s.choose(f)) })
}

func (s *store) count(change func(*StoreTruth)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := s.server.clock.Now().Unix(); second != s.second {
		s.second, s.readsInSec, s.writesInSec = second, 0, 0
	}
	change(&s.counts)
}

func (s *store) truth() StoreTruth {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
