package entry

import (
	"context"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/wire/wirepb"
)

// awaitExecution reads the rest of the exchange of a committed request whose caller got no definite result, so that its
// claim can be settled.
func (t *attempt) awaitExecution() {
	defer func() { _ = t.stream.Close() }()
	_ = t.stream.SetReadDeadline(t.entry.clock.Now().Add(t.entry.options.MaxResponseDuration))
	for {
		frame := &wirepb.FromAgent{}
		err := t.stream.Read(frame)
		event := pendingEvent(frame, err, t.rq.id)
		for _, action := range t.exchange.Step(event) {
			switch action {
			case atmostonce.SettleServed:
				t.pending <- executionServed
				return
			case atmostonce.SettleNotRun:
				t.pending <- executionNotRun
				return
			case atmostonce.SettleUnknown, atmostonce.EndUnknown, atmostonce.EndTruncated:
				t.pending <- executionUnknown
				return
			}
		}
	}
}

// pendingEvent is handleFrame for a response that is no longer forwarded.
func pendingEvent(frame *wirepb.FromAgent, err error, id string) atmostonce.ExchangeEvent {
	if err != nil || frame.RequestId != id {
		return atmostonce.StreamFailed
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Refused:
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Trailer:
		return atmostonce.GotTrailer
	case *wirepb.FromAgent_Failed:
		if f.Failed.MayHaveRun {
			return atmostonce.GotFailedUnknown
		}
		return atmostonce.GotFailedNotRun
	default:
		return atmostonce.GotAccepted
	}
}

// awaitConfirmation reads on until the caller's deadline for the agent's confirmation that the withdrawn request did not run.
// Meanwhile the request is tried elsewhere; if no endpoint serves it, the confirmation decides what the caller is told.
func (t *attempt) awaitConfirmation() {
	defer func() { _ = t.stream.Close() }()
	defer close(t.confirmation)
	if refusal, _ := t.readConfirmation(t.rq.deadline); refusal != nil {
		t.confirmedNotRun.Store(true)
	}
}

// allConfirmedNotRun reports whether it is certain of all these attempts, which ended without a definite outcome, that the request
// did not run. It waits for confirmations that may still come: until the caller's deadline at most, and as long as the caller stays.
func allConfirmedNotRun(ctx context.Context, attempts []*attempt) bool {
	for _, t := range attempts {
		if !t.awaitsConfirmation {
			return false
		}
	}
	for _, t := range attempts {
		select {
		case <-t.confirmation:
		case <-ctx.Done():
			return false
		}
		if !t.confirmedNotRun.Load() {
			return false
		}
	}
	return true
}
