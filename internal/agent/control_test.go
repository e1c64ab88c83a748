package agent

import (
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// awaitBatch reads batches until one matches and returns it.
func awaitBatch(t *testing.T, s *wire.Stream, failure string, matches func(*wirepb.ControlUp) bool) *wirepb.ControlUp {
	t.Helper()
	_ = s.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		up := &wirepb.ControlUp{}
		if err := s.Read(up); err != nil {
			t.Fatalf("%s: %v", failure, err)
		}
		if matches(up) {
			return up
		}
	}
}

// The agent must apply what an entry sends on its control stream and report the result back.
func TestControlBatches(t *testing.T) {
	down := func(change func(*wirepb.ControlDown)) *wirepb.ControlDown {
		d := &wirepb.ControlDown{Sequence: 1, Snapshot: snapshot()}
		change(d)
		return d
	}
	cases := []struct {
		name string
		down *wirepb.ControlDown
		want func(*wirepb.ControlUp) bool
	}{
		{"the first status is complete", down(func(*wirepb.ControlDown) {}), func(up *wirepb.ControlUp) bool {
			s := up.Status
			return s.GetFull() && s.Endpoint == "endpoint-1" && s.Kind == KindEngine && s.Labels["pool"] == "a"
		}},
		{"a batch is acknowledged", down(func(d *wirepb.ControlDown) { d.Sequence = 7 }), func(up *wirepb.ControlUp) bool {
			return up.Acknowledged == 7
		}},
		{"declarations are applied", down(func(*wirepb.ControlDown) {}), func(up *wirepb.ControlUp) bool {
			return up.Status.GetDeclarationsRevision() == 1
		}},
		{"a gap requests a snapshot", down(func(d *wirepb.ControlDown) { d.Deltas = []*pb.Delta{{Revision: 5}} }), func(up *wirepb.ControlUp) bool {
			return up.WantSnapshot
		}},
		{"the state is sent on request", down(func(d *wirepb.ControlDown) { d.WantState = true }), func(up *wirepb.ControlUp) bool {
			return up.Snapshot.GetRevision() == 1 && len(up.Rows) == 1 && up.Rows[0].Model == "m@1"
		}},
		{"a leaving host drains the agent", down(func(d *wirepb.ControlDown) { d.HostState = wirepb.HostState_HOST_LEAVING }), func(up *wirepb.ControlUp) bool {
			return up.Status.GetLeaving()
		}},
	}
	_, url := standinEngine(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startAgent(t, agentSettings{kind: KindEngine, url: url, table: &fakeTable{models: []string{"m@1"}}})
			entry := dialAgent(t, a)
			stream := entry.control(c.down)
			awaitBatch(t, stream, "no matching batch", c.want)
			if c.down.HostState == wirepb.HostState_HOST_LEAVING {
				if got := entry.offer("late", post(chat)).end(); got != "LEAVING" {
					t.Errorf("an offer while leaving ended with %s", got)
				}
			}
		})
	}
}

// An entry freezes or its outgoing packets are lost, and its control stream stays open without traffic. The agent must
// drop the stream after a few missed heartbeats, so that it requests permits from another entry. If the entry
// reconnects before that, the end of the old stream must not remove the new one.
func TestSilentEntryIsDropped(t *testing.T) {
	a := startAgent(t, agentSettings{url: newService(t, newGatedService(0).ServeHTTP)})
	connected := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.streams)
	}
	silent := dialAgent(t, a).control(&wirepb.ControlDown{Sequence: 1})
	eventually(t, "the control stream was not registered", func() bool { return connected() == 1 })
	live := dialAgent(t, a).control(&wirepb.ControlDown{Sequence: 1})
	ended := make(chan error, 1)
	go func() {
		for {
			if err := silent.Read(&wirepb.ControlUp{}); err != nil {
				ended <- err
				return
			}
		}
	}()
	sequence := uint64(1)
	for {
		select {
		case <-ended:
			awaitBatch(t, live, "the new stream stopped when the old one ended", func(up *wirepb.ControlUp) bool { return up.Acknowledged == sequence })
			if connected() != 1 {
				t.Errorf("got %d control streams, want 1", connected())
			}
			return
		case <-time.After(10 * time.Millisecond):
			sequence++
			if err := live.Write(&wirepb.ControlDown{Sequence: sequence}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// An entry reads no batches while the agent requests and returns many permits. The pending messages must be bounded and
// the newest kept; the machine repeats the rest.
func TestPendingOfASlowEntryIsBounded(t *testing.T) {
	const asked = 3 * maxPendingPerKind
	s := newControlStream(&wirepb.StreamHeader{Entry: "slow"})
	for i := range asked {
		s.enqueue(func(up *wirepb.ControlUp) {
			up.PermitRequests = append(up.PermitRequests, &wirepb.PermitRequest{Id: strconv.Itoa(i)})
			up.PermitsDone = append(up.PermitsDone, strconv.Itoa(i))
			up.Releases = append(up.Releases, &wirepb.SlotRelease{Revision: uint64(i)})
			up.Wanted = append(up.Wanted, &wirepb.SlotWanted{Demand: int32(i)})
		})
	}
	up := s.takePending()
	for _, n := range []int{len(up.PermitRequests), len(up.PermitsDone), len(up.Releases), len(up.Wanted)} {
		if n != maxPendingPerKind {
			t.Errorf("%d messages are pending, want the limit", n)
		}
	}
	if last := up.PermitsDone[len(up.PermitsDone)-1]; last != strconv.Itoa(asked-1) {
		t.Errorf("the last permit kept is %s, want the newest", last)
	}
	if again := s.takePending(); proto.Size(again) != 0 {
		t.Errorf("messages were returned twice: %v", again)
	}
}
