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

// client is one request with an idempotency key at one entry, from its claim until the claim is settled.
type client struct {
	id, key       string
	phase         phase
	claimAttempt  *claimAttempt
	settleAttempt *settleAttempt
	call          tableCall
	claim         Claim
	revision      uint64
	attempts      int
	streams       []*stream
	callerOutcome string
	// operation is the index in the history of the claim or settlement in progress.
	operation int
}

// simulation models several entries, two agents and one table.
type simulation struct {
	random  *rand.Rand
	table   *faultyTable
	clients []*client
	streams []*stream
	now     int64
	history []porcupine.Operation
	// breaks and crashes count broken streams and crashed processes.
	breaks, crashes int
}

const (
	simClients = 5
	simAgents  = 2
	simSteps   = 1000
	maxOffers  = 3
)

func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 0))
	table := &faultyTable{random: random, faults: true, rows: map[string]backing.Row{}}
	return &simulation{random: random, table: table}
}

func (sim *simulation) step() {
	sim.now++
	switch kind := sim.random.IntN(20); {
	case kind == 0 && len(sim.clients) < simClients && sim.random.IntN(6) == 0:
		sim.addClient()
	case kind == 1 && len(sim.table.delayed) > 0:
		i := sim.random.IntN(len(sim.table.delayed))
		sim.table.delayed[i]()
		sim.table.delayed = slices.Delete(sim.table.delayed, i, i+1)
	case kind == 2 && sim.random.IntN(16) == 0:
		sim.crashAgent(sim.random.IntN(simAgents))
	case kind < 10 && len(sim.clients) > 0:
		sim.stepClient(sim.clients[sim.random.IntN(len(sim.clients))])
	case len(sim.streams) > 0:
		sim.stepStream(sim.streams[sim.random.IntN(len(sim.streams))])
	}
}

func (sim *simulation) addClient() {
	c := &client{id: fmt.Sprint(len(sim.clients)), key: fmt.Sprint("key", sim.random.IntN(2))}
	c.claim = Claim{State: ClaimHeld, Owner: c.id, Fingerprint: 7}
	c.claimAttempt = newClaimAttempt(c.id, 7)
	c.call = c.claimAttempt.start()
	c.operation = sim.begin(operation{key: c.key, owner: c.id, state: ClaimHeld})
	sim.clients = append(sim.clients, c)
}

func (sim *simulation) stepClient(c *client) {
	if sim.table.faults && sim.random.IntN(150) == 0 {
		sim.crashEntry(c)
		return
	}
	switch c.phase {
	case claimingPhase:
		sim.stepClaiming(c)
	case exchangePhase:
		sim.stepExchange(c)
	case settlingPhase:
		sim.stepSettling(c)
	}
}

// callTable performs the table call that a state machine requests, or ends its time limit.
func (sim *simulation) callTable(c *client, condition uint64) tableResult {
	if sim.table.faults && sim.random.IntN(12) == 0 {
		return tableResult{event: timedOut}
	}
	if c.call == callRead || c.call == callBackoffRead {
		return sim.table.read(c.key)
	}
	return sim.table.write(c.key, condition, c.claim)
}

func (sim *simulation) stepClaiming(c *client) {
	c.call = c.claimAttempt.step(sim.callTable(c, c.claimAttempt.condition))
	if c.call != callEnd {
		return
	}
	sim.end(c.operation, c.claimAttempt.outcome, c.claimAttempt.outcome != 0 || !c.claimAttempt.mayHold())
	switch {
	case c.claimAttempt.outcome == ClaimGranted:
		c.revision = c.claimAttempt.row.Revision
		c.phase = exchangePhase
	case c.claimAttempt.outcome != 0:
		c.callerOutcome = map[ClaimOutcome]string{ClaimCompleted: "answered", ClaimInProgress: "in progress", ClaimOutcomeUnknown: "unknown"}[c.claimAttempt.outcome]
		c.phase = endPhase
	case c.claimAttempt.mayHold():
		c.callerOutcome = "not run"
		sim.settle(c, newReleaseAttempt(c.id), ClaimFree)
	default:
		c.callerOutcome = "not run"
		c.phase = endPhase
	}
}

// stepExchange sends the next offer, gives up, or breaks the stream.
func (sim *simulation) stepExchange(c *client) {
	if len(c.streams) == 0 || !c.streams[len(c.streams)-1].exchange.Open() {
		st := &stream{agent: sim.random.IntN(simAgents), exchange: NewExchange(true), execution: NewExecution(true)}
		c.streams = append(c.streams, st)
		sim.streams = append(sim.streams, st)
		c.attempts++
		return
	}
	st := c.streams[len(c.streams)-1]
	switch sim.random.IntN(80) {
	case 0:
		sim.deliverToEntry(c, st, Abandoned)
	case 1:
		sim.breakStream(st)
	}
}

func (sim *simulation) breakStream(st *stream) {
	sim.breaks++
	st.broken = true
	st.down = st.down[:sim.random.IntN(len(st.down)+1)]
	st.up = st.up[:sim.random.IntN(len(st.up)+1)]
}

