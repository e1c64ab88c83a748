// Package engine is a stand-in for a model engine, for tests and the dev command. It loads and unloads models and adapters on
// order, answers chat completions with text that depends only on the request, and records what it really did (Truth).
//
//	POST /v1/chat/completions  the OpenAI chat format, as one JSON document or as server-sent events
//	GET  /v1/models            the models and adapters that are loaded
//	POST /admin/orders         takes an endpoint.Order; responds when the order has been executed
//	GET  /admin/state          endpoint.EngineState
//	GET  /admin/report         endpoint.LoadReport, delayed by ReportLag
//	GET  /admin/events?after=N endpoint.CacheEvents, delayed by EventLag and possibly with gaps
//	POST /restart              starts a new incarnation with no models loaded
//	GET  /faults, POST, DELETE Faults
//	GET  /truth                Truth
package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/clock"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/sendonce"
	"balsamsail/internal/standin/control"
)

// FencingMode determines what an engine does with an order that carries an old fencing token.
type FencingMode string

// The fencing modes.
const (
	FencingChecks  FencingMode = "checks"
	FencingIgnores FencingMode = "ignores"
)

// OvercommitMode determines what an engine does with a load that exceeds its memory.
type OvercommitMode string

// The overcommit modes: the load is rejected, or it is attempted, counted as an overcommit, and fails.
const (
	OvercommitRefused OvercommitMode = "refused"
	OvercommitFails   OvercommitMode = "fails"
)

// Options configure the stand-in. A zero value selects the default, which is given in parentheses.
type Options struct {
	// Clock is the source of time (the system clock).
	Clock clock.Clock
	// Seed seeds the random choices of faults.
	Seed uint64
	// Name is the prefix of the incarnation's id ("engine").
	Name string

	// MemoryBytes is the accelerators' memory (80 GiB), of which KVBytes (8 GiB) are reserved for the KV cache.
	MemoryBytes, KVBytes int64
	// MemoryCacheBytes (256 GiB) and DiskCacheBytes (1 TiB) are the sizes of the host's checkpoint caches.
	MemoryCacheBytes, DiskCacheBytes int64
	// LoadFromMemory (500 ms), LoadFromDisk (2 s) and LoadFromStore (8 s) are how long a load takes at full speed, depending
	// on where its checkpoint is. LoadAdapter (200 ms) is the same for an adapter, which always comes from the store.
	LoadFromMemory, LoadFromDisk, LoadFromStore, LoadAdapter time.Duration
	// Unload is how long an unload takes (50 ms).
	Unload time.Duration
	// WeightsURL is the base URL of the weight store. If it is empty, a load from the store only waits for LoadFromStore or
	// LoadAdapter.
	WeightsURL string

	// MaxBatch is the number of requests that run at full speed (16). Up to MaxRunning (32) run more slowly, up to MaxWaiting
	// (1024) more wait, and all others are rejected.
	MaxBatch, MaxRunning, MaxWaiting int
	// FirstToken is the time to the first token (50 ms), BetweenTokens the time between two tokens (10 ms). Negative values
	// mean no delay.
	FirstToken, BetweenTokens time.Duration
	// DefaultTokens is the length of the answer to a request without a token limit (32).
	DefaultTokens int
	// PrefixEntries is the size of the cache of prompt prefixes (64). A hit divides the time to the first token by four.
	PrefixEntries int

	// Fencing is what happens to orders with old fencing tokens (FencingChecks).
	Fencing FencingMode
	// Overcommit is what happens to loads that exceed the memory (OvercommitRefused).
	Overcommit OvercommitMode
	// Token is the bearer token that orders must carry, if it is set.
	Token string
	// ReportLag is the age of the load report, EventLag the delay of cache events.
	ReportLag, EventLag time.Duration
}

const gib = 1 << 30

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	setDefault(&o.Name, "engine")
	setDefault(&o.MemoryBytes, 80*gib)
	setDefault(&o.KVBytes, 8*gib)
	setDefault(&o.MemoryCacheBytes, 256*gib)
	setDefault(&o.DiskCacheBytes, 1024*gib)
	setDefault(&o.LoadFromMemory, 500*time.Millisecond)
	setDefault(&o.LoadFromDisk, 2*time.Second)
	setDefault(&o.LoadFromStore, 8*time.Second)
	setDefault(&o.LoadAdapter, 200*time.Millisecond)
	setDefault(&o.Unload, 50*time.Millisecond)
	setDefault(&o.MaxBatch, 16)
	setDefault(&o.MaxRunning, 32)
	setDefault(&o.MaxWaiting, 1024)
	setDefault(&o.FirstToken, 50*time.Millisecond)
	setDefault(&o.BetweenTokens, 10*time.Millisecond)
	setDefault(&o.DefaultTokens, 32)
	setDefault(&o.PrefixEntries, 64)
	setDefault(&o.Fencing, FencingChecks)
	setDefault(&o.Overcommit, OvercommitRefused)
	return o
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

