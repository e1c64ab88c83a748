package entry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/clock"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// A caller disconnects just as its attempt ends, and the entry then waits for the agent's final frame, which shows
// whether the call ran. A late read interrupt used to end that wait, so that a call that had not run was recorded as
// unknown.
func TestNoWakeComesLate(t *testing.T) {
	agent := newFakeAgent(t, "ledger-1", "")
	agent.setScript(func(x *fakeStream) {
		for x.next() != nil {
			x.accepted()
		}
	})
	session, err := wire.Dial(t.Context(), agent.address, wire.DefaultOptions(), discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	stream, err := session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_REQUEST}, wire.MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if err := stream.Write(&wirepb.ToAgent{RequestId: "r", Frame: &wirepb.ToAgent_Offer{Offer: &wirepb.Offer{}}}); err != nil {
		t.Fatal(err)
	}
	for range 300 {
		ctx, leave := context.WithCancel(t.Context())
		stopWaking := interruptOnDone(ctx, stream)
		leave()
		stopWaking()
		_ = stream.SetReadDeadline(time.Now().Add(testTimeout))
		if err := stream.Write(&wirepb.ToAgent{RequestId: "r", Frame: &wirepb.ToAgent_Cancel{}}); err != nil {
			t.Fatal(err)
		}
		if err := stream.Read(&wirepb.FromAgent{}); err != nil {
			t.Fatalf("no frame from the agent: %v", err)
		}
	}

	// The interrupt may also come before the attempt sets its read deadline, which must not undo it.
	ended, leave := context.WithCancel(t.Context())
	leave()
	waiting := &attempt{
		entry:         &Entry{clock: clock.Real{}},
		rq:            &request{deadline: time.Now().Add(time.Hour)},
		out:           &response{},
		stream:        stream,
		noAlternative: true,
	}
	waiting.setReadDeadline(ended)
	interrupted := make(chan error, 1)
	go func() { interrupted <- stream.Read(&wirepb.FromAgent{}) }()
	if err := receive(t, interrupted, "the attempt still waits after its caller disconnected"); !errors.Is(err, wire.ErrTimeout) {
		t.Errorf("got %v, want ErrTimeout", err)
	}
}
