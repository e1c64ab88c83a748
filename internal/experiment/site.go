package experiment

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/fleet"
	"balsamsail/internal/nameset"
	"balsamsail/internal/placement"
	"balsamsail/internal/settings"
)

const (
	// tick is the step of the model's time. Events of a stream come some 40 ms apart and more.
	tick = 10 * time.Millisecond
	// decideEvery is the time between two decisions of the manager, and reportLag how old what it sees is.
	decideEvery = 100 * time.Millisecond
	reportLag   = 100 * time.Millisecond
	service     = "engines"
	gatewayName = "gateway"
	// patienceTargets is for how many of its aims a client waits for the first event.
	patienceTargets = 4
	leastPatience   = 2 * time.Second
)

// engine is one engine of the model.
type engine struct {
	id       string
	holds    map[string]bool
	disk     []string
	memory   []string
	running  []*request
	queued   []*request
	command  *controlpb.Command
	loading  bool
	loadEnds time.Duration
	// fromStore is set while the engine's load is one from the store.
	fromStore bool
	idle      time.Duration
	seen      fleet.Engine
}

// site is a model of a site on one day. It implements what placement.Manager asks for.
type site struct {
	x       *settings.Experiment
	seed    uint64
	config  *catalog.Config
	engines []*engine
	waiting []*request
	day     []*request
	next    int
	now     time.Duration
	origin  time.Time
	arrived map[string]int64
	// targets are the tightest aims seen of each model's requests.
	targets map[string]time.Duration
	loads   map[placement.Source]int
	current *controlpb.Demand
	manager *placement.Manager
	// newManager makes the manager of a coordinator that knows nothing.
	newManager func() *placement.Manager
}

// newSite returns a site at the begin of a day: busy models are spread, every other has one engine while there are places.
func newSite(x *settings.Experiment, seed uint64, day []*request, policy func(*site) placement.Policy) (*site, error) {
	s := &site{x: x, seed: seed, day: day, origin: time.Unix(0, 0), arrived: make(map[string]int64), targets: make(map[string]time.Duration), loads: make(map[placement.Source]int)}
	class := &catalog.EngineClass{
		Batch: x.Engines.Batch, MemoryMB: float64(x.Engines.Places), LoadsPerSecond: x.Weights.PerSecond,
		Models: make(map[string]catalog.Model),
	}
	for i := range x.Engines.Models {
		name := modelName(i)
		class.Models[name] = catalog.Model{
			Name: name, SizeMB: 1, Adapters: adapters(x, i), LoadTime: x.Weights.StoreTime, DiskTime: x.Weights.DiskTime, MemoryTime: x.Weights.MemoryTime,
		}
	}
	s.config = catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{service: {Name: service, Engine: class}}, nil)
	for i := range x.Engines.Count {
		s.engines = append(s.engines, &engine{id: "engine-" + modelName(i), holds: make(map[string]bool)})
	}
	s.fill()
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

// adapters is how many adapters a model has: of the first models every other one has some.
func adapters(x *settings.Experiment, model int) int {
	if model < x.Engines.WithAdapters && model%2 == 0 {
		return 1
	}
	return 0
}

// fill places the models that engines hold at the begin.
func (s *site) fill() {
	next := 0
	place := func(model int) bool {
		for range s.engines {
			e := s.engines[next%len(s.engines)]
			next++
			if len(e.holds) < s.x.Engines.Places && !e.holds[modelName(model)] {
				e.holds[modelName(model)] = true
				s.keepCopies(e, modelName(model))
				return true
			}
		}
		return false
	}
	for range s.x.Engines.Spread - 1 {
		place(0)
	}
	for m := range s.x.Engines.Models {
		if !place(m) {
			break
		}
	}
	random := rand.New(rand.NewPCG(s.seed, 12))
	for _, e := range s.engines {
		for _, m := range random.Perm(s.x.Engines.Models)[:min(s.x.Weights.FirstCopies, s.x.Engines.Models)] {
			if !e.holds[modelName(m)] {
				e.disk = append([]string{modelName(m)}, e.disk...)
			}
		}
		e.disk = e.disk[max(0, len(e.disk)-s.x.Weights.DiskCopies):]
		e.seen = s.look(e)
	}
}

// keepCopies notes a model's weights on an engine's disk and in its host's memory, the oldest making way.
func (s *site) keepCopies(e *engine, model string) {
	e.disk = newest(e.disk, model, s.x.Weights.DiskCopies)
	e.memory = newest(e.memory, model, s.x.Weights.MemoryCopies)
}

