package platform

import (
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"balsamsail/internal/standin/control"
)

// Faults are the faults that can be injected into the platform's services.
type Faults struct {
	Table   StoreFaults  `json:"table"`
	Objects StoreFaults  `json:"objects"`
	Weights WeightFaults `json:"weights"`
	Hosts   HostFaults   `json:"hosts"`
}

// StoreFaults are the faults that can be injected into the table or the object store.
type StoreFaults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// Hang leaves every call unexecuted and unanswered.
	Hang bool `json:"hang"`
	// LatencySeconds is the mean of an exponentially distributed delay that is added before each call.
	LatencySeconds float64 `json:"latency_seconds"`
	// LoseBefore drops the connection before a write is executed, LoseAfter after it.
	LoseBefore control.Chance `json:"lose_before"`
	LoseAfter  control.Chance `json:"lose_after"`
	// Delay drops the connection and executes the write DelaySeconds later.
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
	// LostBefore, LostAfter and Delayed count the writes that these faults affected, LostReads the reads.
	LostBefore int `json:"lost_before"`
	LostAfter  int `json:"lost_after"`
	Delayed    int `json:"delayed"`
	LostReads  int `json:"lost_reads"`
	// PeakReads and PeakWrites are the largest numbers of calls accepted within one second of the clock.
	PeakReads  int `json:"peak_reads_per_second"`
	PeakWrites int `json:"peak_writes_per_second"`
}

// store is what the table and the object store share: rate limits, faults and counts.
type store struct {
	server       *Server
	selectFaults func(*Faults) *StoreFaults
	reads        *rate.Limiter
	writes       *rate.Limiter

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
		server:       s,
		selectFaults: choose,
		reads:        newLimiter(limits.ReadsPerSecond, defaultReads),
		writes:       newLimiter(limits.WritesPerSecond, defaultWrites),
	}
}

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// admit applies faults and the rate limit to a call. It returns false if the call must not be executed; any response has
// been written then.
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

// read runs a read unless a fault or the rate limit prevents it.
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
		control.DropConnection()
	}
	run()
}

// write runs a write at once, later or never, depending on the faults. The function that run returns writes the response.
func (s *store) write(w http.ResponseWriter, r *http.Request, run func() (answer func())) {
	if !s.admit(w, r, s.writes) {
		return
	}
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.LoseBefore }) {
		s.count(func(t *StoreTruth) { t.LostBefore++ })
		control.DropConnection()
	}
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.Delay }) {
		s.count(func(t *StoreTruth) { t.Delayed++ })
		timer := s.server.clock.NewTimer(control.Seconds(s.faults().DelaySeconds))
		go func() {
			<-timer.C()
			run()
		}()
		control.DropConnection()
	}
	answer := run()
	if s.hit(func(f *StoreFaults) *control.Chance { return &f.LoseAfter }) {
		s.count(func(t *StoreTruth) { t.LostAfter++ })
		control.DropConnection()
	}
	answer()
}

// countWrite counts a write that was executed successfully.
func (s *store) countWrite() {
	s.count(func(t *StoreTruth) {
		t.Writes++
		s.writesInSec++
		t.PeakWrites = max(t.PeakWrites, s.writesInSec)
	})
}

func (s *store) faults() StoreFaults {
	all := s.server.faults.Get()
	return *s.selectFaults(&all)
}

func (s *store) hit(choose func(*StoreFaults) *control.Chance) bool {
	return s.server.faults.Hit(func(f *Faults) *control.Chance { return choose(s.selectFaults(f)) })
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
