package atmostonce

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"balsamsail/internal/backing"
)

type phase int

const (
	claimingPhase phase = iota
	exchangePhase
	settlingPhase
	endPhase
)

// client is one request with an idempotency key at one entry, from its claim to the settling of the claim.
type client struct {
	id, key  string
	phase    phase
	claiming *claiming
	settling *settling
	call     tableCall
	claim    Claim
	revision uint64
	attempts int
	links    []*link
	told     string
	// operation is the index of the claim or settling under way in the history.
	operation int
}

// world joins several entries, two agents and one table.
type world struct {
	random  *rand.Rand
	table   *lossyTable
	clients []*client
	links   []*link
	now     int64
	history []porcupine.Operation
	// breaks and crashes count the broken streams and the processes that died.
	breaks, crashes int
}

const (
	worldClients = 5
	worldAgents  = 2
	worldSteps   = 1000
	maxOffers    = 3
)

func newWorld(seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, 0))
	table := &lossyTable{random: random, faults: true, rows: map[string]backing.Row{}}
	return &world{random: random, table: table}
}

func (w *world) step() {
	w.now++
	switch kind := w.random.IntN(20); {
	case kind == 0 && len(w.clients) < worldClients && w.random.IntN(6) == 0:
		w.arrive()
	case kind == 1 && len(w.table.delayed) > 0:
		i := w.random.IntN(len(w.table.delayed))
		w.table.delayed[i]()
		w.table.delayed = slices.Delete(w.table.delayed, i, i+1)
	case kind == 2 && w.random.IntN(16) == 0:
		w.crashAgent(w.random.IntN(worldAgents))
	case kind < 10 && len(w.clients) > 0:
		w.stepClient(w.clients[w.random.IntN(len(w.clients))])
	case len(w.links) > 0:
		w.stepLink(w.links[w.random.IntN(len(w.links))])
	}
}

func (w *world) arrive() {
	c := &client{id: fmt.Sprint(len(w.clients)), key: fmt.Sprint("key", w.random.IntN(2))}
	c.claim = Claim{State: ClaimHeld, Owner: c.id, Fingerprint: 7}
	c.claiming = newClaiming(c.id, 7)
	c.call = c.claiming.start()
	c.operation = w.begin(operation{key: c.key, owner: c.id, state: ClaimHeld})
	w.clients = append(w.clients, c)
}

func (w *world) stepClient(c *client) {
	if w.table.faults && w.random.IntN(150) == 0 {
		w.crashEntry(c)
		return
	}
	switch c.phase {
	case claimingPhase:
		w.stepClaiming(c)
	case exchangePhase:
		w.stepExchange(c)
	case settlingPhase:
		w.stepSettling(c)
	}
}

// callTable makes the call that a machine wants, or ends its time.
func (w *world) callTable(c *client, condition uint64) tableInput {
	if w.table.faults && w.random.IntN(12) == 0 {
		return tableInput{event: timeUp}
	}
	if c.call == callRead || c.call == callPauseRead {
		return w.table.read(c.key)
	}
	return w.table.write(c.key, condition, c.claim)
}

func (w *world) stepClaiming(c *client) {
	c.call = c.claiming.step(w.callTable(c, c.claiming.condition))
	if c.call != callEnd {
		return
	}
	w.end(c.operation, c.claiming.outcome, c.claiming.outcome != 0 || !c.claiming.abandoned())
	switch {
	case c.claiming.outcome == ClaimGranted:
		c.revision = c.claiming.held.Revision
		c.phase = exchangePhase
	case c.claiming.outcome != 0:
		c.told = map[ClaimOutcome]string{ClaimAnswered: "answered", ClaimInProgress: "in progress", ClaimLost: "unknown"}[c.claiming.outcome]
		c.phase = endPhase
	case c.claiming.abandoned():
		c.told = "not run"
		w.settle(c, newRelease(c.id), ClaimFree)
	default:
		c.told = "not run"
		c.phase = endPhase
	}
}

// stepExchange makes the next offer, gives up, or breaks the stream.
func (w *world) stepExchange(c *client) {
	if len(c.links) == 0 || !c.links[len(c.links)-1].exchange.Open() {
		l := &link{agent: w.random.IntN(worldAgents), exchange: NewExchange(true), execution: NewExecution(true)}
		c.links = append(c.links, l)
		w.links = append(w.links, l)
		c.attempts++
		return
	}
	l := c.links[len(c.links)-1]
	switch w.random.IntN(80) {
	case 0:
		w.atEntry(c, l, GaveUp)
	case 1:
		w.breakLink(l)
	}
}

func (w *world) breakLink(l *link) {
	w.breaks++
	l.cut = true
	l.down = l.down[:w.random.IntN(len(l.down)+1)]
	l.up = l.up[:w.random.IntN(len(l.up)+1)]
}

