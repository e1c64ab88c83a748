// Package placement decides which models the engines of a service hold: what is loaded for requests that wait, how many
// replicas a busy model has, and what is fetched ahead. Decide is a pure function of a snapshot.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamsail/internal/catalog"
)

const (
	// batchShare is the part of an engine's batch that a busy model should fill before it gets another replica. Pauses
	// between tokens grow little with the batch, but each new prompt delays all streams of its engine, so the prompts of a
	// busy model are spread.
	batchShare = 0.2
	// storeShare is that part where only the weight store has another copy: a load from there keeps an engine from all other
	// orders for as long as some four loads from disk take.
	storeShare = 0.5
	// fullShare is the part of its replicas' batches from which a model counts as overloaded: new requests are held back there,
	// and their first events come late.
	fullShare = 0.75
	// spareRate is the rate of requests, in 1/s, from which a model has a second replica: if its only engine crashes, that
	// many wait for a load.
	spareRate = 1.5
	// busyRate is the rate, in 1/s, above which a model's replicas are not taken away for a model that is asked for less.
	busyRate = 0.5
	// maxGrowth bounds the growth that is expected of a rising model.
	maxGrowth = 1.5
	// decisionTime is what passes between a request's arrival and the begin of a load for it.
	decisionTime = 200 * time.Millisecond
	// keptFree is the part of the engines that is left without an order when room is filled.
	keptFree = 0.5
	// keptForUrgent is how many of the store's loads at once are left to models that requests need now, and keptFrom the
	// limit from which.
	keptForUrgent = 1
	keptFrom      = 3
)

// Source is where the weights of a load come from.
type Source int

// The sources, the fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// LoadTime is how long a model takes from the source.
func (s Source) LoadTime(m catalog.Model) time.Duration {
	return [...]time.Duration{m.MemoryTime, m.DiskTime, m.LoadTime}[s]
}

// Engine is an engine as its agent told last.
type Engine struct {
	ID string
	// Free engines can take a command now.
	Free  bool
	Holds map[string]bool
	// Running is how many requests it runs or queues.
	Running int
	// Loading is the model that a command brings, Unloading those that it takes away, and Remaining the expected time to its
	// end.
	Loading   string
	Unloading map[string]bool
	Remaining time.Duration
	// InMemory and OnDisk are the models of which the host keeps copies.
	InMemory, OnDisk map[string]bool
}

// Demand is what all gateways' requests ask of a model.
type Demand struct {
	// Waiting requests have no engine; OldestWait is the age of the oldest.
	Waiting    int
	OldestWait time.Duration
	// Running requests are at engines.
	Running int
	// Rate is the rate of requests of the last seconds, and LongRate that of the last half minute, in 1/s.
	Rate, LongRate float64
	// Peak is the most requests that ran or waited in the last seconds. Replicas are kept for it: a load that has just been
	// paid for should not make way when the load that it took over has gone down.
	Peak int
	// Target is the tightest target for a first event among the requests; 0 where none was declared.
	Target time.Duration
	// LastArrival is when the last request came.
	LastArrival time.Time
}

// Input is a snapshot of one service.
type Input struct {
	Class   *catalog.EngineClass
	Engines []Engine
	Demand  map[string]Demand
	// StoreLoads is how many more loads from the weight store may begin.
	StoreLoads int
	// StoreLimit is how many run at full speed at once, as far as is known.
	StoreLimit int
}

// Command is a change of one engine's models.
type Command struct {
	Engine string
	Unload []string
	Load   string
	Source Source
	// Reason says what the load is for.
	Reason string
}

// plan is a decision in the making.
type plan struct {
	Input
	free map[string]*Engine
	// replicas counts those that are there or are being loaded, ready only those that serve now.
	replicas, ready map[string]int
	// total is how many requests run or wait, over all models.
	total    int
	commands []Command
}

