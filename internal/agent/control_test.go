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

// awaitBatch reads batches until one is as wanted, and returns it.
func awaitBatch(t *testing.T, s *wire.Stream, otherwise string, wanted func(*wirepb.ControlUp) bool) *wirepb.ControlUp {
	t.Helper()
	_ = s.SetReadDeadline(time.Now().Add(patience))
	for {
		up := &wirepb.ControlUp{}
		if err := s.Read(up); err != nil {
			t.Fatalf("%s: %v", otherwise, err)
		}
		if wanted(up) {
			return up
		}
	}
}

// What an entry sends on its control stream must come to pass at the agent, and be told back.
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
		{"the first report is whole", down(func(*wirepb.ControlDown) {}), func(up *wirepb.ControlUp) bool {
			s := up.Status
			return s.GetFull() && s.Endpoint == "endpoint-1" && s.Kind == KindEngine && s.Labels["pool"] == "a"
		}},
		{"a batch is acknowledged", down(func(d *wirepb.ControlDown) { d.Sequence = 7 }), func(up *wirepb.ControlUp) bool {
			return up.Acknowledged == 7
		}},
		{"declarations are applied", down(func(*wirepb.ControlDown) {}), func(up *wirepb.ControlUp) bool {
			return up.Status.GetDeclarationsRevision() == 1
		}},
		{"a gap asks for a snapshot", down(func(d *wirepb.ControlDown) { d.Deltas = []*pb.Delta{{Revision: 5}} }), func(up *wirepb.ControlUp) bool {
			return up.WantSnapshot
		}},
		{"the state is told to who wants it", down(func(d *wirepb.ControlDown) { d.WantState = true }), func(up *wirepb.ControlUp) bool {
			return up.Snapshot.GetRevision() == 1 && len(up.Rows) == 1 && up.Rows[0].Model == "m@1"
		}},
		{"a leaving host leaves", down(func(d *wirepb.ControlDown) { d.HostState = wirepb.HostState_HOST_LEAVING }), func(up *wirepb.ControlUp) bool {
			return up.Status.GetLeaving()
		}},
	}
	_, url := standinEngine(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startAgent(t, agentSettings{kind: KindEngine, url: url, table: &grantTable{models: []string{"m@1"}}})
			entry := dialAgent(t, a)
			stream := entry.control(c.down)
			awaitBatch(t, stream, "not told", c.want)
			if c.down.HostState == wirepb.HostState_HOST_LEAVING {
				if got := entry.offer("late", post(chat)).end(); got != "LEAVING" {
					t.Errorf("an offer ended with %s", got)
				}
			}
		})
	}
}

// An entry freezes or loses its link one way, and its control stream stays open with nothing on it. The agent must give it
// up after a few heartbeats, so that it asks another entry for permits; and when the entry connects anew before that, the
// end of the old stream must not take the new one's place away.
func TestSilentEntryIsDropped(t *testing.T) {
	a := startAgent(t, agentSettings{url: newService(t, newWatchedService(0).ServeHTTP)})
	connected := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.streams)
	}
	silent := dialAgent(t, a).control(&wirepb.ControlDown{Sequence: 1})
	eventually(t, "the stream is not served", func() bool { return connected() == 1 })
	talking := dialAgent(t, a).control(&wirepb.ControlDown{Sequence: 1})
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
			awaitBatch(t, talking, "the new stream ended with the old one", func(up *wirepb.ControlUp) bool { return up.Acknowledged == sequence })
			if connected() != 1 {
				t.Errorf("%d entries are connected", connected())
			}
			return
		case <-time.After(10 * time.Millisecond):
			sequence++
			if err := talking.Write(&wirepb.ControlDown{Sequence: sequence}); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// An entry takes no batches for a while in which the agent asks for many permits and gives up many. What waits for it is
// bounded, and the newest is kept: the machine repeats the rest.
func TestPendingOfASlowEntryIsBounded(t *testing.T) {
	const asked = 3 * maxPendingPerKind
	s := newControlStream(&wirepb.StreamHeader{Entry: "slow"})
	for i := range asked {
		s.queue(func(up *wirepb.ControlUp) {
			up.PermitRequests = append(up.PermitRequests, &wirepb.PermitRequest{Id: strconv.Itoa(i)})
			up.PermitsDone = append(up.PermitsDone, strconv.Itoa(i))
			up.Releases = append(up.Releases, &wirepb.SlotRelease{Revision: uint64(i)})
			up.Wanted = append(up.Wanted, &wirepb.SlotWanted{Demand: int32(i)})
		})
	}
	up := s.take()
	for _, n := range []int{len(up.PermitRequests), len(up.PermitsDone), len(up.Releases), len(up.Wanted)} {
		if n != maxPendingPerKind {
			t.Errorf("%d wait", n)
		}
	}
	if last := up.PermitsDone[len(up.PermitsDone)-1]; last != strconv.Itoa(asked-1) {
		t.Errorf("the last one kept is %s", last)
	}
	if again := s.take(); proto.Size(again) != 0 {
		t.Errorf("taken twice: %v", again)
	}
}