// Faults are the faults that can be injected into an engine.
type Faults struct {
	// SlowFactor makes token generation that many times slower without a change in the load report; 0 and 1 mean full speed.
	SlowFactor float64 `json:"slow_factor"`
	// Hang leaves requests, orders and reads unanswered.
	Hang bool `json:"hang"`
	// Refuse rejects requests and orders with 503.
	Refuse bool `json:"refuse"`
	// SwapAnswer answers a request with the request ID and the text of the previous one.
	SwapAnswer control.Chance `json:"cross"`
	// Cut drops the connection after CutAfterTokens tokens of an answer.
	Cut            control.Chance `json:"cut"`
	CutAfterTokens int            `json:"cut_after_tokens"`
	// Late delays the first byte of an answer by LateSeconds.
	Late        control.Chance `json:"late"`
	LateSeconds float64        `json:"late_seconds"`
	// LoadFails makes a load fail after its usual time; LoadHangs makes it never end.
	LoadFails control.Chance `json:"load_fails"`
	LoadHangs control.Chance `json:"load_hangs"`
	// DelayOrders delays the execution of an order by DelayOrdersSeconds, even if its sender disconnects meanwhile.
	DelayOrders        control.Chance `json:"delay_orders"`
	DelayOrdersSeconds float64        `json:"delay_orders_seconds"`
	// LoseOrders executes an order and drops the connection instead of responding.
	LoseOrders control.Chance `json:"lose_orders"`
	// DropEvents omits cache events; their sequence numbers remain as gaps.
	DropEvents control.Chance `json:"drop_events"`
}

// Server is the stand-in.
type Server struct {
	options Options
	clock   clock.Clock
	faults  *control.FaultSet[Faults]
	router  chi.Router
	weights *http.Client

	mu       sync.Mutex
	process  *process
	restarts int
	// caches belong to the host and outlive the engine's process.
	memoryCache, diskCache *lru
	truth                  Truth
	previousInput          answerInput
}

// New returns an engine with no models loaded.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options:     o,
		clock:       o.Clock,
		faults:      control.NewFaultSet[Faults](o.Seed),
		router:      chi.NewRouter(),
		weights:     &http.Client{Transport: sendonce.NewTransport()},
		memoryCache: newLRU(o.MemoryCacheBytes),
		diskCache:   newLRU(o.DiskCacheBytes),
	}
	s.Restart()
	s.router.Post("/v1/chat/completions", s.chat)
	s.router.Get("/v1/models", s.listModels)
	s.router.Post(endpoint.PathOrders, s.order)
	s.router.Get(endpoint.PathState, s.serveDocument(func(p *process) any { return s.state(p) }))
	s.router.Get(endpoint.PathReport, s.serveDocument(func(p *process) any { return p.report(s.clock.Now()) }))
	s.router.Get(endpoint.PathEvents, s.events)
	s.router.Post("/restart", func(w http.ResponseWriter, _ *http.Request) {
		s.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	s.faults.Mount(s.router)
	s.router.Get("/truth", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Truth())
	})
	return s
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler { return s.router }

// Faults returns the injected faults, which the caller may change.
func (s *Server) Faults() *control.FaultSet[Faults] { return s.faults }

// process is one incarnation of the engine. Its mutable state is guarded by the server's mu.
type process struct {
	options     Options
	incarnation string
	// ctx ends with the process.
	ctx  context.Context
	stop context.CancelFunc

	models       map[string]*model
	highestFence uint64
	queue        queue
	reports      reportHistory
	prefixes     *lru
	cacheEvents  []endpoint.CacheEvent
	lastEvent    uint64
}

// Restart ends the engine's process together with all its requests, loads and models, and starts a new one.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process != nil {
		s.process.stop()
		s.restarts++
		s.recordHistory(HistoryRestarted, endpoint.Order{})
	}
	ctx, stop := context.WithCancel(context.Background())
	s.process = &process{
		options:     s.options,
		incarnation: fmt.Sprintf("%s-%d-%d", s.options.Name, s.clock.Now().UnixNano(), s.restarts),
		ctx:         ctx,
		stop:        stop,
		models:      map[string]*model{},
		queue:       queue{maxRunning: s.options.MaxRunning, maxWaiting: s.options.MaxWaiting},
		reports:     reportHistory{lag: s.options.ReportLag},
		prefixes:    newLRU(int64(s.options.PrefixEntries)),
	}
}

func (s *Server) current() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// serveDocument returns a handler that responds with the JSON of what read returns. read is called with mu held.
func (s *Server) serveDocument(read func(*process) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.hang(r) {
			return
		}
		s.mu.Lock()
		document := read(s.process)
		s.mu.Unlock()
		control.WriteJSON(w, http.StatusOK, document)
	}
}

// hang returns false unless the Hang fault is on. In that case it waits until the client disconnects and returns true.
func (s *Server) hang(r *http.Request) bool {
	if !s.faults.Get().Hang {
		return false
	}
	control.Hang(r)
	return true
}

func (s *Server) state(p *process) endpoint.EngineState {
	state := endpoint.EngineState{
		Incarnation: p.incarnation,
		MemoryBytes: s.options.MemoryBytes,
		UsedBytes:   p.usedBytes(),
		Models:      p.loadedModels(),
		Cached:      map[string]string{},
	}
	for _, name := range s.diskCache.keys() {
		state.Cached[name] = CachedOnDisk
	}
	for _, name := range s.memoryCache.keys() {
		state.Cached[name] = CachedInMemory
	}
	if s.options.Fencing == FencingChecks {
		state.HighestFencingToken = p.highestFence
	}
	return state
}

// The values of endpoint.EngineState.Cached.
const (
	CachedInMemory = "memory"
	CachedOnDisk   = "disk"
)