// Decide returns the commands to give now, at most one an engine.
func Decide(in Input) []Command {
	p := &plan{Input: in, free: make(map[string]*Engine), replicas: make(map[string]int), ready: make(map[string]int)}
	for _, d := range in.Demand {
		p.total += d.Running + d.Waiting
	}
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Free {
			p.free[e.ID] = e
		}
		for m := range e.Holds {
			if !e.Unloading[m] {
				p.replicas[m]++
				p.ready[m]++
			}
		}
		if e.Loading != "" && !e.Holds[e.Loading] {
			p.replicas[e.Loading]++
		}
	}
	p.relieve()
	p.serveWaiting()
	p.addReplicas()
	p.fillRoom()
	p.fetchAhead()
	return p.commands
}

// wanted is how many replicas a model should have for its demand, if each fills a share of an engine's batch.
func (p *plan) wanted(model string, share float64) int {
	d := p.Demand[model]
	n := 0
	if d.Waiting > 0 || d.Running > 0 {
		n = 1
	}
	if d.Rate >= spareRate {
		n = 2
	}
	perReplica := max(1, share*float64(p.Class.Batch))
	return min(len(p.Engines), max(n, int(math.Ceil(float64(max(d.Peak, p.expected(d)))/perReplica))))
}

// expected is how many requests for a model will run a few seconds from now.
//
// Demand moves from one busy model to the next within some five seconds, as long as a load from the store takes. Replicas that
// are loaded for what runs now are there when several times as much runs, and one engine has carried all of it until then. A
// model whose short rate is above its long one is rising; it can't take over more than all that runs.
func (p *plan) expected(d Demand) int {
	now := d.Running + d.Waiting
	if d.Rate < spareRate || d.LongRate <= 0 {
		return now
	}
	growth := min(max(d.Rate/d.LongRate, 1), maxGrowth)
	return max(now, min(int(float64(now)*growth), p.total))
}

// lateness is the longest wait of a model's requests in relation to their target.
func (d Demand) lateness() float64 {
	return d.OldestWait.Seconds() / max(d.Target.Seconds(), 0.1)
}

// relieve gives each model whose requests fill the batches of its replicas one more, before models that requests wait for: a load
// for a rare model serves one or two requests, a replica of an overloaded one all that come for it.
func (p *plan) relieve() {
	excess := func(m string) float64 {
		d := p.Demand[m]
		return float64(d.Running+d.Waiting) - fullShare*float64(p.Class.Batch*p.replicas[m])
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] > 0 && excess(m) > 0 }, func(a, b string) int {
		return cmp.Compare(excess(b), excess(a))
	}) {
		p.load(m, "overloaded", FromStore, false)
	}
}

// serveWaiting loads models that requests wait for, those first that are latest by their target.
func (p *plan) serveWaiting() {
	for _, m := range p.models(func(m string) bool { return p.Demand[m].Waiting > 0 && p.replicas[m] == 0 }, func(a, b string) int {
		return cmp.Compare(p.Demand[b].lateness(), p.Demand[a].lateness())
	}) {
		p.load(m, "requests wait", FromStore, true)
	}
}

// addReplicas gives busy models more replicas, the one that lacks most first.
func (p *plan) addReplicas() {
	lacking := func(m string, share float64) int { return p.wanted(m, share) - p.replicas[m] }
	for _, m := range p.models(func(m string) bool { return lacking(m, batchShare) > 0 && p.wanted(m, batchShare) > 1 }, func(a, b string) int {
		return cmp.Compare(lacking(b, batchShare), lacking(a, batchShare))
	}) {
		for range lacking(m, batchShare) {
			slowest := FromDisk
			if lacking(m, storeShare) > 0 {
				slowest = FromStore
			}
			if !p.load(m, "busy", slowest, false) {
				break
			}
		}
	}
}

// fillRoom uses memory that nothing takes: a copy beside the engine is loaded in about a second. Most engines stay free for
// models that requests wait for: after a loss of power all engines were given models that nobody had asked for yet, and the
// requests of the next second waited for these loads.
func (p *plan) fillRoom() {
	order := func(a, b string) int {
		return cmp.Or(cmp.Compare(p.interactive(b), p.interactive(a)), p.likelier(a, b))
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] == 0 }, order) {
		for _, e := range p.freeEngines() {
			if float64(len(p.free)) <= keptFree*float64(len(p.Engines)) {
				return
			}
			if p.room(e) >= p.Class.Models[m].SizeMB && e.SourceOf(m) != FromStore {
				p.give(e, m, nil, "room")
				break
			}
		}
	}
}

