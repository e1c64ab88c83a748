package entry

import (
	"strconv"
	"testing"
	"time"

	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/wire/wirepb"
)

// edit makes one edit of the declarations and returns its revision.
func edit(t *testing.T, e *Entry) uint64 {
	t.Helper()
	label := map[string]string{"edit": strconv.FormatInt(time.Now().UnixNano(), 10)}
	key := &pb.ObjectKey{Kind: declarations.KindEngine, Name: "engine-9"}
	result, err := e.store.Edit(t.Context(), declarations.EditRequest{
		Author: "test",
		Change: declarations.SetLabels(key, label, nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// An entry restarts while the agents already hold the declarations from other entries. What it sends to each agent must
// depend on the revision that the agent reports. A snapshot to every agent used to keep an entry of a large fleet busy
// for minutes; it lost agents to heartbeat timeouts, which reconnected and were sent the snapshot again.
func TestDeclarationsFollowWhatAnAgentHolds(t *testing.T) {
	cases := []struct {
		name string
		// behind is how many revisions the agent lacks; negative means all of them.
		behind int
		// after is set when another edit is made once the agent has reported.
		after                   bool
		wantSnapshot, wantDelta bool
	}{
		{name: "no declarations", behind: -1, wantSnapshot: true},
		{name: "one revision behind", behind: 1, wantDelta: true},
		{name: "the newest revision, then another edit", behind: 0, after: true, wantDelta: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agent := newScriptedAgent(t)
			e := startEntry(t, agent.address)
			edit(t, e)
			newest := edit(t, e)
			control := <-agent.stream
			held := uint64(0)
			if c.behind >= 0 {
				held = newest - uint64(c.behind)
			}
			status := &wirepb.Status{Full: true, Endpoint: "engine-1", Kind: kindEngine, Ready: true, DeclarationsRevision: held}
			if err := control.Write(&wirepb.ControlUp{Status: status}); err != nil {
				t.Fatal(err)
			}
			if c.after {
				awaitConnected(t, e, "engine-1")
				newest = edit(t, e)
			}
			var got *wirepb.ControlDown
			readUntil(t, control, func(down *wirepb.ControlDown) bool {
				got = down
				return down.Snapshot != nil || len(down.Deltas) > 0
			})
			if (got.Snapshot != nil) != c.wantSnapshot || (len(got.Deltas) > 0) != c.wantDelta {
				t.Fatalf("snapshot of revision %d and %d deltas", got.Snapshot.GetRevision(), len(got.Deltas))
			}
			if c.wantDelta && (len(got.Deltas) != 1 || got.Deltas[0].Revision != newest) {
				t.Errorf("%d deltas, the first of revision %d, want the one of %d", len(got.Deltas), got.Deltas[0].Revision, newest)
			}
		})
	}
}

// awaitConnected waits until the entry has processed an agent's report.
func awaitConnected(t *testing.T, e *Entry, endpoint string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if ep := e.members.Endpoint(endpoint); ep != nil && ep.Connected {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the agent's report was not processed")
		}
	}
}
