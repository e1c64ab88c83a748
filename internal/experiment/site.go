package experiment

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/demand"
	"balsamsail/internal/fleet"
	"balsamsail/internal/nameset"
	"balsamsail/internal/placement"
	"balsamsail/internal/settings"
)

const (
	// tick is the step of the simulated time. The events of a stream are about 40 ms or more apart.
	tick = 10 * time.Millisecond
	// decideInterval is the time between two decisions of the manager, and reportLag the maximum age of the reports
	// that it uses.
	decideInterval = 100 * time.Millisecond
	reportLag      = 100 * time.Millisecond
	service        = "engines"
	// patienceFactor is the time for which a client waits for the first event, as a multiple of its target, and
	// minPatience the minimum of that time.
	patienceFactor = 4
	minPatience    = 2 * time.Second
)

// engine is a simulated engine.
type engine struct {
	id           string
	loaded       map[string]bool
	diskCopies   []string
	memoryCopies []string
	running      []*request
	queued       []*request
	command      *controlpb.Command
	loading      bool
	loadDoneAt   time.Duration
	// fromStore is set while the engine loads from the weight store.
	fromStore bool
	idleTime  time.Duration
	reported  fleet.Engine
}

// site simulates the engines and requests of a site for one day. It implements the dependencies of placement.Manager.
type site struct {
	params      *settings.Experiment
	seed        uint64
	config      *catalog.Config
	engines     []*engine
	waiting     []*request
	requests    []*request
	nextRequest int
	now         time.Duration
	origin      time.Time
	arrived     map[string]int64
	// targets are the shortest first-event targets of the requests so far, by model.
	targets        map[string]time.Duration
	loads          map[placement.Source]int
	reportedDemand []demand.Model
	manager        *placement.Manager
	// newManager returns the manager of a coordinator that has just started.
	newManager func() *placement.Manager
}

// newSite returns a site at the start of a day. Busy models are loaded on several engines, the others on one each while
// there is room.
func newSite(params *settings.Experiment, seed uint64, requests []*request, policy func(*site) placement.Policy) (*site, error) {
	s := &site{params: params, seed: seed, requests: requests, origin: time.Unix(0, 0), arrived: make(map[string]int64), targets: make(map[string]time.Duration), loads: make(map[placement.Source]int)}
	class := &catalog.EngineClass{
		Batch: params.Engines.Batch, MemoryMB: float64(params.Engines.Places), LoadsPerSecond: params.Weights.PerSecond,
		Models: make(map[string]catalog.Model),
	}
	for i := range params.Engines.Models {
		name := modelName(i)
		class.Models[name] = catalog.Model{
			Name: name, SizeMB: 1, Adapters: adapterCount(params, i), StoreLoadTime: params.Weights.StoreTime, DiskTime: params.Weights.DiskTime, MemoryTime: params.Weights.MemoryTime,
		}
	}
	s.config = catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{service: {Name: service, Engine: class}}, nil)
	for i := range params.Engines.Count {
		s.engines = append(s.engines, &engine{id: "engine-" + modelName(i), loaded: make(map[string]bool)})
	}
	s.placeInitialModels()
	metrics, err := placement.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		return nil, err
	}
	s.newManager = func() *placement.Manager {
		return placement.NewManager(s, s, s, slog.New(slog.DiscardHandler), metrics, policy(s))
	}
	s.manager = s.newManager()
	return s, nil
}

// adapterCount returns the number of adapters of a model: every other one of the first models has one.
func adapterCount(params *settings.Experiment, model int) int {
	if model < params.Engines.WithAdapters && model%2 == 0 {
		return 1
	}
	return 0
}

// placeInitialModels sets the models that engines have loaded at the start of the day.
func (s *site) placeInitialModels() {
	next := 0
	place := func(model int) bool {
		for range s.engines {
			e := s.engines[next%len(s.engines)]
			next++
			if len(e.loaded) < s.params.Engines.Places && !e.loaded[modelName(model)] {
				e.loaded[modelName(model)] = true
				s.cacheCopies(e, modelName(model))
				return true
			}
		}
		return false
	}
	for range s.params.Engines.Spread - 1 {
		place(0)
	}
	for m := range s.params.Engines.Models {
		if !place(m) {
			break
		}
	}
	random := rand.New(rand.NewPCG(s.seed, 12))
	for _, e := range s.engines {
		for _, m := range random.Perm(s.params.Engines.Models)[:min(s.params.Weights.FirstCopies, s.params.Engines.Models)] {
			if !e.loaded[modelName(m)] {
				e.diskCopies = append([]string{modelName(m)}, e.diskCopies...)
			}
		}
		e.diskCopies = e.diskCopies[max(0, len(e.diskCopies)-s.params.Weights.DiskCopies):]
		e.reported = s.report(e)
	}
}

