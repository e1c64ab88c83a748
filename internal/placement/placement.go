// Package placement decides which models the engines of a service hold: it loads models that requests wait for, scales
// the replicas of busy models, and prefetches weights. Decide is a pure function of a snapshot.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"balsamsail/internal/catalog"
)

const (
	// scaleOutShare is the fraction of an engine's batch above which a busy model gets another replica. The pause
	// between tokens grows little with the batch size, but each new prompt delays all streams of its engine, so the
	// prompts of a busy model are spread over several engines.
	scaleOutShare = 0.2
	// storeScaleOutShare replaces scaleOutShare where another copy exists only in the weight store: a load from there
	// blocks the engine for as long as about four loads from disk.
	storeScaleOutShare = 0.5
	// overloadShare is the fraction of its replicas' batches above which a model counts as overloaded: gateways hold
	// new requests back from there on, so their first events are late.
	overloadShare = 0.75
	// redundancyRate is the request rate, in 1/s, from which a model gets a second replica: if its only engine crashes,
	// that many requests per second wait for a load.
	redundancyRate = 1.5
	// protectedRate is the request rate, in 1/s, from which a model's replicas are evicted only if there is no cheaper
	// eviction.
	protectedRate = 0.5
	// maxGrowth limits the growth factor in the demand forecast of a model with a rising request rate.
	maxGrowth = 1.5
	// decisionLatency is the time between a request's arrival and the start of a load for it.
	decisionLatency = 200 * time.Millisecond
	// idleEngineShare is the fraction of the engines that fillFreeMemory leaves free.
	idleEngineShare = 0.5
	// reservedStoreLoads is the number of concurrent store loads that prefetching leaves for models with waiting
	// requests. It applies from a StoreLimit of reserveMinLimit.
	reservedStoreLoads = 1
	reserveMinLimit    = 3
	// otherVersionCost is the cost, in seconds, of a replica at a software version that does not serve the model yet: where one of
	// two replicas ends, its streams can go on at the other only if both have the same version.
	otherVersionCost = 0.5
)

// Source is the place from which a model's weights are loaded.
type Source int

// The sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// LoadTime returns the time to load the model from the source.
func (s Source) LoadTime(m catalog.Model) time.Duration {
	return [...]time.Duration{m.MemoryTime, m.DiskTime, m.StoreLoadTime}[s]
}

// Engine is the state of an engine as last reported by its agent.
type Engine struct {
	ID string
	// Version is the version of the engine's software.
	Version string
	// Started is the start of the engine's process in Unix milliseconds; 0 if it is not known.
	Started int64
	// Free is set if the engine accepts a command now.
	Free   bool
	Loaded map[string]bool
	// Running is the number of running and queued requests.
	Running int
	// Loading is the model that the current command loads, Unloading the models that it unloads, and Remaining the
	// expected time until it completes.
	Loading   string
	Unloading map[string]bool
	Remaining time.Duration
	// InMemory and OnDisk are the models whose weights the host caches.
	InMemory, OnDisk map[string]bool
	// Limited is set while the engine names a limit, and RateLimit the requests per second that it takes then.
	Limited   bool
	RateLimit float64
}

// takes reports whether the engine takes a model's requests at the rate at which they come.
func (e *Engine) takes(d Demand) bool { return !e.Limited || d.Rate <= e.RateLimit }

// Demand is the demand for a model, summed over all gateways.
type Demand struct {
	// Waiting is the number of requests without an engine, and OldestWait the age of the oldest one.
	Waiting    int
	OldestWait time.Duration
	// WaitingAt counts those of them that only engines of one software version may serve, by version.
	WaitingAt map[string]int
	// Running is the number of requests at engines.
	Running int
	// Rate and LongRate are request rates in 1/s, averaged over the last seconds and over the last half minute.
	Rate, LongRate float64
	// Peak is the decaying maximum of running and waiting requests over the last seconds. Replica counts follow it, so
	// that a replica that was just loaded is not evicted as soon as it has relieved the others.
	Peak int
	// Target is the shortest first-event target among the requests, or 0 if none has one.
	Target time.Duration
	// LastArrival is the arrival time of the latest request.
	LastArrival time.Time
}