func newest(list []string, model string, most int) []string {
	list = append(slices.DeleteFunc(list, func(m string) bool { return m == model }), model)
	return list[max(0, len(list)-most):]
}

// play plays the day to its end.
func (s *site) play() {
	end := s.x.Run.Lead + s.x.Run.Length + 10*time.Second
	for s.now = 0; s.now < end; s.now += tick {
		s.arrive()
		if s.x.Run.LossAt > 0 && s.now == s.x.Run.Lead+s.x.Run.LossAt.Truncate(tick) {
			s.losePower()
		}
		for _, e := range s.engines {
			s.load(e)
			s.run(e)
		}
		s.dispatch()
		if s.now%reportLag == 0 {
			for _, e := range s.engines {
				e.seen = s.look(e)
			}
			s.current = s.demandNow()
		}
		if s.now%decideEvery == 0 {
			s.manager.Step(s.time())
		}
	}
}

// losePower lets all engines and the coordinator start anew: only the copies on the engines' disks are left.
func (s *site) losePower() {
	for _, e := range s.engines {
		e.holds, e.memory, e.running, e.queued = make(map[string]bool), nil, nil, nil
		e.command, e.loading, e.fromStore = nil, false, false
		e.seen = s.look(e)
	}
	clear(s.arrived)
	clear(s.targets)
	for _, r := range s.waiting {
		s.count(r)
	}
	s.manager = s.newManager()
}

func (s *site) time() time.Time { return s.origin.Add(s.now) }

// arrive takes in the requests that come now.
func (s *site) arrive() {
	for ; s.next < len(s.day) && s.day[s.next].at <= s.now; s.next++ {
		r := s.day[s.next]
		s.count(r)
		r.cold = !slices.ContainsFunc(s.engines, func(e *engine) bool { return s.serves(e, r.model) })
		s.waiting = append(s.waiting, r)
	}
}

// count notes a request as gateways do.
func (s *site) count(r *request) {
	s.arrived[r.model]++
	if s.targets[r.model] == 0 || r.kind.Aim < s.targets[r.model] {
		s.targets[r.model] = r.kind.Aim
	}
}

// serves reports whether an engine takes requests for a model.
func (s *site) serves(e *engine, model string) bool {
	return e.holds[model] && (e.command == nil || !slices.Contains(e.command.Unload, model))
}

// dispatch sends waiting requests to the engines that hold their models and have the fewest requests, and drops those whose
// clients have left.
func (s *site) dispatch() {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool {
		if s.gone(r) {
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
		r.promptLeft, r.tokensLeft = float64(r.prompt), float64(r.events*s.x.Engines.EventTokens)
		best.queued = append(best.queued, r)
		return true
	})
}

// gone reports whether a request's client has left: it waits longest for the first event.
func (s *site) gone(r *request) bool {
	patience := max(leastPatience, patienceTargets*r.kind.Aim)
	return s.now-r.at > r.kind.Deadline || r.first == 0 && s.now-r.at > patience
}

// run lets an engine work for one tick: it reads prompts between the steps of its streams.
func (s *site) run(e *engine) {
	leave := func(r *request) bool { return s.gone(r) || r.done }
	e.running = slices.DeleteFunc(e.running, leave)
	e.queued = slices.DeleteFunc(e.queued, leave)
	for len(e.queued) > 0 && len(e.running) < s.x.Engines.Batch {
		e.running = append(e.running, e.queued[0])
		e.queued = e.queued[1:]
	}
	if len(e.running) == 0 {
		if len(e.holds) > 0 && s.now >= s.x.Run.Lead {
			e.idle += tick
		}
		return
	}
	left := s.read(e, tick)
	step := s.x.Engines.Step + time.Duration(len(e.running))*s.x.Engines.StepPerRun
	tokens := float64(left) / float64(step)
	for _, r := range e.running {
		if r.promptLeft <= 0 {
			s.generate(r, tokens)
		}
	}
}

