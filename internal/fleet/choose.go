package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

// Target is what a request asks for at a service. Model is empty at a plain service.
type Target struct {
	Service string
	Model   string
}

// Want describes a request that looks for an endpoint.
type Want struct {
	Target
	// Adapter of the model; empty for none.
	Adapter string
	// PromptTokens is the length of the prompt, and Paced the time until which the request is held back from engines that
	// have prompts to read.
	PromptTokens int
	Paced        time.Time
	// Repeatable requests may be sent again, so that one may find out whether a silent endpoint speaks again.
	Repeatable bool
	// Tried lists the endpoints that must not get the request again.
	Tried []string
}

func (w *Want) adapter() Adapter { return Adapter{Model: w.Model, Name: w.Adapter} }

// Prospect says what a request that got no endpoint may expect.
type Prospect int

// The prospects.
const (
	// NoEndpoints: no endpoint of the service is listed that takes work.
	NoEndpoints Prospect = iota
	// NotHeld: endpoints are there, but none holds the model now.
	NotHeld
	// AdapterMissing: an engine holds the model, and its agent was asked for the adapter.
	AdapterMissing
	// PromptsAhead: the engines that hold the model have prompts of this gateway to read first.
	PromptsAhead
	// AllTried: every endpoint that could take the request has had it.
	AllTried
)

// Choice is the endpoint for one attempt.
type Choice struct {
	ID, Address string
	// sent is shared by the copies of a choice.
	sent *sending
}

// sending is what one request at an endpoint adds to the endpoint's account.
type sending struct{ prompts int }

// Choose returns the endpoint for a request's next attempt and counts the request as sent there, until Done is called.
func (f *Fleet) Choose(now time.Time, w *Want) (Choice, Prospect, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates, prospect := f.candidates(now, w)
	if now.Before(w.Paced) {
		if candidates = f.unburdened(candidates, w); len(candidates) == 0 && prospect == AllTried {
			return Choice{}, PromptsAhead, false
		}
	}
	candidates = f.speaking(now, candidates, w)
	i, ok := f.router.Pick(now, candidates, w.Tried, wirepb.Class_INTERACTIVE)
	if !ok {
		return Choice{}, prospect, false
	}
	e := f.endpoints[candidates[i].Endpoint]
	if w.Adapter != "" && !candidates[i].HasAdapter {
		f.wantAdapter(e.ID, w.adapter())
		return Choice{}, AdapterMissing, false
	}
	e.sent++
	e.silence.sent(now)
	e.prompts += w.PromptTokens
	if w.Adapter != "" {
		e.adapters[w.adapter()]++
	}
	return Choice{ID: e.ID, Address: e.Address, sent: &sending{prompts: w.PromptTokens}}, prospect, true
}

// HasOther reports whether an endpoint that has not had a request could take it now.
func (f *Fleet) HasOther(now time.Time, w *Want) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates, _ := f.candidates(now, w)
	return slices.ContainsFunc(candidates, func(c routing.Candidate) bool {
		return c.HasAdapter && !slices.Contains(w.Tried, c.Endpoint)
	})
}

// candidates lists the endpoints that may take a request now. Where no engine holds the adapter, the list has just the one
// engine that should fetch it.
func (f *Fleet) candidates(now time.Time, w *Want) ([]routing.Candidate, Prospect) {
	prospect := NoEndpoints
	var list, bare []routing.Candidate
	for _, e := range f.endpoints {
		if e.Service != w.Service || e.Leaving {
			continue
		}
		prospect = max(prospect, NotHeld)
		if !e.answers(now) {
			continue
		}
		if w.Model != "" && (!e.holds(now, w.Model) || e.saysAbsent(now, Adapter{Model: w.Model})) {
			continue
		}
		prospect = max(prospect, AllTried)
		c := f.candidate(now, e, w)
		if c.HasAdapter {
			list = append(list, c)
		} else {
			bare = append(bare, c)
		}
	}
	if len(list) > 0 || len(bare) == 0 {
		return list, prospect
	}
	return adapterHome(f.notBusy(now, bare), w), prospect
}