// Input is a snapshot of one service.
type Input struct {
	Class   *catalog.EngineClass
	Engines []Engine
	Demand  map[string]Demand
	// StoreLoads is the number of loads from the weight store that may start now.
	StoreLoads int
	// StoreLimit is the estimated number of concurrent loads that the weight store serves at full speed.
	StoreLimit int
}

// processStart returns the start of an engine's process; 0 if it is not known.
func (in Input) processStart(engine string) int64 {
	for i := range in.Engines {
		if in.Engines[i].ID == engine {
			return in.Engines[i].Started
		}
	}
	return 0
}

// Command changes the models of one engine.
type Command struct {
	Engine string
	Unload []string
	Load   string
	Source Source
	// Reason is the purpose of the load, for logs and metrics.
	Reason string
}

// plan is a decision in progress.
type plan struct {
	Input
	candidates []*candidate
	// freeCount is the number of free candidates.
	freeCount int
	// replicas counts the replicas per model, including those being loaded; ready counts only those that serve now.
	replicas, ready map[string]int
	// overLimit are the models with a replica that does not count, because its engine takes fewer requests than come.
	overLimit map[string]bool
	// holders lists the candidates that have a model loaded, and copies those whose host has a copy of a model with demand.
	holders, copies map[string][]*candidate
	// adapterMemory is the memory, in MB, that is reserved on each engine for adapters.
	adapterMemory float64
	// total is the number of running and waiting requests over all models.
	total    int
	commands []Command
}

// candidate is an engine in a decision, with what the decision has derived about it.
type candidate struct {
	*Engine
	// free is set while the engine can still get a command in this decision.
	free bool
	// freeMemory is the memory, in MB, that no model or adapter reservation uses.
	freeMemory float64
	// evictions are the loaded models, cheapest to evict first; nil until they are needed, and after a change of their costs.
	evictions []eviction
}

// Decide returns the commands to send now, at most one per engine.
//
// Its time grows with the number of engines plus, for each model that needs a load, the number of engines with a copy of
// it; a load from the weight store considers all free engines, but few of those start at a time.
func Decide(in Input) []Command {
	p := newPlan(in)
	p.scaleOutOverloaded()
	p.loadForStreams()
	p.loadForWaiting()
	p.scaleOutBusy()
	p.fillFreeMemory()
	p.prefetch()
	return p.commands
}

func newPlan(in Input) *plan {
	p := &plan{
		Input:      in,
		candidates: make([]*candidate, len(in.Engines)),
		replicas:   make(map[string]int),
		ready:      make(map[string]int),
		overLimit:  make(map[string]bool),
		holders:    make(map[string][]*candidate),
		copies:     make(map[string][]*candidate),
	}
	for _, m := range in.Class.Models {
		p.adapterMemory = max(p.adapterMemory, m.AdapterMB*float64(in.Class.MaxAdapters))
	}
	for _, d := range in.Demand {
		p.total += d.Running + d.Waiting
	}
	for i := range in.Engines {
		p.candidates[i] = p.newCandidate(&in.Engines[i])
	}
	return p
}

func (p *plan) newCandidate(e *Engine) *candidate {
	c := &candidate{Engine: e, free: e.Free, freeMemory: p.Class.MemoryMB - p.adapterMemory}
	if c.free {
		p.freeCount++
	}
	for m := range e.Loaded {
		c.freeMemory -= p.Class.Models[m].SizeMB
		p.holders[m] = append(p.holders[m], c)
		switch {
		case e.Unloading[m]:
		case e.takes(p.Demand[m]):
			p.replicas[m]++
			p.ready[m]++
		default:
			p.overLimit[m] = true
		}
	}
	if e.Loading != "" && !e.Loaded[e.Loading] {
		p.replicas[e.Loading]++
	}
	for m := range e.InMemory {
		p.addCopy(c, m)
	}
	for m := range e.OnDisk {
		if !e.InMemory[m] {
			p.addCopy(c, m)
		}
	}
	return c
}

// addCopy records a host's copy of a model if there is demand for the model.
func (p *plan) addCopy(c *candidate, model string) {
	if p.Demand[model].active() {
		p.copies[model] = append(p.copies[model], c)
	}
}

// active reports whether there are requests for the model now, or were within the last seconds.
func (d Demand) active() bool {
	return d.Waiting > 0 || d.Running > 0 || d.Peak > 0 || d.Rate >= redundancyRate
}