// read lets an engine read prompts for up to a time and returns what is left of it.
func (s *site) read(e *engine, budget time.Duration) time.Duration {
	perTick := s.x.Engines.ReadPerMS * budget.Seconds() * 1000
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

// generate makes tokens of a request; each event holds some of them.
func (s *site) generate(r *request, tokens float64) {
	perEvent := float64(s.x.Engines.EventTokens)
	before := int((r.tokensLeft + perEvent - 1) / perEvent)
	r.tokensLeft -= tokens
	after := int((max(0, r.tokensLeft) + perEvent - 1) / perEvent)
	if after == before {
		return
	}
	if r.first == 0 {
		r.first = s.now
	} else {
		r.worst = max(r.worst, s.now-r.last)
	}
	r.last = s.now
	r.done = r.tokensLeft <= 0
}

// load carries on an engine's command: models make way once their requests have ended, then the load begins.
func (s *site) load(e *engine) {
	switch {
	case e.command == nil:
	case !e.loading && e.command.Load != "":
		if s.inUse(e, e.command.Unload) {
			return
		}
		for _, m := range e.command.Unload {
			delete(e.holds, m)
		}
		s.beginLoad(e)
	case e.loading && s.now >= e.loadEnds:
		e.holds[e.command.Load] = true
		s.keepCopies(e, e.command.Load)
		e.command, e.loading, e.fromStore = nil, false, false
	}
}

func (s *site) inUse(e *engine, models []string) bool {
	uses := func(r *request) bool { return slices.Contains(models, r.model) }
	return slices.ContainsFunc(e.running, uses) || slices.ContainsFunc(e.queued, uses)
}

// loadTime is how long a load from a source takes at full speed; all models are alike.
func (s *site) loadTime(source placement.Source) time.Duration {
	return source.LoadTime(s.config.EngineClass(service).Models[modelName(0)])
}

func (s *site) beginLoad(e *engine) {
	source := placement.FromStore
	switch {
	case slices.Contains(e.memory, e.command.Load):
		source = placement.FromMemory
	case slices.Contains(e.disk, e.command.Load):
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
		duration = time.Duration(float64(duration) * max(1, float64(active)/float64(s.x.Weights.FullSpeed)))
	}
	e.loadEnds = s.now + duration
}

// look describes an engine as its agent would.
func (s *site) look(e *engine) fleet.Engine {
	state := fleet.EngineState{
		EndpointID: e.id, Models: make(map[string]map[string]bool), Unloading: make(map[string]bool), InMemory: nameset.Of(e.memory), OnDisk: nameset.Of(e.disk),
		Running: len(e.running), Queued: len(e.queued), Command: e.seen.Command,
	}
	for m := range e.holds {
		state.Models[m] = nil
	}
	if e.command != nil {
		state.Busy, state.Loading, state.Unloading, state.Command = true, e.command.Load, nameset.Of(e.command.Unload), e.command.Id
	}
	return fleet.Engine{ID: e.id, Reported: true, EngineState: state}
}

// demandNow describes what requests ask for as the gateways would.
func (s *site) demandNow() *controlpb.Demand {
	models := make(map[string]*controlpb.ModelDemand)
	for name, count := range s.arrived {
		models[name] = &controlpb.ModelDemand{Service: service, Model: name, Arrived: count, TargetMs: s.targets[name].Milliseconds()}
	}
	of := func(r *request) *controlpb.ModelDemand { return models[r.model] }
	for _, r := range s.waiting {
		d := of(r)
		d.Waiting++
		d.OldestWaitMs = max(d.OldestWaitMs, (s.now - r.at).Milliseconds())
	}
	for _, e := range s.engines {
		for _, r := range slices.Concat(e.running, e.queued) {
			of(r).Running++
		}
	}
	demand := &controlpb.Demand{}
	for _, d := range models {
		demand.Models = append(demand.Models, d)
	}
	return demand
}

// Config implements placement.Site.
func (s *site) Config() *catalog.Config { return s.config }

// Engines implements placement.Site.
func (s *site) Engines(string, time.Time) []fleet.Engine {
	list := make([]fleet.Engine, len(s.engines))
	for i, e := range s.engines {
		list[i] = e.seen
	}
	return list
}

// Coordinates implements placement.Gateways.
func (s *site) Coordinates(time.Time) bool { return true }

// Demand implements placement.Gateways.
func (s *site) Demand(time.Time) map[string]*controlpb.Demand {
	return map[string]*controlpb.Demand{gatewayName: s.current}
}

// Waiting implements placement.Gateways.
func (s *site) Waiting() <-chan struct{} { return nil }

// Command implements placement.Commander.
func (s *site) Command(c *controlpb.Command) {
	for _, e := range s.engines {
		if e.id == c.EndpointId && e.command == nil {
			e.command = c
		}
	}
}
