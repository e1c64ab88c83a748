package declarations

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
)

// The tests in this file simulate operators that make conflicting edits while the table loses responses, applies writes
// late and rejects calls. Everything runs on one goroutine in simulated time, so that a seed always gives the same
// history; porcupine then checks whether the results that the operators got are linearizable.

// raceCall is one edit as its operator requested it.
type raceCall struct {
	id      string
	basedOn uint64
	author  string
}

// raceResult is the result that the operator got.
type raceResult struct {
	revision uint64
	err      error
}

// raceState is the state of the model: the operation that made each revision.
type raceState struct{ log []string }

func (s raceState) with(call raceCall) raceState {
	return raceState{log: append(slices.Clip(s.log), call.id)}
}

// made returns the revision that an operation made, or 0.
func (s raceState) made(id string) uint64 { return uint64(slices.Index(s.log, id) + 1) }

// editModel is the sequential specification of edits: an edit takes effect at most once, atomically between its call
// and its return, and on the revision that it was based on.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{raceState{}} },
	Step: func(state, input, output any) []any {
		return stepModel(state.(raceState), input.(raceCall), output.(raceResult))
	},
	Equal: func(a, b any) bool { return slices.Equal(a.(raceState).log, b.(raceState).log) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

func stepModel(state raceState, call raceCall, result raceResult) []any {
	newest := uint64(len(state.log))
	canCommit := state.made(call.id) == 0 && (call.basedOn == 0 || call.basedOn == newest)
	var conflict *ConflictError
	switch {
	case result.err == nil && state.made(call.id) == result.revision:
		return []any{state}
	case result.err == nil && canCommit && result.revision == newest+1:
		return []any{state.with(call)}
	case errors.As(result.err, &conflict):
		if state.made(call.id) == 0 && call.basedOn != 0 && conflict.Revision == newest && call.basedOn < newest &&
			conflict.WinningRevision == call.basedOn+1 && conflict.Author == authorOf(state.log[call.basedOn]) {
			return []any{state}
		}
	case errors.Is(result.err, ErrOutcomeUnknown):
		if canCommit {
			return []any{state, state.with(call)}
		}
		return []any{state}
	case errors.Is(result.err, ErrUnavailable):
		if state.made(call.id) == 0 {
			return []any{state}
		}
	}
	return nil
}

func authorOf(id string) string {
	author, _, _ := strings.Cut(id, "-")
	return author
}

// raceSim simulates the table and the operators.
type raceSim struct {
	random *rand.Rand
	now    time.Time
	table  *memTable
	// committed lists the operations in commit order, including those trimmed from the log.
	committed []string
	logKeep   uint64
	// faultRate scales the probability of every fault.
	faultRate float64
	events    []raceEvent
	ops       []porcupine.Operation
	// lastRead is the newest revision that any operator has read; the next edits are based on it.
	lastRead uint64
	wrap     func(*editor) stateMachine
}

// raceEvent runs at a given time; events of the same time run in the order in which they were added.
type raceEvent struct {
	at  time.Time
	run func()
}

func (w *raceSim) after(d time.Duration, run func()) {
	w.events = append(w.events, raceEvent{at: w.now.Add(d), run: run})
}

func (w *raceSim) run() {
	for len(w.events) > 0 {
		first := 0
		for i := range w.events {
			if w.events[i].at.Before(w.events[first].at) {
				first = i
			}
		}
		event := w.events[first]
		w.events = slices.Delete(w.events, first, first+1)
		w.now = event.at
		event.run()
	}
}

func (w *raceSim) injectFault(weight float64) bool { return w.random.Float64() < w.faultRate*weight }

func (w *raceSim) latency() time.Duration {
	return time.Duration(1+w.random.IntN(30)) * time.Millisecond
}

// operator makes edits one after another and retries those whose outcome is unknown.
type operator struct {
	sim       *raceSim
	number    int
	remaining int
}

func (o *operator) next() {
	if o.remaining == 0 {
		return
	}
	o.remaining--
	call := raceCall{author: fmt.Sprintf("operator%d", o.number)}
	call.id = fmt.Sprintf("%s-%d", call.author, o.remaining)
	if o.sim.random.IntN(3) > 0 {
		call.basedOn = o.sim.lastRead
	}
	o.edit(call, 1)
}

const raceDeadline = 400 * time.Millisecond

func (o *operator) edit(call raceCall, retries int) {
	w := o.sim
	called := w.now
	e := &editor{
		request: EditRequest{
			BasedOn: call.basedOn, Author: call.author, OperationID: call.id,
			Change: PutObjects([]*pb.Object{EngineObject(&pb.Engine{Name: "e", Labels: map[string]string{"by": call.id}})}, nil),
		},
		deadline: w.now.Add(raceDeadline), logKeep: w.logKeep, random: rand.New(rand.NewPCG(w.random.Uint64(), 0)),
	}
	machine := w.wrap(e)
	w.runMachine(machine, machine.start(), func(end finish) {
		returned := w.now
		if errors.Is(end.err, ErrOutcomeUnknown) {
			// The write may still take effect, so the call is recorded as still open until after the end of the run.
			returned = w.now.Add(time.Hour)
		}
		w.ops = append(w.ops, porcupine.Operation{
			ClientId: len(w.ops), Input: call, Output: raceResult{end.result.Revision, end.err},
			Call: called.UnixNano(), Return: returned.UnixNano(),
		})
		if errors.Is(end.err, ErrOutcomeUnknown) && retries > 0 {
			w.after(w.latency(), func() { o.edit(call, retries-1) })
			return
		}
		w.after(w.latency(), o.next)
	})
}

// runMachine executes a machine's actions until it finishes.
func (w *raceSim) runMachine(machine stateMachine, action editAction, done func(finish)) {
	reply := func(event editEvent) { w.runMachine(machine, machine.step(w.now, event), done) }
	switch a := action.(type) {
	case finish:
		done(a)
	case wait:
		w.after(a.duration, func() { reply(waitDone{}) })
	case readView:
		w.after(w.latency(), func() { reply(w.read()) })
	case commitTxn:
		w.after(w.latency(), func() { w.commit(a.txn, reply) })
	}
}

func (w *raceSim) read() editEvent {
	if w.injectFault(0.3) {
		return readFailed{}
	}
	content := w.table.content()
	set, err := NewSet(&pb.Snapshot{Revision: content.head.GetRevision(), Objects: content.objects})
	if err != nil {
		panic(err)
	}
	w.lastRead = max(w.lastRead, set.Revision())
	return viewRead{set: set, history: content.log, headRowRevision: content.headRowRevision}
}

// commit executes a transaction, loses it or its response, delays it, or rejects it.
func (w *raceSim) commit(txn backing.Txn, answer func(editEvent)) {
	reply := func(event editEvent) { w.after(w.latency(), func() { answer(event) }) }
	switch {
	case w.injectFault(0.2):
		reply(notAccepted{})
	case w.injectFault(0.25):
		reply(responseLost{})
	case w.injectFault(0.3):
		w.apply(txn)
		reply(responseLost{})
	case w.injectFault(0.5):
		w.after(time.Duration(w.random.IntN(600))*time.Millisecond, func() { w.apply(txn) })
		reply(responseLost{})
	case w.apply(txn):
		reply(committed{})
	default:
		reply(conflicted{})
	}
}

func (w *raceSim) apply(txn backing.Txn) bool {
	if _, err := w.table.apply(txn); err != nil {
		return false
	}
	w.committed = append(w.committed, w.table.content().head.GetOperationId())
	return true
}

// runRace runs the simulation of one seed to its end.
func runRace(seed uint64, logKeep uint64, wrap func(*editor) stateMachine) *raceSim {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &raceSim{
		random: random, now: time.Unix(0, 0), table: newMemTable(), logKeep: logKeep, wrap: wrap, faultRate: random.Float64(),
	}
	for i := range 3 {
		o := &operator{sim: w, number: i, remaining: 4}
		w.after(w.latency(), o.next)
	}
	w.run()
	return w
}

// linearizable reports whether the operators' results fit one order of edits that ends in the table's log.
func (w *raceSim) linearizable() bool {
	end := w.now.Add(2 * time.Hour).UnixNano()
	model := editModel
	step := model.Step
	model.Step = func(state, input, output any) []any {
		if log, ok := input.(raceState); ok {
			if slices.Equal(state.(raceState).log, log.log) {
				return []any{state}
			}
			return nil
		}
		return step(state, input, output)
	}
	history := append(slices.Clone(w.ops), porcupine.Operation{
		ClientId: len(w.ops), Input: raceState{log: w.committed}, Call: end, Return: end + 1,
	})
	return porcupine.CheckOperations(model.ToModel(), history)
}

const (
	raceSeeds  = 400
	guardSeeds = 100
)

// An operator is told that an edit was not made, retries it, and later finds both made; or is told that it lost to
// another edit, which turns out to be its own. This happens when responses are lost after the write took effect, writes
// take effect after their sender gave up waiting, and other operators' edits commit in between. The results must always
// fit one order of edits, each of which took effect at most once.
func TestRacingEditsAreLinearizable(t *testing.T) {
	made, conflicts, unknown := 0, 0, 0
	for seed := range uint64(raceSeeds) {
		w := runRace(seed, 1024, func(e *editor) stateMachine { return e })
		if !w.linearizable() {
			t.Fatalf("seed %d: the results are not linearizable:\n%s\nlog %v", seed, w.describe(), w.committed)
		}
		checkMadeOnce(t, seed, w.committed)
		for _, op := range w.ops {
			var conflict *ConflictError
			switch err := op.Output.(raceResult).err; {
			case err == nil:
				made++
			case errors.As(err, &conflict):
				conflicts++
			case errors.Is(err, ErrOutcomeUnknown):
				unknown++
			}
		}
	}
	t.Logf("%d seeds: %d edits made, %d lost to another, %d unknown", raceSeeds, made, conflicts, unknown)
	if made == 0 || conflicts == 0 || unknown == 0 {
		t.Error("the seeds do not cover every outcome")
	}
}

func checkMadeOnce(t *testing.T, seed uint64, log []string) {
	t.Helper()
	sorted := slices.Sorted(slices.Values(log))
	if len(slices.Compact(sorted)) != len(log) {
		t.Fatalf("seed %d: an edit took effect twice: %v", seed, log)
	}
}

func (w *raceSim) describe() string {
	var b strings.Builder
	for _, op := range w.ops {
		fmt.Fprintf(&b, "%6.3f..%8.3f %+v -> %+v\n", float64(op.Call)/1e9, float64(op.Return)/1e9, op.Input, op.Output)
	}
	return b.String()
}

// treatsLostAsFailed is the machine without its first guard: a lost response counts as a failure.
type treatsLostAsFailed struct{ *editor }

func (m treatsLostAsFailed) step(now time.Time, event editEvent) editAction {
	if _, lost := event.(responseLost); lost {
		return m.fail(ErrUnavailable)
	}
	return m.editor.step(now, event)
}

// skipsReadBack is the machine without its second guard: it does not find its own operation in the log.
type skipsReadBack struct{ *editor }

func (m skipsReadBack) step(now time.Time, event editEvent) editAction {
	if view, ok := event.(viewRead); ok {
		view.history = slices.DeleteFunc(slices.Clone(view.history), func(d *pb.Delta) bool {
			return d.GetOperationId() == m.request.OperationID
		})
		event = view
	}
	return m.editor.step(now, event)
}

// trustsOneRead is the machine without its third guard: when one read does not show the lost write, it reports the edit
// as not made.
type trustsOneRead struct{ *editor }

func (m trustsOneRead) step(now time.Time, event editEvent) editAction {
	view, read := event.(viewRead)
	if read && m.inFlight && findOperation(view.history, m.request.OperationID) == nil {
		return m.fail(ErrUnavailable)
	}
	return m.editor.step(now, event)
}

// Removing any one of the guards must be detected by the same seeds; otherwise the test above would prove nothing.
func TestRacingEditsNeedEachGuard(t *testing.T) {
	cases := []struct {
		name string
		wrap func(*editor) stateMachine
	}{
		{"a lost response counts as a failure", func(e *editor) stateMachine { return treatsLostAsFailed{e} }},
		{"the log is not searched for the operation", func(e *editor) stateMachine { return skipsReadBack{e} }},
		{"one read decides that a write is lost", func(e *editor) stateMachine { return trustsOneRead{e} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			detected := 0
			for seed := range uint64(guardSeeds) {
				if !runRace(seed, 1024, c.wrap).linearizable() {
					detected++
				}
			}
			t.Logf("detected in %d of %d seeds", detected, guardSeeds)
			if detected == 0 {
				t.Error("no seed detects the missing guard")
			}
		})
	}
}
