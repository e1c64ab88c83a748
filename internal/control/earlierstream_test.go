package control

import (
	"testing"
	"time"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// openDemandStream connects to a gateway as another hub does that takes it for the coordinator.
func openDemandStream(t *testing.T, address string) *wire.Stream {
	t.Helper()
	session, err := wire.Dial(t.Context(), address, WireOptions(time.Second), discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	stream, err := session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: "peer"}, maxMessageBytes)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// Guards against demand that the coordinator keeps for ever, because a late message of a hub's earlier stream adds to what the hub says on a
// later one and only changes are sent there.
func TestDemandOfAnEarlierStreamIsNotAdded(t *testing.T) {
	listener := listenLoopback(t)
	g := startGateway(t, listener, startAgent(t, listener.Addr().String()))
	say := func(stream *wire.Stream, changes bool, waiting int32) {
		t.Helper()
		message := &controlpb.Demand{Changes: changes, Models: []*controlpb.ModelDemand{{Service: "s", Model: "m", Waiting: waiting, Running: 1}}}
		if err := stream.Write(message); err != nil {
			t.Fatal(err)
		}
	}
	waiting := func() int {
		total := 0
		for _, d := range g.peers.Demand(time.Now()) {
			total += d.Waiting
		}
		return total
	}
	earlier := openDemandStream(t, g.address)
	say(earlier, false, 1)
	eventually(t, "the earlier stream's demand arrives", func() bool { return waiting() == 1 })
	later := openDemandStream(t, g.address)
	say(later, false, 0)
	eventually(t, "the later stream's demand arrives", func() bool { return waiting() == 0 })
	say(earlier, true, 1)
	for range 10 {
		time.Sleep(10 * time.Millisecond)
		if got := waiting(); got != 0 {
			t.Fatalf("%d requests wait after a late message of the earlier stream, want none", got)
		}
	}
}
