package loading

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// pick removes and returns a random item.
func pick[T any](w *simWorld, items *[]T) T {
	i := w.random.IntN(len(*items))
	item := (*items)[i]
	*items = slices.Delete(*items, i, i+1)
	return item
}

// randomStep performs one random action.
func (w *simWorld) randomStep() {
	switch n := w.random.IntN(100); {
	case n < 12:
		w.passTime([]time.Duration{0, time.Millisecond, 50 * time.Millisecond, time.Second, simOrderLife}[w.random.IntN(5)])
	case n < 40:
		w.moveOrder()
	case n < 52:
		w.moveRead()
	case n < 60:
		w.moveEvent()
	case n < 70:
		w.demand()
	case n < 80:
		w.moveRequest()
	case n < 86:
		w.moveRow()
	case n < 92:
		w.moveConfirmation()
	case n < 96:
		w.movePermit()
	case w.faultFree:
	case n < 98 && w.random.IntN(3) == 0:
		w.logf("engine restarts")
		w.engine.restart()
		// The restart aborts running requests; the agent detects it later.
		for _, id := range sortedKeys(w.running) {
			w.pending = append(w.pending, Finished{Request: id})
		}
		w.running = map[string]simTarget{}
	case n < 99 && w.random.IntN(4) == 0:
		w.startAgent()
	}
}

// passTime advances the time. The machine is stepped only at the times that it requested.
func (w *simWorld) passTime(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := w.machine.NextDeadline()
		if next.IsZero() || next.After(end) {
			break
		}
		w.now = later(w.now, next)
		w.engine.expireOrders(w.now)
		w.step(Tick{})
		if !w.machine.NextDeadline().After(w.now) {
			w.engine.violate("NextDeadline does not advance after a step")
			break
		}
	}
	w.now = end
	w.engine.expireOrders(w.now)
}

// moveOrder moves a random order one stage further.
func (w *simWorld) moveOrder() {
	if len(w.engine.orders) == 0 {
		return
	}
	w.advance(w.engine.orders[w.random.IntN(len(w.engine.orders))], w.random.IntN(8) == 0)
}

// advance moves an order one stage further, or loses its answer.
func (w *simWorld) advance(o *simOrder, lost bool) {
	switch {
	case !o.sent && lost:
		w.finishOrder(o, endpoint.ErrUnreachable)
	case !o.sent:
		o.sent = true
	case !o.abandoned && lost:
		w.abandon(o)
		w.step(OrderDone{ID: o.ID, Err: endpoint.ErrOutcomeUnknown})
	case !o.arrived:
		w.logf("engine receives %+v", o.Order)
		w.engine.arrive(o)
	case !o.answered:
		w.logf("engine executes %+v", o.Order)
		w.engine.work(o)
	case !o.abandoned:
		w.finishOrder(o, o.answer)
	}
	w.engine.expireOrders(w.now)
}

func (w *simWorld) finishOrder(o *simOrder, answer error) {
	w.engine.orders = slices.DeleteFunc(w.engine.orders, func(x *simOrder) bool { return x == o })
	w.event(OrderDone{ID: o.ID, Err: answer})
}

// event applies an event to the machine and records it so that it can be duplicated later.
func (w *simWorld) event(e Event) {
	w.delivered = append(w.delivered, e)
	w.step(e)
}

// moveRead performs a read of the engine's state, or delivers an event.
func (w *simWorld) moveRead() {
	if len(w.reads) > 0 && w.random.IntN(2) == 0 {
		read := pick(w, &w.reads)
		if !w.faultFree && w.random.IntN(10) == 0 {
			w.pending = append(w.pending, EngineReadFailed(read))
			return
		}
		w.pending = append(w.pending, EngineRead{ID: read.ID, State: w.engine.state()})
		return
	}
	w.moveEvent()
}

// moveEvent delivers one of the pending events, or duplicates an old one.
func (w *simWorld) moveEvent() {
	if len(w.delivered) > 0 && !w.faultFree && w.random.IntN(10) == 0 {
		w.step(w.delivered[w.random.IntN(len(w.delivered))])
		return
	}
	if w.rowsRequested && (w.faultFree || w.random.IntN(3) == 0) {
		w.rowsRequested = false
		w.pending = append(w.pending, w.readTable())
	}
	if len(w.pending) > 0 {
		w.event(pick(w, &w.pending))
	}
}

func (w *simWorld) demand() {
	w.requests++
	e := RequestWaiting{
		Request:  fmt.Sprint("r", w.requests),
		Model:    simModels[w.random.IntN(len(simModels))].Model,
		Deadline: w.now.Add(time.Duration(1+w.random.IntN(30_000)) * time.Millisecond),
	}
	if w.random.IntN(2) == 0 {
		a := simAdapters[w.random.IntN(len(simAdapters))]
		e.Model, e.Adapter = a.Model, a.Adapter
	}
	w.demands[e.Request] = e
	w.step(e)
}

// moveRequest starts, ends or cancels a request.
func (w *simWorld) moveRequest() {
	for _, id := range sortedKeys(w.demands) {
		t := simTarget{w.demands[id].Model, w.demands[id].Adapter}
		if w.usable[t] && w.random.IntN(3) > 0 {
			delete(w.demands, id)
			w.running[id] = t
			w.step(Started{Request: id, Model: t.model, Adapter: t.adapter})
			return
		}
		if w.random.IntN(20) == 0 {
			delete(w.demands, id)
			w.event(RequestGone{Request: id})
			return
		}
	}
	for _, id := range sortedKeys(w.running) {
		if w.random.IntN(2) == 0 {
			delete(w.running, id)
			w.event(Finished{Request: id})
			return
		}
	}
}

