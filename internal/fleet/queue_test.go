package fleet

import (
	"testing"
	"time"

	"balsamsail/internal/catalog"
)

// oneEngine returns a view of one engine with a batch of 8 and model m loaded.
func oneEngine() *Fleet {
	f := New("here", 1)
	class := &catalog.EngineClass{Batch: 8, Models: map[string]catalog.Model{"m": {Name: "m", StoreLoadTime: 6 * time.Second}}}
	f.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{"s": {Name: "s", Engine: class}}, nil))
	f.SetEndpoints([]catalog.Endpoint{{ID: "e1", Service: "s", Address: "a1", Slots: 8, Revision: 1}})
	f.SetState("e1", &EngineState{EndpointID: "e1", Models: map[string]map[string]bool{"m": {}}}, 0, 0, start)
	return f
}

func requestDue(onTime time.Duration) *Request {
	return &Request{Target: Target{Service: "s", Model: "m"}, OnTime: start.Add(onTime)}
}

// Load pattern: more requests than the only replica of a model can serve. What exceeds the engine's batch must wait at the
// gateway, where it can be refused, and not in the engine's queue until its client leaves.
func TestFullEngineGetsNoMore(t *testing.T) {
	f := oneEngine()
	sent := 0
	for range 30 {
		if _, reason, ok := f.Choose(start, requestDue(time.Second)); ok {
			sent++
		} else if reason != EnginesFull {
			t.Fatalf("reason %v, want EnginesFull", reason)
		}
	}
	if want := 8 + 8/queueDivisor; sent != want {
		t.Errorf("%d requests sent to a batch of 8, want %d", sent, want)
	}
	resuming := requestDue(time.Second)
	resuming.Resuming = true
	if _, _, ok := f.Choose(start, resuming); !ok {
		t.Error("the rest of a stream waits for a place")
	}
	f.SetState("e1", nil, 6, 0, start)
	if _, _, ok := f.Choose(start, requestDue(time.Second)); !ok {
		t.Error("no endpoint after the engine has reported free places")
	}
}

// Load pattern: requests wait for the places of a full engine. A place goes to the request that is late soonest and can
// still be on time, then to the late ones in the order of arrival; a new request does not take a place before them.
func TestPlacesGoToThoseWhoCanBeOnTime(t *testing.T) {
	f := oneEngine()
	f.SetState("e1", nil, 9, 0, start)
	late, soon, later := requestDue(-time.Second), requestDue(200*time.Millisecond), requestDue(900*time.Millisecond)
	waiters := []*Request{late, later, soon}
	for _, r := range waiters {
		if _, reason, ok := f.Choose(start, r); ok || reason != EnginesFull {
			t.Fatalf("chosen %v, reason %v; want EnginesFull", ok, reason)
		}
		f.WaitForPlace(r, start)
	}
	f.SetState("e1", nil, 8, 0, start)
	for _, r := range []*Request{requestDue(2 * time.Second), late, later} {
		if _, _, ok := f.Choose(start, r); ok {
			t.Error("a request took the place of one that goes before it")
		}
	}
	if _, _, ok := f.Choose(start, soon); !ok {
		t.Error("the request that is late soonest got no place")
	}
	f.StopWaitingForPlace(soon)
	f.SetState("e1", nil, 7, 0, start)
	if q := f.Queue(start.Add(time.Second), late); q.AheadOnTime != 0 || q.FullFor != time.Second {
		t.Errorf("queue %+v, want none ahead that can be on time, and the engine full for a second", q)
	}
	for _, r := range []*Request{later, late} {
		if _, _, ok := f.Choose(start, r); !ok {
			t.Error("a waiting request got no place of two")
		}
		f.StopWaitingForPlace(r)
	}
}

// Load pattern: the weight store is slower than declared while many loads run. What waiting requests are told must follow
// the loads that have ended.
func TestReadyInFollowsTheLoads(t *testing.T) {
	f := oneEngine()
	target := Target{Service: "s", Model: "m"}
	load := func(now time.Time, models map[string]map[string]bool, loading string) {
		f.SetState("e1", &EngineState{EndpointID: "e1", Models: models, Busy: loading != "", Loading: loading}, 0, 0, now)
	}
	load(start, nil, "")
	if got := f.ReadyIn(start, target); got < 6*time.Second || got > 7*time.Second {
		t.Errorf("ready in %v before any load, want the nominal 6 s and a little", got)
	}
	load(start, nil, "m")
	now := start.Add(18 * time.Second)
	load(now, map[string]map[string]bool{"m": {}}, "")
	load(now, nil, "")
	if got := f.ReadyIn(now, target); got < 10*time.Second {
		t.Errorf("ready in %v after a load that took three times as long, want 10 s or more", got)
	}
}

func TestRateMeter(t *testing.T) {
	var m rateMeter
	for i := range 100 {
		m.add(start.Add(time.Duration(i) * 20 * time.Millisecond))
	}
	if got := m.rate(start.Add(2 * time.Second)); got < 40 || got > 60 {
		t.Errorf("rate %.1f after two seconds with 50 events each, want about 50", got)
	}
	if got := m.rate(start.Add(12 * time.Second)); got > 1 {
		t.Errorf("rate %.1f ten seconds later, want less than 1", got)
	}
}

// The only engine that has a model loaded has just rejected a request for it, by a report that is out of date either way.
// The next request must wait for the next report, and not be told the time of a load from the weight store.
func TestReadyInOfARejectedModel(t *testing.T) {
	f := oneEngine()
	target := Target{Service: "s", Model: "m"}
	f.Absent(start, choiceOf(f, "e1"), requestDue(time.Second))
	if _, reason, ok := f.Choose(start, requestDue(time.Second)); ok || reason != ModelNotLoaded {
		t.Fatalf("chosen %v, reason %v; want ModelNotLoaded", ok, reason)
	}
	if got := f.ReadyIn(start, target); got > time.Second {
		t.Errorf("ready in %v, want less than a second", got)
	}
}
