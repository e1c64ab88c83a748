package replicas

import (
	"testing"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Extra slots must not be taken back on the word of a quiet minute: the peak has to cover the whole time.
func TestPeakCoversTheWholeTime(t *testing.T) {
	policy := DefaultPolicy()
	book := newDemandBook(policy)
	samples := []struct {
		after   time.Duration
		running int
		peak    int
		known   bool
	}{
		{0, 9, 9, false},
		{policy.ExtraHold / 2, 2, 9, false},
		{policy.ExtraHold, 3, 9, true},
		{2*policy.ExtraHold - time.Second, 1, 9, true},
		{2 * policy.ExtraHold, 1, 3, true},
	}
	for _, s := range samples {
		now := start.Add(s.after)
		book.sample(now, story, s.running)
		if u := book.demand(now, story).Usage; u.Peak != s.peak || u.Known != s.known {
			t.Errorf("after %v: peak %d, known %v; want %d, %v", s.after, u.Peak, u.Known, s.peak, s.known)
		}
	}
}

// An engine that refuses one request at a time asks for as much as one that refuses them in a batch.
func TestWantsOfOneSecondAddUp(t *testing.T) {
	book := newDemandBook(DefaultPolicy())
	for i := range 10 {
		book.wanted(start.Add(time.Duration(i)*50*time.Millisecond), "e0", story, wirepb.RefusalReason_QUEUE_FULL, 2)
	}
	last := start.Add(10 * time.Second)
	if w := book.demand(start.Add(time.Second), story).Wants; len(w) != 1 || w[0].Waiting != 20 {
		t.Errorf("wants %v, want 20 waiting", w)
	}
	book.wanted(last, "e0", story, wirepb.RefusalReason_QUEUE_FULL, 3)
	if w := book.demand(last, story).Wants[0]; w.Waiting != 3 || !w.First.Equal(start) || !w.Last.Equal(last) {
		t.Errorf("want %v, want 3 waiting since the start", w)
	}
}

// A confirmation may reach a process before the row that it is about. It must not be forgotten at once, nor kept for ever.
func TestConfirmationsAreKeptForAWhile(t *testing.T) {
	book := newDemandBook(DefaultPolicy())
	r := Release{Model: story, Engine: "e0", Host: "h0", Revision: 7}
	if !book.released(start, r) || book.released(start, r) {
		t.Error("the first confirmation is new, the second is not")
	}
	for _, c := range []struct {
		after time.Duration
		want  uint64
	}{{time.Second, 7}, {confirmationLife, 0}} {
		if got := book.confirmed(start.Add(c.after), nil)[story][Holder{Engine: "e0", Host: "h0"}]; got != c.want {
			t.Errorf("after %v: revision %d, want %d", c.after, got, c.want)
		}
	}
}

// The last caller of the evening is refused for lack of memory by all replicas that a model may have. After that the fleet
// is silent. The decision must ask to be taken again when the wish has faded, and go on asking, or the slots that only the
// demand of the day called for stay granted until the morning.
func TestDecisionIsTakenAgainUntilUnneededSlotsAreGone(t *testing.T) {
	s := newSite(models(1), engines(4, "north", "east"))
	model := s.Declared.Models[0].Model
	s.Declared.Models[0].Max = 3
	s.run(t)
	want := Want{Engine: "e0", Reason: wirepb.RefusalReason_QUEUE_FULL, Waiting: 1}
	wish := func() {
		s.pass(DefaultPolicy().GrowInterval)
		want.First, want.Last = s.now, s.now
		s.Demand[model] = Demand{Wants: []Want{want}, Usage: Usage{Known: true}}
	}
	wish()
	s.run(t)
	wish()
	if slots := len(s.Rows[model].Row.Slots); slots != 3 {
		t.Fatalf("%d slots with demand", slots)
	}
	home, _ := DefaultPolicy().bounds(s.Declared.Models[0])
	for s.now.Sub(want.Last) < 4*DefaultPolicy().ExtraHold {
		decision := s.decider.Decide(s.now, &s.Snapshot)
		s.apply(decision.Changes)
		s.confirm()
		if len(decision.Changes) > 0 {
			continue
		}
		if len(s.Rows[model].Row.Slots) == home {
			return
		}
		if decision.Again.IsZero() {
			break
		}
		s.now = decision.Again
	}
	t.Errorf("%d slots remain of %d home slots, %v after the last wish", len(s.Rows[model].Row.Slots), home, s.now.Sub(want.Last))
}