// targetReplicas returns the number of replicas that a model needs for its demand, if each one is to fill the given
// fraction of an engine's batch.
func (p *plan) targetReplicas(model string, share float64) int {
	d := p.Demand[model]
	n := 0
	if d.Waiting > 0 || d.Running > 0 {
		n = 1
	}
	if d.Rate >= redundancyRate {
		n = 2
	}
	perReplica := max(1, share*float64(p.Class.Batch))
	return min(len(p.Engines), max(n, int(math.Ceil(float64(max(d.Peak, p.forecast(d)))/perReplica))))
}

// forecast returns the number of requests for a model that are expected to run a few seconds from now.
//
// Demand moves from one busy model to the next within about 5 s, the duration of a load from the weight store. Replicas
// loaded for the current demand would become ready when it is already several times as high, and one engine would carry
// all of it until then. A model whose short-term rate exceeds its long-term rate is rising; the forecast is limited to
// the total of all running requests.
func (p *plan) forecast(d Demand) int {
	now := d.Running + d.Waiting
	if d.Rate < redundancyRate || d.LongRate <= 0 {
		return now
	}
	growth := min(max(d.Rate/d.LongRate, 1), maxGrowth)
	return max(now, min(int(float64(now)*growth), p.total))
}

// urgency returns the longest wait of a model's requests relative to their target.
func (d Demand) urgency() float64 {
	return d.OldestWait.Seconds() / max(d.Target.Seconds(), 0.1)
}

// scaleOutOverloaded adds one replica to each model whose requests fill the batches of its replicas. It goes before
// loadForWaiting: a load for a rare model serves one or two requests, a replica of an overloaded model serves all its
// new requests.
func (p *plan) scaleOutOverloaded() {
	excess := func(m string) float64 {
		d := p.Demand[m]
		return float64(d.Running+d.Waiting) - overloadShare*float64(p.Class.Batch*p.replicas[m])
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] > 0 && excess(m) > 0 }, func(a, b string) int {
		return cmp.Compare(excess(b), excess(a))
	}) {
		p.load(m, "overloaded", FromStore, noneInUse)
	}
}

// loadForStreams loads models for streams that may go on at one software version only, where no engine of that version has or
// loads the model. While the model serves elsewhere, it loads it from a copy only, as the clients would not wait longer, and evicts
// models in use only if fewer requests run of them than streams wait.
func (p *plan) loadForStreams() {
	for _, m := range p.models(func(m string) bool { return len(p.Demand[m].WaitingAt) > 0 }, func(a, b string) int {
		return cmp.Compare(p.Demand[b].urgency(), p.Demand[a].urgency())
	}) {
		for _, version := range slices.Sorted(maps.Keys(p.Demand[m].WaitingAt)) {
			if p.heldAt(m, version) {
				continue
			}
			if p.replicas[m] == 0 {
				p.loadAt(m, version, "streams go on", FromStore, anyInUse)
				continue
			}
			p.loadAt(m, version, "streams go on", FromDisk, useLimit(p.Demand[m].WaitingAt[version]))
		}
	}
}

// heldAt reports whether an engine of a software version has a model, or loads it.
func (p *plan) heldAt(model, version string) bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool {
		return c.Version == version && (c.Loaded[model] && !c.Unloading[model] || c.Loading == model)
	})
}

// loadForWaiting loads models that requests wait for, in order of urgency.
func (p *plan) loadForWaiting() {
	for _, m := range p.models(func(m string) bool { return p.Demand[m].Waiting > 0 && p.replicas[m] == 0 }, func(a, b string) int {
		return cmp.Compare(p.Demand[b].urgency(), p.Demand[a].urgency())
	}) {
		p.load(m, "requests wait", FromStore, anyInUse)
	}
}

