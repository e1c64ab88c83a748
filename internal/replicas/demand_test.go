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