// cacheCopies adds a model's weights to an engine's caches on disk and in host memory, evicting the oldest entries.
func (s *site) cacheCopies(e *engine, model string) {
	e.diskCopies = pushRecent(e.diskCopies, model, s.params.Weights.DiskCopies)
	e.memoryCopies = pushRecent(e.memoryCopies, model, s.params.Weights.MemoryCopies)
}

func pushRecent(list []string, model string, most int) []string {
	list = append(slices.DeleteFunc(list, func(m string) bool { return m == model }), model)
	return list[max(0, len(list)-most):]
}

// simulate runs the day to its end.
func (s *site) simulate() {
	end := s.params.Run.Lead + s.params.Run.Length + 10*time.Second
	for s.now = 0; s.now < end; s.now += tick {
		s.admitArrivals()
		if s.params.Run.LossAt > 0 && s.now == s.params.Run.Lead+s.params.Run.LossAt.Truncate(tick) {
			s.failPower()
		}
		for _, e := range s.engines {
			s.stepLoad(e)
			s.stepEngine(e)
		}
		s.dispatch()
		if s.now%reportLag == 0 {
			for _, e := range s.engines {
				e.reported = s.report(e)
			}
			s.reportedDemand = s.demandNow()
		}
		if s.now%decideInterval == 0 {
			s.manager.Step(s.time())
		}
	}
}

// failPower restarts all engines and the coordinator: only the copies on the engines' disks remain.
func (s *site) failPower() {
	for _, e := range s.engines {
		e.loaded, e.memoryCopies, e.running, e.queued = make(map[string]bool), nil, nil, nil
		e.command, e.loading, e.fromStore = nil, false, false
		e.reported = s.report(e)
	}
	clear(s.arrived)
	clear(s.targets)
	for _, r := range s.waiting {
		s.countArrival(r)
	}
	s.manager = s.newManager()
}

func (s *site) time() time.Time { return s.origin.Add(s.now) }

// admitArrivals adds the requests that arrive now.
func (s *site) admitArrivals() {
	for ; s.nextRequest < len(s.requests) && s.requests[s.nextRequest].at <= s.now; s.nextRequest++ {
		r := s.requests[s.nextRequest]
		s.countArrival(r)
		r.cold = !slices.ContainsFunc(s.engines, func(e *engine) bool { return s.serves(e, r.model) })
		s.waiting = append(s.waiting, r)
	}
}

// countArrival updates the demand counters as a gateway would.
func (s *site) countArrival(r *request) {
	s.arrived[r.model]++
	if s.targets[r.model] == 0 || r.kind.Aim < s.targets[r.model] {
		s.targets[r.model] = r.kind.Aim
	}
}

// serves reports whether an engine accepts requests for a model.
func (s *site) serves(e *engine, model string) bool {
	return e.loaded[model] && (e.command == nil || !slices.Contains(e.command.Unload, model))
}

// dispatch sends each waiting request to the engine with the fewest requests among those that have its model loaded,
// and drops requests whose clients have disconnected.
func (s *site) dispatch() {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool {
		if s.abandoned(r) {
			return true
		}
		var best *engine
		for _, e := range s.engines {
			if s.serves(e, r.model) && (best == nil || len(e.running)+len(e.queued) < len(best.running)+len(best.queued)) {
				best = e
			}
		}
		if best == nil {
			return false
		}
		r.promptLeft, r.tokensLeft = float64(r.prompt), float64(r.events*s.params.Engines.EventTokens)
		best.queued = append(best.queued, r)
		return true
	})
}

// abandoned reports whether a request's client has disconnected, at its deadline or after waiting too long for the
// first event.
func (s *site) abandoned(r *request) bool {
	patience := max(minPatience, patienceFactor*r.kind.Aim)
	return s.now-r.at > r.kind.Deadline || r.firstEvent == 0 && s.now-r.at > patience
}