// atEntry gives an event to the exchange and acts on its end.
func (w *world) atEntry(c *client, l *link, e ExchangeEvent) {
	actions := l.exchange.Step(e)
	l.toAgent(actions)
	for _, a := range actions {
		switch a {
		case EndNotRun:
			if c.attempts >= maxOffers {
				c.told = "not run"
				w.settle(c, newSettling(c.id, ClaimFree, c.revision), ClaimFree)
			}
		case EndServed:
			c.told = "served"
			w.settle(c, newSettling(c.id, ClaimDone, c.revision), ClaimDone)
		case EndUnknown, EndCut:
			c.told = "unknown"
			if !l.exchange.Open() {
				w.settle(c, newSettling(c.id, ClaimUnknown, c.revision), ClaimUnknown)
			}
		case SettleServed:
			w.settle(c, newSettling(c.id, ClaimDone, c.revision), ClaimDone)
		case SettleNotRun:
			w.settle(c, newSettling(c.id, ClaimFree, c.revision), ClaimFree)
		case SettleUnknown:
			w.settle(c, newSettling(c.id, ClaimUnknown, c.revision), ClaimUnknown)
		}
	}
}

func (w *world) settle(c *client, s *settling, state ClaimState) {
	c.phase, c.settling, c.call = settlingPhase, s, s.start()
	c.claim.State = state
	c.operation = w.begin(operation{key: c.key, owner: c.id, state: state})
}

func (w *world) stepSettling(c *client) {
	c.call = c.settling.step(w.callTable(c, c.settling.condition))
	if c.call == callEnd {
		w.end(c.operation, 0, c.settling.done)
		c.phase = endPhase
	}
}

func (w *world) crashEntry(c *client) {
	w.crashes++
	c.phase = endPhase
	for _, l := range c.links {
		w.breakLink(l)
		l.up = nil
		l.exchange = NewExchange(true)
		l.exchange.Step(StreamBroke)
	}
}

func (w *world) crashAgent(agent int) {
	w.crashes++
	for _, l := range w.links {
		if l.agent == agent {
			w.breakLink(l)
			l.agentGone = true
			l.execution = NewExecution(true)
			l.execution.Step(EntryLost)
		}
	}
}

func (w *world) stepLink(l *link) {
	switch w.random.IntN(10) {
	case 0, 1, 2:
		w.deliverDown(l)
	case 3, 4, 5:
		w.deliverUp(l)
	case 6:
		l.atAgent([]ExecutionEvent{TurnCame, TurnCame, TurnCame, QueueRefused, CommitLate}[w.random.IntN(5)])
	default:
		w.stepCall(l)
	}
}

func (w *world) deliverDown(l *link) {
	if len(l.down) == 0 {
		if l.cut {
			l.atAgent(EntryLost)
		}
		return
	}
	e := l.down[0]
	l.down = l.down[1:]
	l.atAgent(e)
	if w.random.IntN(4) == 0 {
		// A frame that comes twice must change nothing.
		l.atAgent(e)
	}
}

func (w *world) deliverUp(l *link) {
	i := slices.IndexFunc(w.clients, func(c *client) bool { return slices.Contains(c.links, l) })
	if len(l.up) == 0 {
		if l.cut {
			w.atEntry(w.clients[i], l, StreamBroke)
		}
		return
	}
	e := l.up[0]
	l.up = l.up[1:]
	w.atEntry(w.clients[i], l, e)
}

// stepCall lets the endpoint run the request, or the call end with or without it having run.
func (w *world) stepCall(l *link) {
	if l.calls == 0 {
		return
	}
	switch w.random.IntN(4) {
	case 0:
		l.runs++
		l.calls--
		l.atAgent(CallAnswered)
	case 1:
		l.runs++
		l.calls--
		l.atAgent(CallFailedUnclear)
	case 2:
		l.calls--
		l.atAgent(CallFailedClean)
	default:
		// The endpoint runs the request after its agent gave up on the call.
		l.atAgent(CallFailedUnclear)
	}
}

// finish lets everything that may still take effect do so.
func (w *world) finish() {
	for _, write := range w.table.delayed {
		write()
	}
	for _, l := range w.links {
		l.runs += l.calls
	}
}

// operation is an input of the history: the claim of a key, or the end of a claim.
type operation struct {
	key, owner string
	state      ClaimState
}

// result is its output; when it is not definite the operation may take effect at any later time.
type result struct {
	outcome  ClaimOutcome
	definite bool
}

func (w *world) begin(o operation) int {
	w.history = append(w.history, porcupine.Operation{Input: o, Call: w.now, Output: result{}, Return: math.MaxInt64})
	return len(w.history) - 1
}

func (w *world) end(i int, outcome ClaimOutcome, definite bool) {
	if definite {
		w.history[i].Output = result{outcome: outcome, definite: true}
		w.history[i].Return = w.now
	}
}