// deliverToEntry passes an event to the exchange and acts on the returned actions.
func (sim *simulation) deliverToEntry(c *client, st *stream, e ExchangeEvent) {
	actions := st.exchange.Step(e)
	st.sendToAgent(actions)
	for _, a := range actions {
		switch a {
		case EndNotRun:
			if c.attempts >= maxOffers {
				c.callerOutcome = "not run"
				sim.settle(c, newSettleAttempt(c.id, ClaimFree, c.revision), ClaimFree)
			}
		case EndServed:
			c.callerOutcome = "served"
			sim.settle(c, newSettleAttempt(c.id, ClaimDone, c.revision), ClaimDone)
		case EndUnknown, EndTruncated:
			c.callerOutcome = "unknown"
			if !st.exchange.Open() {
				sim.settle(c, newSettleAttempt(c.id, ClaimUnknown, c.revision), ClaimUnknown)
			}
		case SettleServed:
			sim.settle(c, newSettleAttempt(c.id, ClaimDone, c.revision), ClaimDone)
		case SettleNotRun:
			sim.settle(c, newSettleAttempt(c.id, ClaimFree, c.revision), ClaimFree)
		case SettleUnknown:
			sim.settle(c, newSettleAttempt(c.id, ClaimUnknown, c.revision), ClaimUnknown)
		}
	}
}

func (sim *simulation) settle(c *client, s *settleAttempt, state ClaimState) {
	c.phase, c.settleAttempt, c.call = settlingPhase, s, s.start()
	c.claim.State = state
	c.operation = sim.begin(operation{key: c.key, owner: c.id, state: state})
}

func (sim *simulation) stepSettling(c *client) {
	c.call = c.settleAttempt.step(sim.callTable(c, c.settleAttempt.condition))
	if c.call == callEnd {
		sim.end(c.operation, 0, c.settleAttempt.done)
		c.phase = endPhase
	}
}

func (sim *simulation) crashEntry(c *client) {
	sim.crashes++
	c.phase = endPhase
	for _, st := range c.streams {
		sim.breakStream(st)
		st.up = nil
		st.exchange = NewExchange(true)
		st.exchange.Step(StreamFailed)
	}
}

func (sim *simulation) crashAgent(agent int) {
	sim.crashes++
	for _, st := range sim.streams {
		if st.agent == agent {
			sim.breakStream(st)
			st.agentCrashed = true
			st.execution = NewExecution(true)
			st.execution.Step(EntryLost)
		}
	}
}

func (sim *simulation) stepStream(st *stream) {
	switch sim.random.IntN(10) {
	case 0, 1, 2:
		sim.deliverDown(st)
	case 3, 4, 5:
		sim.deliverUp(st)
	case 6:
		st.deliverToAgent([]ExecutionEvent{Admitted, Admitted, Admitted, QueueRefused, CommitLate}[sim.random.IntN(5)])
	default:
		sim.stepCall(st)
	}
}

func (sim *simulation) deliverDown(st *stream) {
	if len(st.down) == 0 {
		if st.broken {
			st.deliverToAgent(EntryLost)
		}
		return
	}
	e := st.down[0]
	st.down = st.down[1:]
	st.deliverToAgent(e)
	if sim.random.IntN(4) == 0 {
		// A duplicate frame must change nothing.
		st.deliverToAgent(e)
	}
}

func (sim *simulation) deliverUp(st *stream) {
	i := slices.IndexFunc(sim.clients, func(c *client) bool { return slices.Contains(c.streams, st) })
	if len(st.up) == 0 {
		if st.broken {
			sim.deliverToEntry(sim.clients[i], st, StreamFailed)
		}
		return
	}
	e := st.up[0]
	st.up = st.up[1:]
	sim.deliverToEntry(sim.clients[i], st, e)
}

// stepCall makes the endpoint run the request, or ends the call with or without having run it.
func (sim *simulation) stepCall(st *stream) {
	if st.calls == 0 {
		return
	}
	switch sim.random.IntN(4) {
	case 0:
		st.runs++
		st.calls--
		st.deliverToAgent(CallAnswered)
	case 1:
		st.runs++
		st.calls--
		st.deliverToAgent(CallFailedUnknown)
	case 2:
		st.calls--
		st.deliverToAgent(CallFailedNotRun)
	default:
		// The endpoint may run the request after its agent gave up on the call.
		st.deliverToAgent(CallFailedUnknown)
	}
}

// finish completes all delayed writes and endpoint calls.
func (sim *simulation) finish() {
	for _, write := range sim.table.delayed {
		write()
	}
	for _, st := range sim.streams {
		st.runs += st.calls
	}
}

// operation is an input of the history: the claim or the settlement of a key.
type operation struct {
	key, owner string
	state      ClaimState
}

// result is the output of an operation. If it is not definite, the operation may take effect at any later time.
type result struct {
	outcome  ClaimOutcome
	definite bool
}

func (sim *simulation) begin(o operation) int {
	sim.history = append(sim.history, porcupine.Operation{Input: o, Call: sim.now, Output: result{}, Return: math.MaxInt64})
	return len(sim.history) - 1
}

func (sim *simulation) end(i int, outcome ClaimOutcome, definite bool) {
	if definite {
		sim.history[i].Output = result{outcome: outcome, definite: true}
		sim.history[i].Return = sim.now
	}
}
