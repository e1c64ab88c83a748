package control

import (
	"sync"
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
	"balsamsail/internal/fleet"
	"balsamsail/internal/hubs"
	"balsamsail/internal/streams"
	"balsamsail/internal/watch"
)

// newUpstreamAlone returns an upstream side that is not run, and what it feeds.
func newUpstreamAlone() (*Upstream, *fleet.Fleet, *rowSink) {
	options := testOptions("127.0.0.1:1")
	f := fleet.New("here", 1)
	f.SetEndpoints([]catalog.Endpoint{{ID: "e1", Service: "s", Address: "127.0.0.1:9", Revision: 1}})
	facts := NewFacts(crashes.New(), crashes.NewParts(mayHaveEnded), streams.New())
	rows := &rowSink{values: make(map[string]string)}
	replicas := []*watch.Replica{watch.NewReplica("t", rows)}
	hub := NewHub(options, f, facts, replicas, discardLogger)
	agents := NewAgents(options, 1, f, discardLogger)
	return NewUpstream(options, hubs.Gateway{Address: options.Self}, agents, hub, f, facts, replicas, discardLogger), f, rows
}

func newTestSubscription() *subscription {
	return &subscription{
		link: &link{wakeup: make(chan struct{}, 1)}, cancel: func() {}, ready: make(chan struct{}), done: make(chan struct{}),
		progress: time.AfterFunc(time.Hour, func() {}),
	}
}

// siteUpdate returns a message with a row of the table at a revision and an engine that holds a model.
func siteUpdate(revision int64, model string) arrivedUpdate {
	return arrivedUpdate{at: time.Now(), message: &controlpb.SiteUpdate{
		Tables:  []*controlpb.TableChange{{Table: "t", Replace: true, Revision: revision, Rows: []*controlpb.Row{{Key: "k", Revision: revision}}}},
		Engines: []*controlpb.EngineChange{{EndpointId: "e1", Reported: true, State: &controlpb.EngineState{EndpointId: "e1", Replicas: []*controlpb.Replica{{Model: model}}}}},
	}}
}

// Guards against the state of an engine that stays as the earlier hub has it, because its message is applied after all that the new one
// knows.
func TestEarlierHubDoesNotReplaceTheNewOnesState(t *testing.T) {
	u, f, rows := newUpstreamAlone()
	earlier, later := newTestSubscription(), newTestSubscription()
	u.handle(earlier, siteUpdate(1, "a"))
	var handling sync.WaitGroup
	rows.mu.Lock()
	handling.Go(func() { u.handle(earlier, siteUpdate(2, "b")) })
	time.Sleep(50 * time.Millisecond)
	first := siteUpdate(3, "c")
	first.message.Tables = nil
	handling.Go(func() { u.handle(later, first) })
	time.Sleep(50 * time.Millisecond)
	rows.mu.Unlock()
	handling.Wait()
	view := f.RelayView(time.Now())
	if len(view) != 1 || view[0].State.Models["c"] == nil {
		t.Errorf("engines %+v, want one that holds c", view)
	}
}