// scaleOutBusy adds replicas to busy models, starting with the model that lacks most.
func (p *plan) scaleOutBusy() {
	missing := func(m string, share float64) int { return p.targetReplicas(m, share) - p.replicas[m] }
	lacks := func(m string) bool {
		return missing(m, scaleOutShare) > 0 && (p.overLimit[m] || p.targetReplicas(m, scaleOutShare) > 1)
	}
	for _, m := range p.models(lacks, func(a, b string) int {
		return cmp.Compare(missing(b, scaleOutShare), missing(a, scaleOutShare))
	}) {
		for range missing(m, scaleOutShare) {
			slowest := FromDisk
			if missing(m, storeScaleOutShare) > 0 {
				slowest = FromStore
			}
			if !p.load(m, "busy", slowest, noneInUse) {
				break
			}
		}
	}
}

// fillFreeMemory loads models into unused engine memory from copies on the host, which takes about a second. It keeps
// idleEngineShare of the engines free for models that requests wait for: after a power failure, loading models without
// demand on all engines delayed the requests of the next second.
func (p *plan) fillFreeMemory() {
	spare := p.withSpareMemory()
	if len(spare) == 0 {
		return
	}
	copied := make(map[string]bool)
	for _, c := range spare {
		c.addCopiesTo(copied)
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] == 0 && copied[m] }, p.compareValue) {
		for _, c := range spare {
			if float64(p.freeCount) <= idleEngineShare*float64(len(p.Engines)) {
				return
			}
			if c.free && !c.Limited && c.freeMemory >= p.Class.Models[m].SizeMB && c.SourceOf(m) != FromStore {
				p.issue(c, m, nil, "room")
				break
			}
		}
	}
}

// withSpareMemory returns the free engines that have memory for at least the smallest model.
func (p *plan) withSpareMemory() []*candidate {
	smallest := math.Inf(1)
	for _, m := range p.Class.Models {
		smallest = min(smallest, m.SizeMB)
	}
	var list []*candidate
	for _, c := range p.candidates {
		if c.free && c.freeMemory >= smallest {
			list = append(list, c)
		}
	}
	return list
}

// compareValue orders models by how much it is worth to have a replica or a copy of them before requests arrive.
func (p *plan) compareValue(a, b string) int {
	return cmp.Or(cmp.Compare(p.latencyRank(b), p.latencyRank(a)), p.compareLikelihood(a, b))
}

// prefetch loads models that no host has a copy of, so that a later request can be served from a local copy in time.
func (p *plan) prefetch() {
	reserved := 0
	if p.StoreLimit >= reserveMinLimit && p.total > 0 {
		reserved = reservedStoreLoads
	}
	if p.StoreLoads <= reserved {
		return
	}
	copied := make(map[string]bool)
	for i := range p.Engines {
		p.Engines[i].addCopiesTo(copied)
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] == 0 && !copied[m] }, p.compareValue) {
		if p.StoreLoads <= reserved || !p.load(m, "fetch ahead", FromStore, noneInUse) {
			return
		}
	}
}

// compareLikelihood orders models by how soon requests for them are expected, soonest first.
func (p *plan) compareLikelihood(a, b string) int {
	da, db := p.Demand[a], p.Demand[b]
	return cmp.Or(cmp.Compare(db.LongRate, da.LongRate), db.LastArrival.Compare(da.LastArrival), cmp.Compare(a, b))
}

// models returns the service's models that satisfy the condition, sorted by order.
func (p *plan) models(condition func(string) bool, order func(a, b string) int) []string {
	var list []string
	for m := range p.Class.Models {
		if condition(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(order(a, b), cmp.Compare(a, b)) })
	return list
}

// load adds a command that loads a model on the best free engine, from a source no slower than the given one. It evicts replicas in
// use as far as the limit allows. It reports whether an engine was found.
func (p *plan) load(model, reason string, slowest Source, limit useLimit) bool {
	return p.loadAt(model, "", reason, slowest, limit)
}

// loadAt is load on the engines of one software version; an empty version allows all.
func (p *plan) loadAt(model, version, reason string, slowest Source, limit useLimit) bool {
	best := p.bestEngine(p.copies[model], model, version, slowest, limit)
	if slowest == FromStore && p.StoreLoads > 0 && (best.engine == nil || best.cost > p.loadTime(model, FromStore).Seconds()) {
		// Hosts without a copy are considered only here: they are most of the engines.
		best = p.bestEngine(p.candidates, model, version, slowest, limit)
	}
	if best.engine == nil || best.engine.SourceOf(model) == FromStore && p.copyAvailableSooner(model, version) {
		return false
	}
	p.issue(best.engine, model, best.unload, reason)
	return true
}

