package declarations

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	pb "balsamsail/internal/declarations/declarationspb"
)

// chain returns the deltas of revisions 1 to n, each of which sets the label of the same engine, and the snapshots of
// revisions 0 to n.
func chain(n int) ([]*pb.Delta, []*pb.Snapshot) {
	set := Empty()
	var deltas []*pb.Delta
	snapshots := []*pb.Snapshot{set.Snapshot()}
	for i := range n {
		engine := &pb.Engine{Name: "e", Labels: map[string]string{"revision": fmt.Sprintf("r%d", i+1)}}
		delta := &pb.Delta{Revision: uint64(i) + 1, OperationId: fmt.Sprintf("op%d", i+1), Put: []*pb.Object{EngineObject(engine)}}
		deltas = append(deltas, delta)
		set, _ = set.Apply(delta)
		snapshots = append(snapshots, set.Snapshot())
	}
	return deltas, snapshots
}

// labelOf returns the label that chain's deltas set, which identifies the revision of the set's content.
func labelOf(set *Set) string {
	engine, _ := set.Engine("e")
	return engine.GetLabels()["revision"]
}

// Two entries send their declarations to one agent, and the slower one's older snapshot or delta arrives after the
// newer one: the operator sees a change in force and a moment later the old state again. Whatever the order, duplicates
// and gaps, the agent's revision must never decrease, its content must match its revision, and a missing delta must be
// reported as a gap.
func TestReceiverOnlyGoesForward(t *testing.T) {
	const newest = 12
	deltas, snapshots := chain(newest)
	parameters := gopter.DefaultTestParametersWithSeed(99)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("revisions rise", prop.ForAll(func(messages []int) bool {
		receiver := NewReceiver()
		for _, message := range messages {
			before := receiver.Revision()
			changed := receiver.Changed()
			revision := uint64(message/2)%newest + 1
			var applied, gap bool
			if message%2 == 0 {
				applied = receiver.ApplySnapshot(snapshots[revision])
			} else {
				applied, gap = receiver.ApplyDelta(deltas[revision-1])
			}
			after := receiver.Revision()
			wantLabel := ""
			if after > 0 {
				wantLabel = fmt.Sprintf("r%d", after)
			}
			fits := after >= before && applied == (after > before) && labelOf(receiver.Current()) == wantLabel
			wantsGap := message%2 == 1 && revision > before+1
			if !fits || gap != wantsGap || isClosed(changed) != applied {
				return false
			}
		}
		return receiver.Err() == nil
	}, gen.SliceOf(gen.IntRange(0, 2*newest*3))))
	properties.TestingRun(t)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// An agent of an older build gets a selector in a syntax that it cannot parse. It must keep its current set and report
// the error, not apply part of a revision.
func TestReceiverKeepsItsSetWhenItCannotRead(t *testing.T) {
	receiver := NewReceiver()
	_, snapshots := chain(3)
	receiver.ApplySnapshot(snapshots[3])
	unreadable := ModelObject(&pb.Model{Name: "m", EngineSelector: "gpu >"})
	if applied, gap := receiver.ApplyDelta(&pb.Delta{Revision: 4, Put: []*pb.Object{unreadable}}); applied || !gap {
		t.Errorf("delta: applied %v, gap %v", applied, gap)
	}
	if receiver.ApplySnapshot(&pb.Snapshot{Revision: 4, Objects: []*pb.Object{unreadable}}) {
		t.Error("the snapshot was applied")
	}
	if receiver.Revision() != 3 || labelOf(receiver.Current()) != "r3" || receiver.Err() == nil {
		t.Errorf("holds revision %d, error %v", receiver.Revision(), receiver.Err())
	}
}

func TestHolderTellsDeltasSince(t *testing.T) {
	deltas, snapshots := chain(6)
	apply := func(h *holder, numbers ...int) {
		for _, n := range numbers {
			if err := h.apply(deltas[n-1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	cases := []struct {
		name  string
		keep  int
		fill  func(h *holder)
		since uint64
		want  int
		ok    bool
	}{
		{"all", 10, func(h *holder) { apply(h, 1, 2, 3) }, 0, 3, true},
		{"some", 10, func(h *holder) { apply(h, 1, 2, 3) }, 2, 1, true},
		{"none", 10, func(h *holder) { apply(h, 1, 2, 3) }, 3, 0, true},
		{"reader is ahead", 10, func(h *holder) { apply(h, 1, 2, 3) }, 5, 0, true},
		{"dropped", 2, func(h *holder) { apply(h, 1, 2, 3) }, 0, 0, false},
		{"just kept", 2, func(h *holder) { apply(h, 1, 2, 3) }, 1, 2, true},
		{"across a snapshot", 10, func(h *holder) { apply(h, 1); h.replace(mustSet(t, 4, snapshots[4].Objects)); apply(h, 5) }, 1, 0, false},
		{"after a snapshot", 10, func(h *holder) { apply(h, 1); h.replace(mustSet(t, 4, snapshots[4].Objects)); apply(h, 5) }, 4, 1, true},
		{"gap filled from the log", 10, func(h *holder) {
			apply(h, 1)
			h.replace(mustSet(t, 4, snapshots[4].Objects))
			apply(h, 5)
			h.backfill(deltas)
		}, 0, 5, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHolder(c.keep)
			c.fill(h)
			got, ok := h.since(c.since)
			if ok != c.ok || len(got) != c.want {
				t.Fatalf("since(%d) = %d deltas, %v, want %d, %v", c.since, len(got), ok, c.want, c.ok)
			}
			for i, delta := range got {
				if delta.Revision != c.since+uint64(i)+1 {
					t.Errorf("delta %d has revision %d", i, delta.Revision)
				}
			}
		})
	}
}
