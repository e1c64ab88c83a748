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

// A caller goes away in the moment in which its attempt ends. The entry then waits for the agent's last word, which tells
// whether the call ran; a wake that came late ended that wait, and a call that had not run counted as unknown for good.
func TestNoWakeComesLate(t *testing.T) {
	agent := newExchangeAgent(t, "ledger-1", "")
	agent.answers(func(x *exchangeStream) {
		for x.next() != nil {
			x.accepted()
		}
	})
	session, err := wire.Dial(t.Context(), agent.address, wire.DefaultOptions(), discard)
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
		stopWaking := wakeAtEnd(ctx, stream)
		leave()
		stopWaking()
		_ = stream.SetReadDeadline(time.Now().Add(patience))
		if err := stream.Write(&wirepb.ToAgent{RequestId: "r", Frame: &wirepb.ToAgent_Cancel{}}); err != nil {
			t.Fatal(err)
		}
		if err := stream.Read(&wirepb.FromAgent{}); err != nil {
			t.Fatalf("the agent's word: %v", err)
		}
	}

	// The wake may also come before the attempt sets how long it waits, which must not take the wake back.
	ended, leave := context.WithCancel(t.Context())
	leave()
	waiting := &attempt{
		entry:  &Entry{clock: clock.Real{}},
		rq:     &request{deadline: time.Now().Add(time.Hour)},
		out:    &answer{},
		stream: stream,
		last:   true,
	}
	waiting.setPatience(ended)
	woken := make(chan error, 1)
	go func() { woken <- stream.Read(&wirepb.FromAgent{}) }()
	if err := within(t, woken, "the attempt of a caller that is gone waits on"); !errors.Is(err, wire.ErrTimeout) {
		t.Errorf("got %v, want ErrTimeout", err)
	}
}