// choice is the engine for a load, the models to unload there first, and the cost in seconds.
type choice struct {
	engine *candidate
	unload []string
	cost   float64
}

// bestEngine returns the cheapest free engine of a list for a load; its engine is nil if there is none.
func (p *plan) bestEngine(list []*candidate, model, version string, slowest Source, limit useLimit) choice {
	best := choice{cost: math.Inf(1)}
	versions := p.versionsOf(model)
	for _, c := range list {
		source := c.SourceOf(model)
		if version != "" && c.Version != version {
			continue
		}
		if !c.free || c.Loaded[model] || source > slowest || source == FromStore && p.StoreLoads <= 0 {
			continue
		}
		if c.Limited && !(limit > noneInUse && c.takes(p.Demand[model]) && c.RateLimit > 0) {
			continue
		}
		unload, evictCost, ok := p.chooseEvictions(c, model, limit)
		if !ok {
			continue
		}
		cost := p.loadTime(model, source).Seconds() + evictCost + p.blockingCost(c.Engine, source) + c.turnTime()
		if len(versions) > 0 && !versions[c.Version] {
			cost += otherVersionCost
		}
		if cost < best.cost {
			best = choice{engine: c, unload: unload, cost: cost}
		}
	}
	return best
}

// versionsOf returns the software versions of the engines that have a model.
func (p *plan) versionsOf(model string) map[string]bool {
	versions := make(map[string]bool)
	for _, c := range p.holders[model] {
		versions[c.Version] = true
	}
	return versions
}

// copyAvailableSooner reports whether an engine that is busy now has a copy of the model and can load it before a load
// from the weight store would complete.
func (p *plan) copyAvailableSooner(model, version string) bool {
	for i := range p.Engines {
		e := &p.Engines[i]
		source := e.SourceOf(model)
		if (version == "" || e.Version == version) && !e.Free && !e.Loaded[model] && e.Loading != model && source != FromStore && e.Remaining+p.loadTime(model, source) < p.loadTime(model, FromStore) {
			return true
		}
	}
	return false
}

// turnTime returns the time, in seconds, that a request waits for its turn at an engine that names a limit.
func (e *Engine) turnTime() float64 {
	if !e.Limited {
		return 0
	}
	return 1 / e.RateLimit
}

// blockingCost returns the cost, in seconds, of blocking an engine with a load from the weight store: an engine
// executes one command at a time, so its local copies can't be loaded meanwhile.
func (p *plan) blockingCost(e *Engine, source Source) float64 {
	if source != FromStore {
		return 0
	}
	const perCopy, perActiveModel = 0.05, 2.0
	cost := perCopy * float64(len(e.OnDisk))
	for m := range e.Loaded {
		// The load also delays requests for adapters of the model.
		if p.Class.Models[m].Adapters > 0 && p.Demand[m].Rate > 0 {
			cost += perActiveModel
		}
	}
	return cost
}

// issue adds a command to the plan. Its engine is not free for another one.
func (p *plan) issue(c *candidate, model string, unload []string, reason string) {
	source := c.SourceOf(model)
	if source == FromStore {
		p.StoreLoads--
	}
	p.commands = append(p.commands, Command{Engine: c.ID, Unload: unload, Load: model, Source: source, Reason: reason})
	p.replicas[model]++
	for _, m := range unload {
		if c.takes(p.Demand[m]) {
			p.replicas[m]--
			p.ready[m]--
		}
		for _, holder := range p.holders[m] {
			holder.evictions = nil
		}
	}
	c.free = false
	p.freeCount--
}

// addCopiesTo adds the models whose weights the engine's host caches to a set.
func (e *Engine) addCopiesTo(set map[string]bool) {
	for m := range e.InMemory {
		set[m] = true
	}
	for m := range e.OnDisk {
		set[m] = true
	}
}

// SourceOf returns the source from which the engine would load a model.
func (e *Engine) SourceOf(model string) Source {
	switch {
	case e.InMemory[model]:
		return FromMemory
	case e.OnDisk[model]:
		return FromDisk
	}
	return FromStore
}

func (p *plan) loadTime(model string, source Source) time.Duration {
	return source.LoadTime(p.Class.Models[model])
}