// moveRow changes a row, or pushes a version of a row to the agent, which may be stale.
func (w *simWorld) moveRow() {
	model := simModels[w.random.IntN(len(simModels))].Model
	if !w.faultFree && w.random.IntN(3) == 0 {
		w.changeRow(model)
		return
	}
	versions := w.rows[model]
	if len(versions) == 0 {
		return
	}
	row := versions[len(versions)-1]
	if !w.faultFree && w.random.IntN(2) == 0 {
		row = versions[w.random.IntN(len(versions))]
	}
	w.step(RowSeen{Row: row})
}

// moveConfirmation delivers or loses a confirmation.
func (w *simWorld) moveConfirmation() {
	if len(w.confirmations) == 0 {
		return
	}
	c := pick(w, &w.confirmations)
	if !w.faultFree && w.random.IntN(4) == 0 {
		return
	}
	w.confirmed[c.Model] = max(w.confirmed[c.Model], c.Revision)
	w.changeRowIfReleased(c.Model)
}

func (w *simWorld) changeRowIfReleased(model string) {
	if len(w.row(model).Slots) > 0 && w.confirmed[model] >= w.releasing[model] && w.releasing[model] > 0 &&
		w.row(model).Slots[0].State == replicaspb.SlotState_RELEASING {
		w.changeRow(model)
	}
}

func (w *simWorld) movePermit() {
	if len(w.permits) == 0 {
		return
	}
	p := pick(w, &w.permits)
	switch w.random.IntN(3) {
	case 0:
		w.event(PermitGranted{ID: p.ID, Expires: w.now.Add(time.Second)})
	case 1:
		w.event(PermitDenied{ID: p.ID, RetryAt: w.now.Add(time.Second)})
	}
}

// runSim runs a simulation and returns the first violation, or "".
func runSim(w *simWorld, turns int) string {
	for range turns {
		w.randomStep()
		if wrong := w.check(); wrong != "" {
			return wrong
		}
	}
	w.faultFree, w.engine.faultFree = true, true
	for range faultFreeRounds {
		w.round()
		if wrong := w.check(); wrong != "" {
			return wrong
		}
	}
	return w.checkSettled()
}

// faultFreeRounds is the number of rounds without faults that follow; they last longer than the maximum backoff.
const faultFreeRounds = 100

// round delivers everything that is in flight and advances the time by two seconds.
func (w *simWorld) round() {
	for _, o := range slices.Clone(w.engine.orders) {
		for range 4 {
			if slices.Contains(w.engine.orders, o) {
				w.advance(o, false)
			}
		}
	}
	for len(w.reads) > 0 {
		w.moveRead()
	}
	for len(w.pending) > 0 || w.rowsRequested {
		w.moveEvent()
	}
	for len(w.confirmations) > 0 {
		w.moveConfirmation()
	}
	for _, m := range simModels {
		w.step(RowSeen{Row: w.row(m.Model)})
	}
	for range 5 {
		w.moveRequest()
	}
	w.passTime(2 * time.Second)
}

// checkSettled returns the first violation after a long time without faults, or "": no state may be unknown, each
// revoked slot must be free, and a request for a model with a slot must be served.
func (w *simWorld) checkSettled() string {
	for _, m := range simModels {
		if row := w.row(m.Model); len(row.Slots) > 0 && row.Slots[0].State == replicaspb.SlotState_RELEASING {
			return m.Model + " is not released"
		}
	}
	for _, r := range w.machine.Status(w.now).Replicas {
		if r.State == wirepb.ReplicaState_UNKNOWN {
			return r.Model + " is in an unknown state"
		}
	}
	if got, want := w.machine.reservedBytes(w.machine.reserved()), w.engine.used(); got < want || got > want+10 {
		return fmt.Sprintf("reserved %d, used %d", got, want)
	}
	if len(w.row("a@1").Slots) == 0 {
		return ""
	}
	w.step(RequestWaiting{Request: "last", Model: "a@1", Adapter: "a-x", Deadline: w.now.Add(time.Hour)})
	w.demands["last"] = RequestWaiting{Request: "last", Model: "a@1", Adapter: "a-x", Deadline: w.now.Add(time.Hour)}
	for range faultFreeRounds {
		w.round()
	}
	if _, waits := w.demands["last"]; waits {
		return "the last request is still waiting"
	}
	return ""
}

// TestPropertyNoInterleavingBreaksTheRules runs thousands of random interleavings in which orders arrive late and out
// of order, answers are lost, engines restart and agents are replaced. After each step the engine must hold nothing
// without a slot, its memory must not be overcommitted, fencing tokens must have increased, no model version may have
// two orders in flight, no request may be aborted by an unload, and no waiting request may be past its deadline without
// an answer.
func TestPropertyNoInterleavingBreaksTheRules(t *testing.T) {
	const turns = 400
	seeds, steps := 0, 0
	for _, f := range []fencing{fencingIgnored, fencingDurable, fencingVolatile} {
		parameters := gopter.DefaultTestParametersWithSeed(20261202 + int64(f))
		parameters.MinSuccessfulTests = 1000
		properties := gopter.NewProperties(parameters)
		properties.Property(fmt.Sprint("fencing ", f), prop.ForAllNoShrink(func(seed uint64) string {
			w := newSimWorld(seed, f)
			wrong := runSim(w, turns)
			seeds++
			steps += w.steps
			if wrong != "" {
				return fmt.Sprintf("seed %d: %s", seed, wrong)
			}
			return ""
		}, gen.UInt64()))
		properties.TestingRun(t)
	}
	t.Logf("%d seeds, %d steps", seeds, steps)
}
