package fleet

import (
	"hash/fnv"
	"slices"
	"time"

	"balsamsail/internal/routing"
	"balsamsail/internal/wire/wirepb"
)

// Target is the service and model that a request is for. Model is empty for a plain service, Version but for a request that
// waits for an engine of one software version only.
type Target struct {
	Service string
	Model   string
	Version string
}

// Request describes a request that needs an endpoint.
type Request struct {
	Target
	// Adapter is the adapter of the model; empty for none.
	Adapter string
	// PromptTokens is the length of the prompt. Until PacedUntil, the request is not sent to crowded engines and, if its
	// prompt is long, not to those with prompts pending.
	PromptTokens int
	PacedUntil   time.Time
	// Repeatable requests may be retried, so they can probe an unresponsive endpoint.
	Repeatable bool
	// Tried lists the endpoints that must not get the request again.
	Tried []string
	// OnTime is when the request has to begin to run for its answer to be on time.
	OnTime time.Time
	// Resuming is set once the client has a part of the stream; the rest does not wait for a place.
	Resuming bool
	// OneVersion is set if the request may be served only by endpoints whose software has the version OnlyVersion.
	OneVersion  bool
	OnlyVersion string
	// place is set while the request waits for a place.
	place *placeWaiter
}

// WaitTarget is the target for which the request waits while no endpoint that may serve it has its model.
func (r *Request) WaitTarget() Target {
	t := r.Target
	t.Version = r.OnlyVersion
	return t
}

func (r *Request) adapter() Adapter { return Adapter{Model: r.Model, Name: r.Adapter} }

// NoEndpointReason is the reason why a request got no endpoint.
type NoEndpointReason int

// The reasons.
const (
	// NoEndpoints: no listed endpoint of the service accepts work.
	NoEndpoints NoEndpointReason = iota
	// ModelNotLoaded: the service has endpoints, but none has the model loaded.
	ModelNotLoaded
	// AdapterMissing: an engine has the model loaded, and its agent was asked to load the adapter.
	AdapterMissing
	// PromptBacklog: the engines that have the model loaded are crowded.
	PromptBacklog
	// EnginesFull: the engines that have the model loaded have full batches or too many prompt tokens pending, or requests
	// that go first wait for their free places.
	EnginesFull
	// AllTried: every endpoint that could serve the request is in Tried.
	AllTried
	// OtherVersions: endpoints could serve the request, but of those with the only version that may none has the model loaded.
	OtherVersions
)

// Choice is the endpoint chosen for one attempt.
type Choice struct {
	ID, Address string
	// Started is the Unix time in milliseconds at which the endpoint's process started; 0 if it is not known.
	Started int64
	// Version is the version of the endpoint's software.
	Version string
	process *process
	// reservation is shared by the copies of a Choice.
	reservation *reservation
}

// reservation is the load that one request adds to a process's counters.
type reservation struct {
	promptTokens int
	// onRestart is called if the endpoint restarts.
	onRestart func()
}

// Choose returns the endpoint for a request's next attempt and counts the request as in flight there, until Done is
// called.
func (f *Fleet) Choose(now time.Time, req *Request) (Choice, NoEndpointReason, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates, reason := f.candidates(now, req)
	unlimited, limited := f.splitByLimit(now, candidates)
	p := picked{reason: EnginesFull}
	if len(unlimited) > 0 || len(limited) == 0 {
		p = f.pick(now, unlimited, req, reason)
	}
	if !p.ok && len(limited) > 0 {
		p = f.pickLimited(now, limited, req, p)
	}
	if reason == AllTried {
		f.demandOf(req.Target).noteFull(now, !p.room, len(candidates))
	}
	if !p.ok {
		return Choice{}, p.reason, false
	}
	e := f.endpoints[p.candidate.Endpoint]
	if req.Adapter != "" && !p.candidate.HasAdapter {
		f.requestAdapter(e.ID, req.adapter())
		return Choice{}, AdapterMissing, false
	}
	f.usePermit(now, e)
	e.inFlight++
	e.sentSinceLoad++
	f.demandOf(req.Target).servedWhileFull++
	e.responses.sent(now)
	e.pendingPromptTokens += req.PromptTokens
	if req.Adapter != "" {
		e.adapters[req.adapter()]++
	}
	r := &reservation{promptTokens: req.PromptTokens}
	e.reservations[r] = struct{}{}
	return Choice{ID: e.ID, Address: e.Address, Started: e.started, Version: e.Version, process: e.process, reservation: r}, reason, true
}

// picked is the candidate that was chosen for a request, or the reason why there is none.
type picked struct {
	ok        bool
	candidate routing.Candidate
	reason    NoEndpointReason
	// room is set if one of the candidates had room for the request.
	room bool
}