// fetchAhead brings models of which no host has a copy, so that they can be loaded from one in time when they are asked for.
func (p *plan) fetchAhead() {
	kept := 0
	if p.StoreLimit >= keptFrom && p.total > 0 {
		kept = keptForUrgent
	}
	if p.StoreLoads <= kept {
		return
	}
	known := make(map[string]bool)
	for i := range p.Engines {
		for m := range p.Engines[i].InMemory {
			known[m] = true
		}
		for m := range p.Engines[i].OnDisk {
			known[m] = true
		}
	}
	order := func(a, b string) int {
		return cmp.Or(cmp.Compare(p.interactive(b), p.interactive(a)), p.likelier(a, b))
	}
	for _, m := range p.models(func(m string) bool { return p.replicas[m] == 0 && !known[m] }, order) {
		if p.StoreLoads <= kept || !p.load(m, "fetch ahead", FromStore, false) {
			return
		}
	}
}

// likelier orders models by how soon they will be asked for.
func (p *plan) likelier(a, b string) int {
	da, db := p.Demand[a], p.Demand[b]
	return cmp.Or(cmp.Compare(db.LongRate, da.LongRate), db.LastArrival.Compare(da.LastArrival), cmp.Compare(a, b))
}

// models returns the service's models that a condition holds for, in an order.
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

func (p *plan) freeEngines() []*Engine {
	var list []*Engine
	for i := range p.Engines {
		if e := &p.Engines[i]; p.free[e.ID] != nil {
			list = append(list, e)
		}
	}
	return list
}

// load gives the best free engine the command to load a model from a source up to the slowest, and reports whether there was
// one.
func (p *plan) load(model, reason string, slowest Source, urgent bool) bool {
	var best *Engine
	var bestUnload []string
	bestCost := math.Inf(1)
	for _, e := range p.freeEngines() {
		source := e.SourceOf(model)
		if e.Holds[model] || source > slowest || source == FromStore && p.StoreLoads <= 0 {
			continue
		}
		unload, loss, ok := p.makeRoom(e, model, urgent)
		if !ok {
			continue
		}
		if cost := p.loadTime(model, source).Seconds() + loss + p.stranded(e, source); cost < bestCost {
			best, bestUnload, bestCost = e, unload, cost
		}
	}
	if best == nil || best.SourceOf(model) == FromStore && p.soonElsewhere(model) {
		return false
	}
	p.give(best, model, bestUnload, reason)
	return true
}

// soonElsewhere reports whether an engine that is busy now holds a copy of a model and can load it before a load from the
// weight store would end.
func (p *plan) soonElsewhere(model string) bool {
	for i := range p.Engines {
		e := &p.Engines[i]
		source := e.SourceOf(model)
		if !e.Free && !e.Holds[model] && e.Loading != model && source != FromStore && e.Remaining+p.loadTime(model, source) < p.loadTime(model, FromStore) {
			return true
		}
	}
	return false
}

// stranded is the loss, in seconds, of an engine's copies being out of reach while it loads from the weight store: it does one
// order at a time.
func (p *plan) stranded(e *Engine, source Source) float64 {
	if source != FromStore {
		return 0
	}
	const perCopy, perBusyModel = 0.05, 2.0
	loss := perCopy * float64(len(e.OnDisk))
	for m := range e.Holds {
		// Requests for its adapters wait as well.
		if p.Class.Models[m].Adapters > 0 && p.Demand[m].Rate > 0 {
			loss += perBusyModel
		}
	}
	return loss
}

func (p *plan) give(e *Engine, model string, unload []string, reason string) {
	source := e.SourceOf(model)
	if source == FromStore {
		p.StoreLoads--
	}
	p.commands = append(p.commands, Command{Engine: e.ID, Unload: unload, Load: model, Source: source, Reason: reason})
	p.replicas[model]++
	for _, m := range unload {
		p.replicas[m]--
		p.ready[m]--
	}
	delete(p.free, e.ID)
}

// SourceOf is where the engine would load a model from.
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
