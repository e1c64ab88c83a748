package entry

import (
	"sync"
	"testing"
	"time"

	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	standin "balsamsail/internal/standin/platform"
	"balsamsail/internal/wire/wirepb"
)

// The table goes down right after another entry had an edit accepted and pushed it to the agents. This entry cannot
// read the new revision from the table and must get it from an agent, because the operator was told that it is
// accepted.
func TestEntryCatchesUpFromAnAgent(t *testing.T) {
	agent := newScriptedAgent(t)
	e, site := startEntryAt(t, agent.address)
	control := <-agent.stream
	readUntil(t, control, func(*wirepb.ControlDown) bool { return true })
	site.Faults().Update(func(f *standin.Faults) { f.Table.Outage = true })

	const revision = 7
	report := func(full bool) *wirepb.ControlUp {
		return &wirepb.ControlUp{Status: &wirepb.Status{
			Full: full, Endpoint: "engine-1", Kind: kindEngine, Ready: true, DeclarationsRevision: revision,
		}}
	}
	if err := control.Write(report(true)); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				_ = control.Write(report(false))
			}
		}
	})
	readUntil(t, control, func(down *wirepb.ControlDown) bool { return down.WantState })
	close(stop)
	heartbeats.Wait()
	changed := e.store.Changed()
	drained := declarations.EngineObject(&pb.Engine{Name: "engine-9", Drain: true})
	up := report(false)
	up.Snapshot = &pb.Snapshot{Revision: revision, Objects: []*pb.Object{drained}}
	if err := control.Write(up); err != nil {
		t.Fatal(err)
	}
	select {
	case <-changed:
	case <-time.After(10 * time.Second):
		t.Fatal("the entry did not apply the agent's declarations")
	}
	if got := e.store.Current().Revision(); got != revision {
		t.Errorf("revision %d in force, want %d", got, revision)
	}
}

func TestBehindAsksOnlyWhenTheTableDoesNotShowIt(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name           string
		after          []time.Duration
		held, reported uint64
		want           []bool
	}{
		{"not behind", []time.Duration{0, 5 * time.Second}, 4, 4, []bool{false, false}},
		{"waits for the table first", []time.Duration{0, lagTolerance - 1}, 4, 5, []bool{false, false}},
		{"then requests once", []time.Duration{0, lagTolerance, lagTolerance + 1}, 4, 5, []bool{false, true, false}},
		{"requests again without a reply", []time.Duration{0, lagTolerance, lagTolerance + lagRetryInterval}, 4, 5, []bool{false, true, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b revisionLag
			for i, d := range c.after {
				if got := b.shouldRequest(start.Add(d), c.held, c.reported); got != c.want[i] {
					t.Errorf("after %v: request %v, want %v", d, got, c.want[i])
				}
			}
		})
	}
}
