// Package engine stands in for a model engine, for tests and the dev command: it loads models and adapters on order,
// answers chat completions with text that depends only on the request, and keeps the truth of what it did.
//
//	POST /v1/chat/completions  the usual chat format, whole or as server-sent events
//	GET  /v1/models            the models and adapters that are loaded
//	POST /admin/orders         endpoint.Order in; the answer comes when the order has ended
//	GET  /admin/state          endpoint.EngineState
//	GET  /admin/report         endpoint.LoadReport, lagging
//	GET  /admin/events?after=N endpoint.CacheEvents, late and with gaps
//	POST /restart              a new incarnation, which holds nothing
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

// FencingMode says what an engine does with an order that carries an old fencing number.
type FencingMode string

// The fencing modes.
const (
	FencingChecks  FencingMode = "checks"
	FencingIgnores FencingMode = "ignores"
)

// OvercommitMode says what an engine does with a load that exceeds its memory.
type OvercommitMode string

// The overcommit modes: the load is refused, or it is begun, counted as an overcommit, and fails.
const (
	OvercommitRefused OvercommitMode = "refused"
	OvercommitFails   OvercommitMode = "fails"
)

// Options are the settings of the stand-in. A zero takes the default that is given with it.
type Options struct {
	// Clock is the source of time (the machine's).
	Clock clock.Clock
	// Seed seeds the chances of faults.
	Seed uint64
	// Name becomes part of the incarnation ("engine").
	Name string

	// MemoryBytes is the accelerators' memory (80 GiB), of which KVBytes (8 GiB) are set aside for the KV cache.
	MemoryBytes, KVBytes int64
	// MemoryCacheBytes (256 GiB) and DiskCacheBytes (1 TiB) bound the host's caches of checkpoints.
	MemoryCacheBytes, DiskCacheBytes int64
	// LoadFromMemory (500 ms), LoadFromDisk (2 s) and LoadFromStore (8 s) are how long a load takes at full speed, by
	// where its checkpoint is found. LoadAdapter (200 ms) is the same for an adapter, which always comes from the store.
	LoadFromMemory, LoadFromDisk, LoadFromStore, LoadAdapter time.Duration
	// Unload is how long an unload takes (50 ms).
	Unload time.Duration
	// WeightsURL is the base URL of the weight store; without one a load from the store just takes its time.
	WeightsURL string

	// MaxBatch is the number of requests that run at full speed (16); up to MaxRunning (32) run more slowly, the next
	// MaxWaiting (1024) wait and all others are refused.
	MaxBatch, MaxRunning, MaxWaiting int
	// FirstToken is the time to the first token (50 ms), BetweenTokens that between two (10 ms). A negative one is none.
	FirstToken, BetweenTokens time.Duration
	// DefaultTokens is the length of an answer whose request sets no limit (32).
	DefaultTokens int
	// PrefixEntries bounds the cache of prompt prefixes (64); a hit quarters the time to the first token.
	PrefixEntries int

	// Fencing is what happens to orders with old fencing numbers (FencingChecks).
	Fencing FencingMode
	// Overcommit is what happens to loads that exceed the memory (OvercommitRefused).
	Overcommit OvercommitMode
	// Token is what orders must carry as a bearer token, if it is set.
	Token string
	// ReportLag is how old the load report is, EventLag how late cache events come.
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

// Faults are what can go wrong with an engine.
type Faults struct {
	// SlowFactor makes all that the engine generates that many times slower, which its report does not show; 0 and 1
	// mean full speed.
	SlowFactor float64 `json:"slow_factor"`
	// Hang gives no answer to requests, orders and reads.
	Hang bool `json:"hang"`
	// Refuse refuses requests and orders with 503.
	Refuse bool `json:"refuse"`
	// Cross answers a request with the identifier and the text of the one before it.
	Cross control.Chance `json:"cross"`
	// Cut breaks the connection after CutAfterTokens tokens of an answer.
	Cut            control.Chance `json:"cut"`
	CutAfterTokens int            `json:"cut_after_tokens"`
	// Late holds an answer back for LateSeconds before its first byte.
	Late        control.Chance `json:"late"`
	LateSeconds float64        `json:"late_seconds"`
	// LoadFails lets a load take its time and then fail; LoadHangs lets it never end.
	LoadFails control.Chance `json:"load_fails"`
	LoadHangs control.Chance `json:"load_hangs"`
	// DelayOrders holds an order up for DelayOrdersSeconds before the engine sees it, also if its sender has gone.
	DelayOrders        control.Chance `json:"delay_orders"`
	DelayOrdersSeconds float64        `json:"delay_orders_seconds"`
	// LoseOrders carries an order out and cuts the connection in place of its answer.
	LoseOrders control.Chance `json:"lose_orders"`
	// DropEvents leaves cache events out.
	DropEvents control.Chance `json:"drop_events"`
}

// Server is the stand-in.
type Server struct {
	options Options
	clock   clock.Clock
	faults  *control.Switch[Faults]
	router  chi.Router
	weights *http.Client

	mu       sync.Mutex
	process  *process
	restarts int
	// caches belong to the host and outlive the engine's process.
	memoryCache, diskCache *lru
	truth                  Truth
	previous               question
}

// New returns an engine that holds no model.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options:     o,
		clock:       o.Clock,
		faults:      control.NewSwitch[Faults](o.Seed),
		router:      chi.NewRouter(),
		weights:     &http.Client{Transport: sendonce.NewTransport()},
		memoryCache: newLRU(o.MemoryCacheBytes),
		diskCache:   newLRU(o.DiskCacheBytes),
	}
	s.Restart()
	s.router.Post("/v1/chat/completions", s.chat)
	s.router.Get("/v1/models", s.listModels)
	s.router.Post(endpoint.PathOrders, s.order)
	s.router.Get(endpoint.PathState, s.document(func(p *process) any { return s.state(p) }))
	s.router.Get(endpoint.PathReport, s.document(func(p *process) any { return p.report(s.clock.Now()) }))
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

// Handler returns the server's HTTP interface.
func (s *Server) Handler() http.Handler { return s.router }

// Faults returns the switch of the faults.
func (s *Server) Faults() *control.Switch[Faults] { return s.faults }

// process is one incarnation of the engine. All but what it was made with is guarded by the server's mu.
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

// Restart ends the engine's process, with all requests, loads and models, and starts another one.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process != nil {
		s.process.stop()
		s.restarts++
		s.note(HistoryRestarted, endpoint.Order{})
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

// document serves a read of the running process.
func (s *Server) document(read func(*process) any) http.HandlerFunc {
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

// hang waits out the request and returns true if the engine hangs.
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
		state.HighestFence = p.highestFence
	}
	return state
}

// The places of a cached checkpoint in endpoint.EngineState.
const (
	CachedInMemory = "memory"
	CachedOnDisk   = "disk"
)