// notBusy keeps the engines that take orders now, if there are any: one that loads a model refuses to fetch adapters for as
// long, which is 6 s where the model comes from the weight store.
func (f *Fleet) notBusy(now time.Time, list []routing.Candidate) []routing.Candidate {
	var free []routing.Candidate
	for _, c := range list {
		if e := f.endpoints[c.Endpoint]; !e.fresh(now) || !e.state.Busy && e.state.Loading == "" {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return list
	}
	return free
}

func (f *Fleet) candidate(now time.Time, e *endpoint, w *Want) routing.Candidate {
	c := routing.Candidate{
		Endpoint:      e.ID,
		FailureDomain: e.FailureDomain,
		State:         wirepb.ReplicaState_LOADED,
		HasAdapter:    e.holdsAdapter(now, w.adapter()) && !e.saysAbsent(now, w.adapter()),
		Sent:          e.sent,
		Running:       e.headerRun,
		ReportedAt:    e.headerAt,
		Reachable:     true,
	}
	if e.fresh(now) && e.stateAt.After(e.headerAt) {
		c.Running, c.Queued, c.ReportedAt = e.state.Running, e.state.Queued, e.stateAt
	}
	return c
}

// adapterHome keeps of the engines that hold a model the one that should hold one of its adapters: the same at all gateways,
// so that an adapter is fetched once, and spread by name over the engines, whose places for adapters are few.
func adapterHome(bare []routing.Candidate, w *Want) []routing.Candidate {
	best, bestScore := -1, uint64(0)
	for i := range bare {
		if slices.Contains(w.Tried, bare[i].Endpoint) {
			continue
		}
		if score := rendezvous(bare[i].Endpoint, w.Model, w.Adapter); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return bare[best : best+1]
}

func rendezvous(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// FNV's high bits differ little between short texts that end alike; the multiplication spreads them.
	sum := h.Sum64()
	sum ^= sum >> 32
	return sum * 0x9e3779b97f4a7c15
}

// Done ends what Choose began.
func (f *Fleet) Done(c Choice, w *Want) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[c.ID]
	if e == nil {
		return
	}
	e.sent--
	e.silence.done(e.sent)
	e.read(c)
	if w.Adapter != "" {
		release(e.adapters, w.adapter())
	}
}

// Prefilled notes that a request's first event has come: the engine has read its prompt.
func (f *Fleet) Prefilled(c Choice, w *Want) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[c.ID]; e != nil && w.Model != "" && c.sent.prompts > 0 {
		e.read(c)
		f.notify()
	}
}

// read takes a request's prompt out of the endpoint's account, once.
func (e *endpoint) read(c Choice) {
	e.prompts -= c.sent.prompts
	c.sent.prompts = 0
}

// promptShare is how many prompt tokens one gateway may have unread at an engine, unless it is a single prompt. An engine reads
// some 40 a millisecond between the steps of its streams, so that four gateways together delay a step by 150 ms at most; a pause
// is late from 250 ms on.
const promptShare = 1500

// crowdedShare is the part of an engine's batch from which it counts as crowded: with more streams each new prompt delays more
// of them, and the reports are up to a fifth of a second old.
const crowdedShare = 0.75

// unburdened keeps the candidates that have few prompts of this gateway to read.
//
// Prompts come in clumps, and an engine reads all that wait between two steps of its streams. Ten at once make a pause of
// 250 ms in every stream there; sent one after another to the replicas they delay none that much, and their own first events
// hardly.
func (f *Fleet) unburdened(candidates []routing.Candidate, w *Want) []routing.Candidate {
	if w.PromptTokens == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c routing.Candidate) bool {
		e := f.endpoints[c.Endpoint]
		crowded := e.Slots > 0 && float64(c.Running+c.Queued) >= crowdedShare*float64(e.Slots)
		return crowded || e.prompts > 0 && e.prompts+w.PromptTokens > promptShare
	})
}

func release[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Observe notes how an attempt went.
func (f *Fleet) Observe(now time.Time, o routing.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Observe(now, o)
}

// Absent notes that an endpoint refused a request because it does not hold the model or the adapter.
func (f *Fleet) Absent(now time.Time, id string, w *Want) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	until := now.Add(absenceMemory)
	if e.holdsAdapter(now, w.adapter()) && w.Adapter != "" {
		e.absent[w.adapter()] = until
		return
	}
	e.absent[Adapter{Model: w.Model}] = until
}

// Load notes the load that an endpoint told in an answer.
func (f *Fleet) Load(now time.Time, id string, running, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.headerRun, e.headerAt = running+queued, now
	}
}

const (
	// waitForDisk is the usual wait until a free engine that has a copy of a model begins to load it, and waitForBusy that of
	// an engine that carries out another order: half of a load from disk, and the wait for a free one.
	waitForDisk = 200 * time.Millisecond
	waitForBusy = 900 * time.Millisecond
	// waitForStore is that wait where no host has a copy.
	waitForStore = 500 * time.Millisecond
	// reportDelay is how much later than its end a load shows here.
	reportDelay = 100 * time.Millisecond
)

// ReadyIn estimates when an engine will hold a model that none holds now.
func (f *Fleet) ReadyIn(now time.Time, t Target) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	class := f.config.EngineClass(t.Service)
	if class == nil {
		return 0
	}
	model := class.Models[t.Model]
	estimate := model.LoadTime + waitForStore
	for _, e := range f.endpoints {
		if e.Service != t.Service || e.Leaving || !e.answers(now) || !e.fresh(now) {
			continue
		}
		load, usualWait := model.LoadTime, waitForStore
		switch {
		case e.state.InMemory[t.Model]:
			load, usualWait = model.MemoryTime, waitForDisk
		case e.state.OnDisk[t.Model]:
			load, usualWait = model.DiskTime, waitForDisk
		}
		if usualWait == waitForDisk && (e.state.Busy || e.state.Loading != "") {
			usualWait = waitForBusy
		}
		if e.state.Loading == t.Model {
			usualWait = -e.state.CommandAge - now.Sub(e.structureAt)
		}
		estimate = min(estimate, max(0, load+usualWait)+reportDelay)
	}
	return estimate
}
