package replicas

import (
	"testing"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// A short idle period must not release extra slots: the peak has to cover the whole of ExtraHold.
func TestPeakCoversTheWholeTime(t *testing.T) {
	policy := DefaultPolicy()
	tracker := newDemandTracker(policy)
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
		tracker.recordUsage(now, testModel, s.running)
		if u := tracker.demand(now, testModel).Usage; u.Peak != s.peak || u.Known != s.known {
			t.Errorf("after %v: peak %d, known %v; want %d, %v", s.after, u.Peak, u.Known, s.peak, s.known)
		}
	}
}

// An engine that refuses requests one by one must count as much as one that reports them in a batch.
func TestSlotRequestsOfOneSecondAddUp(t *testing.T) {
	tracker := newDemandTracker(DefaultPolicy())
	for i := range 10 {
		tracker.addSlotRequest(start.Add(time.Duration(i)*50*time.Millisecond), "e0", testModel, wirepb.RefusalReason_QUEUE_FULL, 2)
	}
	last := start.Add(10 * time.Second)
	if req := tracker.demand(start.Add(time.Second), testModel).SlotRequests; len(req) != 1 || req[0].Waiting != 20 {
		t.Errorf("slot requests %v, want 20 waiting", req)
	}
	tracker.addSlotRequest(last, "e0", testModel, wirepb.RefusalReason_QUEUE_FULL, 3)
	if req := tracker.demand(last, testModel).SlotRequests[0]; req.Waiting != 3 || !req.First.Equal(start) || !req.Last.Equal(last) {
		t.Errorf("slot request %v, want 3 waiting since the start", req)
	}
}

// A confirmation may reach a process before the row that it refers to. It must not be dropped at once, nor kept
// forever.
func TestConfirmationsAreKeptForAWhile(t *testing.T) {
	tracker := newDemandTracker(DefaultPolicy())
	r := Release{Model: testModel, Engine: "e0", Host: "h0", Revision: 7}
	if !tracker.addRelease(start, r) || tracker.addRelease(start, r) {
		t.Error("the first confirmation is new, the second is not")
	}
	for _, c := range []struct {
		after time.Duration
		want  uint64
	}{{time.Second, 7}, {confirmationTTL, 0}} {
		if got := tracker.confirmedRevisions(start.Add(c.after), nil)[testModel][Holder{Engine: "e0", Host: "h0"}]; got != c.want {
			t.Errorf("after %v: revision %d, want %d", c.after, got, c.want)
		}
	}
}

// The last request before the fleet becomes idle is refused by all replicas that a model may have. The decision must
// schedule a recheck for when the slot request expires, and continue to do so; otherwise slots that were granted only
// for the earlier demand stay granted until the next event.
func TestDecisionIsTakenAgainUntilUnneededSlotsAreGone(t *testing.T) {
	s := newSite(models(1), engines(4, "north", "east"))
	model := s.Declared.Models[0].Model
	s.Declared.Models[0].Max = 3
	s.run(t)
	want := SlotRequest{Engine: "e0", Reason: wirepb.RefusalReason_QUEUE_FULL, Waiting: 1}
	request := func() {
		s.advance(DefaultPolicy().GrowInterval)
		want.First, want.Last = s.now, s.now
		s.Demand[model] = Demand{SlotRequests: []SlotRequest{want}, Usage: Usage{Known: true}}
	}
	request()
	s.run(t)
	request()
	if slots := len(s.Rows[model].Row.Slots); slots != 3 {
		t.Fatalf("%d slots with demand", slots)
	}
	baseline, _ := DefaultPolicy().bounds(s.Declared.Models[0])
	for s.now.Sub(want.Last) < 4*DefaultPolicy().ExtraHold {
		decision := s.decider.Decide(s.now, &s.Snapshot)
		s.apply(decision.Changes)
		s.confirmReleases()
		if len(decision.Changes) > 0 {
			continue
		}
		if len(s.Rows[model].Row.Slots) == baseline {
			return
		}
		if decision.RecheckAt.IsZero() {
			break
		}
		s.now = decision.RecheckAt
	}
	t.Errorf("%d slots remain of baseline %d, %v after the last request", len(s.Rows[model].Row.Slots), baseline, s.now.Sub(want.Last))
}