// pick chooses among candidates. The reason is the one to return if all of them have been tried.
func (f *Fleet) pick(now time.Time, candidates []routing.Candidate, req *Request, reason NoEndpointReason) picked {
	p := picked{reason: reason}
	if reason == AllTried {
		candidates, p.room = f.withRoom(now, candidates, req)
		if !p.room {
			p.reason = EnginesFull
			return p
		}
	}
	if now.Before(req.PacedUntil) {
		if candidates = f.dropCrowded(candidates, req); len(candidates) == 0 && reason == AllTried {
			p.reason = PromptBacklog
			return p
		}
	}
	candidates = f.dropUnresponsive(now, candidates, req)
	i, ok := f.router.Pick(now, candidates, req.Tried, wirepb.Class_INTERACTIVE)
	if ok {
		p.ok, p.candidate = true, candidates[i]
	}
	return p
}

// NotifyRestart calls lost, with locks held, if the chosen endpoint restarts under its ID before Done. The request is then
// lost there, which its connection may not show: it stays open if the host was unreachable when the process ended.
func (f *Fleet) NotifyRestart(c Choice, lost func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.reservation.onRestart = lost
	if e := f.endpoints[c.ID]; e != nil && e.process != c.process {
		lost()
	}
}

// HasOther reports whether an endpoint that is not in Tried could take the request now.
func (f *Fleet) HasOther(now time.Time, req *Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates, _ := f.candidates(now, req)
	candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return !f.permitted(now, f.endpoints[c.Endpoint]) })
	candidates, room := f.withRoom(now, candidates, req)
	return room && slices.ContainsFunc(candidates, func(c routing.Candidate) bool {
		return c.HasAdapter && !slices.Contains(req.Tried, c.Endpoint)
	})
}

// candidates returns the endpoints that may take a request now. If no engine has the adapter loaded, it returns only
// the engine that should load it.
func (f *Fleet) candidates(now time.Time, req *Request) ([]routing.Candidate, NoEndpointReason) {
	reason := NoEndpoints
	ofVersion, otherVersions := false, false
	var list, withoutAdapter []routing.Candidate
	for _, e := range f.endpoints {
		if e.Service != req.Service || e.Leaving {
			continue
		}
		reason = max(reason, ModelNotLoaded)
		if !e.responsive(now) {
			continue
		}
		ofVersion = ofVersion || e.Version == req.OnlyVersion
		if req.Model != "" && (!e.hasModel(now, req.Model) || e.recentlyAbsent(now, Adapter{Model: req.Model})) {
			continue
		}
		if req.OneVersion && e.Version != req.OnlyVersion {
			otherVersions = true
			continue
		}
		reason = max(reason, AllTried)
		c := f.candidate(now, e, req)
		if c.HasAdapter {
			list = append(list, c)
		} else {
			withoutAdapter = append(withoutAdapter, c)
		}
	}
	switch {
	case req.OneVersion && !ofVersion:
		return nil, NoEndpoints
	case otherVersions && reason < AllTried:
		return nil, OtherVersions
	}
	if len(list) > 0 || len(withoutAdapter) == 0 {
		return list, reason
	}
	return adapterOwner(f.preferIdle(now, withoutAdapter), req), reason
}

