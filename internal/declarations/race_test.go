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

// The tests of this file play operators who race each other with conflicting edits while the table loses answers, lets
// writes take effect late and refuses calls. Everything runs on one goroutine in made-up time, so that a seed always
// gives the same history; porcupine then decides whether what the operators were told can be true.

// raceCall is one edit as its operator sees it.
type raceCall struct {
	id      string
	basedOn uint64
	author  string
}

// raceAnswer is what the operator was told.
type raceAnswer struct {
	revision uint64
	err      error
}

// raceState is the log of the declarations: the operation that made each revision.
type raceState struct{ log []string }

func (s raceState) with(call raceCall) raceState {
	return raceState{log: append(slices.Clip(s.log), call.id)}
}

// made returns the revision that an operation made, or 0.
func (s raceState) made(id string) uint64 { return uint64(slices.Index(s.log, id) + 1) }

// editModel is the register that edits must behave as: an edit takes effect at most once, at one moment between its call
// and its answer, and on the revision that it was based on.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{raceState{}} },
	Step: func(state, input, output any) []any {
		return stepModel(state.(raceState), input.(raceCall), output.(raceAnswer))
	},
	Equal: func(a, b any) bool { return slices.Equal(a.(raceState).log, b.(raceState).log) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

func stepModel(state raceState, call raceCall, answer raceAnswer) []any {
	newest := uint64(len(state.log))
	mayMake := state.made(call.id) == 0 && (call.basedOn == 0 || call.basedOn == newest)
	var conflict *ConflictError
	switch {
	case answer.err == nil && state.made(call.id) == answer.revision:
		return []any{state}
	case answer.err == nil && mayMake && answer.revision == newest+1:
		return []any{state.with(call)}
	case errors.As(answer.err, &conflict):
		if state.made(call.id) == 0 && call.basedOn != 0 && conflict.Revision == newest && call.basedOn < newest &&
			conflict.Winner == call.basedOn+1 && conflict.Author == authorOf(state.log[call.basedOn]) {
			return []any{state}
		}
	case errors.Is(answer.err, ErrOutcomeUnknown):
		if mayMake {
			return []any{state, state.with(call)}
		}
		return []any{state}
	case errors.Is(answer.err, ErrUnavailable):
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

// raceWorld is the table and the operators.
type raceWorld struct {
	random *rand.Rand
	now    time.Time
	table  *memTable
	// made lists the operations in the order in which they took effect, past any trimming of the log.
	made []string
	keep uint64
	// faults is the chance that a call goes wrong.
	faults float64
	events []raceEvent
	ops    []porcupine.Operation
	// lastBase is the newest revision that any operator has read, which the next edits are based on.
	lastBase uint64
	wrap     func(*editor) stepper
}

// raceEvent runs at a time; events of one time run in the order in which they were made.
type raceEvent struct {
	at  time.Time
	run func()
}

func (w *raceWorld) after(d time.Duration, run func()) {
	w.events = append(w.events, raceEvent{at: w.now.Add(d), run: run})
}

func (w *raceWorld) run() {
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

func (w *raceWorld) hits(share float64) bool { return w.random.Float64() < w.faults*share }

func (w *raceWorld) latency() time.Duration {
	return time.Duration(1+w.random.IntN(30)) * time.Millisecond
}

// operator makes edits one after another and repeats those whose outcome it was not told.
type operator struct {
	world  *raceWorld
	number int
	left   int
}

func (o *operator) next() {
	if o.left == 0 {
		return
	}
	o.left--
	call := raceCall{author: fmt.Sprintf("operator%d", o.number)}
	call.id = fmt.Sprintf("%s-%d", call.author, o.left)
	if o.world.random.IntN(3) > 0 {
		call.basedOn = o.world.lastBase
	}
	o.edit(call, 1)
}

const raceDeadline = 400 * time.Millisecond

func (o *operator) edit(call raceCall, repeats int) {
	w := o.world
	called := w.now
	e := &editor{
		request: EditRequest{
			BasedOn: call.basedOn, Author: call.author, OperationID: call.id,
			Change: PutObjects([]*pb.Object{EngineObject(&pb.Engine{Name: "e", Labels: map[string]string{"by": call.id}})}, nil),
		},
		deadline: w.now.Add(raceDeadline), keep: w.keep, random: rand.New(rand.NewPCG(w.random.Uint64(), 0)),
	}
	machine := w.wrap(e)
	w.carryOut(machine, machine.start(), func(end finish) {
		returned := w.now
		if errors.Is(end.err, ErrOutcomeUnknown) {
			// The write may still take effect, so the call counts as open for good.
			returned = w.now.Add(time.Hour)
		}
		w.ops = append(w.ops, porcupine.Operation{
			ClientId: len(w.ops), Input: call, Output: raceAnswer{end.result.Revision, end.err},
			Call: called.UnixNano(), Return: returned.UnixNano(),
		})
		if errors.Is(end.err, ErrOutcomeUnknown) && repeats > 0 {
			w.after(w.latency(), func() { o.edit(call, repeats-1) })
			return
		}
		w.after(w.latency(), o.next)
	})
}

// carryOut answers a machine's actions until it finishes.
func (w *raceWorld) carryOut(machine stepper, action editAction, done func(finish)) {
	answer := func(event editEvent) { w.carryOut(machine, machine.step(w.now, event), done) }
	switch a := action.(type) {
	case finish:
		done(a)
	case wait:
		w.after(a.duration, func() { answer(waited{}) })
	case readView:
		w.after(w.latency(), func() { answer(w.read()) })
	case commitTxn:
		w.after(w.latency(), func() { w.commit(a.txn, answer) })
	}
}

func (w *raceWorld) read() editEvent {
	if w.hits(0.3) {
		return readFailed{}
	}
	content := w.table.content()
	set, err := NewSet(&pb.Snapshot{Revision: content.head.GetRevision(), Objects: content.objects})
	if err != nil {
		panic(err)
	}
	w.lastBase = max(w.lastBase, set.Revision())
	return viewRead{set: set, history: content.log, headRow: content.headRow}
}

// commit lets a transaction through, or loses it or its answer, delays it, or refuses it.
func (w *raceWorld) commit(txn backing.Txn, answer func(editEvent)) {
	reply := func(event editEvent) { w.after(w.latency(), func() { answer(event) }) }
	switch {
	case w.hits(0.2):
		reply(refused{})
	case w.hits(0.25):
		reply(answerLost{})
	case w.hits(0.3):
		w.apply(txn)
		reply(answerLost{})
	case w.hits(0.5):
		w.after(time.Duration(w.random.IntN(600))*time.Millisecond, func() { w.apply(txn) })
		reply(answerLost{})
	case w.apply(txn):
		reply(committed{})
	default:
		reply(conflicted{})
	}
}

func (w *raceWorld) apply(txn backing.Txn) bool {
	if _, err := w.table.apply(txn); err != nil {
		return false
	}
	w.made = append(w.made, w.table.content().head.GetOperationId())
	return true
}

// race plays one seed and returns the history with a last read of the whole log.
func race(seed uint64, keep uint64, wrap func(*editor) stepper) *raceWorld {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &raceWorld{
		random: random, now: time.Unix(0, 0), table: newMemTable(), keep: keep, wrap: wrap, faults: random.Float64(),
	}
	for i := range 3 {
		o := &operator{world: w, number: i, left: 4}
		w.after(w.latency(), o.next)
	}
	w.run()
	return w
}

// legal says whether the operators' answers fit one order of edits that ends in the table's log.
func (w *raceWorld) legal() bool {
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
		ClientId: len(w.ops), Input: raceState{log: w.made}, Call: end, Return: end + 1,
	})
	return porcupine.CheckOperations(model.ToModel(), history)
}

const (
	raceSeeds  = 400
	guardSeeds = 100
)

// An operator is told that an edit was not made, tries again, and later finds both made; or is told that it lost to
// another edit, which turns out to be its own. Answers of the table are lost after the write took effect, writes take
// effect after their sender has given up on the answer, and other operators' edits come in between. What operators are
// told must always fit one order of edits, each of which took effect at most once.
func TestRacingEditsAreLinearizable(t *testing.T) {
	made, conflicts, unknown := 0, 0, 0
	for seed := range uint64(raceSeeds) {
		w := race(seed, 1024, func(e *editor) stepper { return e })
		if !w.legal() {
			t.Fatalf("seed %d: no order of edits fits the answers:\n%s\nlog %v", seed, w.describe(), w.made)
		}
		checkMadeOnce(t, seed, w.made)
		for _, op := range w.ops {
			var conflict *ConflictError
			switch err := op.Output.(raceAnswer).err; {
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
		t.Error("the seeds don't reach every outcome")
	}
}

func checkMadeOnce(t *testing.T, seed uint64, log []string) {
	t.Helper()
	sorted := slices.Sorted(slices.Values(log))
	if len(slices.Compact(sorted)) != len(log) {
		t.Fatalf("seed %d: an edit took effect twice: %v", seed, log)
	}
}

func (w *raceWorld) describe() string {
	var b strings.Builder
	for _, op := range w.ops {
		fmt.Fprintf(&b, "%6.3f..%8.3f %+v -> %+v\n", float64(op.Call)/1e9, float64(op.Return)/1e9, op.Input, op.Output)
	}
	return b.String()
}

// claimsFailure is the machine without its first guard: a lost answer counts as a failure.
type claimsFailure struct{ *editor }

func (m claimsFailure) step(now time.Time, event editEvent) editAction {
	if _, lost := event.(answerLost); lost {
		return m.fail(ErrUnavailable)
	}
	return m.editor.step(now, event)
}

// neverReadsBack is the machine without its second guard: it doesn't find its own operation in the log.
type neverReadsBack struct{ *editor }

func (m neverReadsBack) step(now time.Time, event editEvent) editAction {
	if view, ok := event.(viewRead); ok {
		view.history = slices.DeleteFunc(slices.Clone(view.history), func(d *pb.Delta) bool {
			return d.GetOperationId() == m.request.OperationID
		})
		event = view
	}
	return m.editor.step(now, event)
}

// trustsOneRead is the machine without its third guard: when a read shows that the lost write is not there, it gives up
// on it as not made.
type trustsOneRead struct{ *editor }

func (m trustsOneRead) step(now time.Time, event editEvent) editAction {
	view, read := event.(viewRead)
	if read && m.inFlight && findOperation(view.history, m.request.OperationID) == nil {
		return m.fail(ErrUnavailable)
	}
	return m.editor.step(now, event)
}

// Without any one of its guards the machine must be caught by the same seeds, or the test above would prove nothing.
func TestRacingEditsNeedEachGuard(t *testing.T) {
	cases := []struct {
		name string
		wrap func(*editor) stepper
	}{
		{"a lost answer counts as a failure", func(e *editor) stepper { return claimsFailure{e} }},
		{"the own operation isn't read back", func(e *editor) stepper { return neverReadsBack{e} }},
		{"one read decides that a write is lost", func(e *editor) stepper { return trustsOneRead{e} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			caught := 0
			for seed := range uint64(guardSeeds) {
				if !race(seed, 1024, c.wrap).legal() {
					caught++
				}
			}
			t.Logf("caught in %d of %d seeds", caught, guardSeeds)
			if caught == 0 {
				t.Error("no seed catches the missing guard")
			}
		})
	}
}