// stepEngine simulates one tick of an engine: it processes prompts between the decoding steps of its streams.
func (s *site) stepEngine(e *engine) {
	leave := func(r *request) bool { return s.abandoned(r) || r.done }
	e.running = slices.DeleteFunc(e.running, leave)
	e.queued = slices.DeleteFunc(e.queued, leave)
	for len(e.queued) > 0 && len(e.running) < s.params.Engines.Batch {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	if len(e.running) == 0 {
		if len(e.loaded) > 0 && s.now >= s.params.Run.Lead {
			e.idleTime += tick
		}
		return
	}
	left := s.prefill(e, tick)
	step := s.params.Engines.Step + time.Duration(len(e.running))*s.params.Engines.StepPerRun
	tokens := float64(left) / float64(step)
	for _, r := range e.running {
		if r.promptLeft <= 0 {
			s.decode(r, tokens)
		}
	}
}

// prefill processes prompts for up to the given time and returns the rest of it.
func (s *site) prefill(e *engine, budget time.Duration) time.Duration {
	perTick := s.params.Engines.ReadPerMS * budget.Seconds() * 1000
	left := perTick
	for _, r := range e.running {
		if r.promptLeft > 0 && left > 0 {
			read := min(left, r.promptLeft)
			r.promptLeft -= read
			left -= read
		}
	}
	return time.Duration(float64(budget) * left / perTick)
}

// decode generates tokens of a request, several per event.
func (s *site) decode(r *request, tokens float64) {
	perEvent := float64(s.params.Engines.EventTokens)
	before := int((r.tokensLeft + perEvent - 1) / perEvent)
	r.tokensLeft -= tokens
	after := int((max(0, r.tokensLeft) + perEvent - 1) / perEvent)
	if after == before {
		return
	}
	if r.firstEvent == 0 {
		r.firstEvent = s.now
	} else {
		r.longestPause = max(r.longestPause, s.now-r.lastEvent)
	}
	r.lastEvent = s.now
	r.done = r.tokensLeft <= 0
}

// stepLoad continues an engine's command: models are unloaded once their requests have ended, then the load starts.
func (s *site) stepLoad(e *engine) {
	switch {
	case e.command == nil:
	case !e.loading && e.command.Load != "":
		if s.inUse(e, e.command.Unload) {
			return
		}
		for _, m := range e.command.Unload {
			delete(e.loaded, m)
		}
		s.startLoad(e)
	case e.loading && s.now >= e.loadDoneAt:
		e.loaded[e.command.Load] = true
		s.cacheCopies(e, e.command.Load)
		e.command, e.loading, e.fromStore = nil, false, false
	}
}

func (s *site) inUse(e *engine, models []string) bool {
	uses := func(r *request) bool { return slices.Contains(models, r.model) }
	return slices.ContainsFunc(e.running, uses) || slices.ContainsFunc(e.queued, uses)
}

// loadTime returns the time to load a model from a source at full speed; it is the same for all models.
func (s *site) loadTime(source placement.Source) time.Duration {
	return source.LoadTime(s.config.EngineClass(service).Models[modelName(0)])
}

func (s *site) startLoad(e *engine) {
	source := placement.FromStore
	switch {
	case slices.Contains(e.memoryCopies, e.command.Load):
		source = placement.FromMemory
	case slices.Contains(e.diskCopies, e.command.Load):
		source = placement.FromDisk
	}
	duration := s.loadTime(source)
	s.loads[source]++
	e.loading, e.fromStore = true, source == placement.FromStore
	if e.fromStore {
		active := 0
		for _, other := range s.engines {
			if other.fromStore {
				active++
			}
		}
		duration = time.Duration(float64(duration) * max(1, float64(active)/float64(s.params.Weights.FullSpeed)))
	}
	e.loadDoneAt = s.now + duration
}

// report returns the state of an engine as its agent would report it.
func (s *site) report(e *engine) fleet.Engine {
	state := fleet.EngineState{
		EndpointID: e.id, Models: make(map[string]map[string]bool), Unloading: make(map[string]bool), InMemory: nameset.Of(e.memoryCopies), OnDisk: nameset.Of(e.diskCopies),
		Running: len(e.running), Queued: len(e.queued), Command: e.reported.Command,
	}
	for m := range e.loaded {
		state.Models[m] = nil
	}
	if e.command != nil {
		state.Busy, state.Loading, state.Unloading, state.Command = true, e.command.Load, nameset.Of(e.command.Unload), e.command.Id
	}
	return fleet.Engine{ID: e.id, Reported: true, EngineState: state}
}

// demandNow returns the demand as the gateways would report it.
func (s *site) demandNow() []demand.Model {
	models := make(map[string]*demand.Model)
	for name, count := range s.arrived {
		models[name] = &demand.Model{Target: demand.Target{Service: service, Model: name}, Arrived: count, FirstEventTarget: s.targets[name]}
	}
	for _, r := range s.waiting {
		d := models[r.model]
		d.Waiting++
		d.OldestWait = max(d.OldestWait, s.now-r.at)
	}
	for _, e := range s.engines {
		for _, r := range slices.Concat(e.running, e.queued) {
			models[r.model].Running++
		}
	}
	list := make([]demand.Model, 0, len(models))
	for _, d := range models {
		list = append(list, *d)
	}
	return list
}

// Config implements placement.Site.
func (s *site) Config() *catalog.Config { return s.config }

// Engines implements placement.Site.
func (s *site) Engines(string, time.Time) []fleet.Engine {
	list := make([]fleet.Engine, len(s.engines))
	for i, e := range s.engines {
		list[i] = e.reported
	}
	return list
}

// IsCoordinator implements placement.Gateways.
func (s *site) IsCoordinator(time.Time) bool { return true }

// Demand implements placement.Gateways.
func (s *site) Demand(time.Time) []demand.Model { return s.reportedDemand }

// Waiting implements placement.Gateways.
func (s *site) Waiting() <-chan struct{} { return nil }

// SendCommand implements placement.Commander.
func (s *site) SendCommand(c *controlpb.Command) {
	for _, e := range s.engines {
		if e.id == c.EndpointId && e.command == nil {
			e.command = c
		}
	}
}