// preferIdle returns the engines that accept commands now, or all if there are none: an engine that loads a model
// rejects adapter loads until it is done, which takes 6 s for a load from the weight store.
func (f *Fleet) preferIdle(now time.Time, list []routing.Candidate) []routing.Candidate {
	var free []routing.Candidate
	for _, c := range list {
		if e := f.endpoints[c.Endpoint]; !e.reportFresh(now) || !e.state.Busy && e.state.Loading == "" {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return list
	}
	return free
}

func (f *Fleet) candidate(now time.Time, e *endpoint, req *Request) routing.Candidate {
	c := routing.Candidate{
		Endpoint:      e.ID,
		FailureDomain: e.FailureDomain,
		State:         wirepb.ReplicaState_LOADED,
		HasAdapter:    e.hasAdapter(now, req.adapter()) && !e.recentlyAbsent(now, req.adapter()),
		Sent:          e.inFlight,
		Running:       e.headerLoad,
		ReportedAt:    e.headerLoadAt,
		Reachable:     true,
	}
	if reportedAt := e.loadReportedAt(); e.reportFresh(now) && reportedAt.After(e.headerLoadAt) {
		c.Running, c.Queued, c.ReportedAt = e.state.Running, e.state.Queued, reportedAt
	}
	return c
}

// loadReportedAt returns when the endpoint's load was last reported. A hub sends a load only when it changes: each of its
// messages confirms those that it does not mention. With the time of the last change instead, the load of an engine that
// stays full would count for less and less, and the gateways would choose among the replicas blindly.
func (e *endpoint) loadReportedAt() time.Time {
	if e.relay != nil && e.relay.heardAt.After(e.reportedAt) {
		return e.relay.heardAt
	}
	return e.reportedAt
}

// adapterOwner returns the candidate that should load an adapter, chosen by rendezvous hashing. All gateways choose the
// same engine, so that the adapter is loaded only once, and the adapters are spread over the engines, which have few
// adapter slots.
func adapterOwner(candidates []routing.Candidate, req *Request) []routing.Candidate {
	best, bestScore := -1, uint64(0)
	for i := range candidates {
		if slices.Contains(req.Tried, candidates[i].Endpoint) {
			continue
		}
		if score := rendezvousHash(candidates[i].Endpoint, req.Model, req.Adapter); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return candidates[best : best+1]
}

func rendezvousHash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// The high bits of FNV differ little between short strings with the same suffix; the multiplication mixes them.
	sum := h.Sum64()
	sum ^= sum >> 32
	return sum * 0x9e3779b97f4a7c15
}

// Done releases what Choose counted.
func (f *Fleet) Done(c Choice, req *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := c.process
	p.inFlight--
	if p.inFlight == 0 && f.delisted[c.ID] == p {
		delete(f.delisted, c.ID)
	}
	delete(p.reservations, c.reservation)
	p.responses.done(p.inFlight)
	p.releasePrompt(c)
	if req.Adapter != "" {
		decrement(p.adapters, req.adapter())
	}
}

// Prefilled records that a request's first event has arrived, so the engine has processed its prompt.
func (f *Fleet) Prefilled(c Choice, req *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if req.Model != "" && c.reservation.promptTokens > 0 {
		c.process.releasePrompt(c)
		f.notify()
	}
}

// releasePrompt subtracts a request's prompt tokens from the process's pending ones. Further calls have no effect.
func (p *process) releasePrompt(c Choice) {
	p.pendingPromptTokens -= c.reservation.promptTokens
	c.reservation.promptTokens = 0
}

// maxPendingPromptTokens is the number of prompt tokens that one gateway may have pending at an engine, unless they are
// a single prompt. An engine processes about 40 tokens per millisecond between decoding steps, so four gateways
// together delay a step by at most 150 ms; a pause counts as late from 250 ms.
const maxPendingPromptTokens = 1500

// crowdedShare is the fraction of an engine's batch from which it counts as crowded: the more streams run, the more of
// them each new prompt delays, and load reports are up to 200 ms old.
const crowdedShare = 0.75

// dropCrowded removes the candidates that are crowded.
func (f *Fleet) dropCrowded(candidates []routing.Candidate, req *Request) []routing.Candidate {
	if req.PromptTokens == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c routing.Candidate) bool {
		e := f.endpoints[c.Endpoint]
		return e.Slots > 0 && float64(c.Running+c.Queued) >= crowdedShare*float64(e.Slots)
	})
}

// promptRoom returns how many prompts of a request's length this gateway may send to the endpoint now.
//
// Prompts arrive in bursts, and an engine processes all queued prompts between two decoding steps. Ten at once cause a
// pause of 250 ms in each of its streams. Sent one after another, they cause no such pause and hardly delay their own
// first events. When a model has been loaded, all requests that waited for it would otherwise be sent at once, and most
// of their clients would leave before their prompts were processed.
func (e *endpoint) promptRoom(now time.Time, req *Request) int {
	switch {
	case req.PromptTokens == 0:
		return unlimitedPrompts
	case req.PromptTokens <= maxPendingPromptTokens:
		return max((maxPendingPromptTokens-e.pendingPromptTokens)/req.PromptTokens, 0)
	case e.pendingPromptTokens == 0 || !now.Before(req.PacedUntil):
		return 1
	}
	return 0
}

// unlimitedPrompts is the promptRoom of a request without a prompt.
const unlimitedPrompts = 1 << 20

func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// Observe records the outcome of an attempt at the chosen endpoint.
func (f *Fleet) Observe(now time.Time, c Choice, outcome routing.Outcome, firstByte time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.chosen(c); e != nil {
		f.router.Observe(now, routing.Observation{Endpoint: e.ID, Target: e.Service, Outcome: outcome, FirstByte: firstByte})
	}
}

// Absent records that the chosen endpoint rejected a request because the model or the adapter is not loaded.
func (f *Fleet) Absent(now time.Time, c Choice, req *Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.chosen(c)
	if e == nil {
		return
	}
	if len(e.absent) >= maxAdapterNames {
		clear(e.absent)
	}
	until := now.Add(absentTTL)
	if e.hasAdapter(now, req.adapter()) && req.Adapter != "" {
		e.absent[req.adapter()] = until
		return
	}
	e.absent[Adapter{Model: req.Model}] = until
}

// Load records the load that the chosen endpoint reported in a response header.
func (f *Fleet) Load(now time.Time, c Choice, running, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.chosen(c); e != nil {
		e.headerLoad, e.headerLoadAt = running+queued, now
		e.sentSinceLoad = 0
	}
}
