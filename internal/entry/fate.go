package entry

import (
	"sync/atomic"

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

// withdrawal is what becomes known of a withdrawn request after its attempt has ended.
type withdrawal struct{ notRun atomic.Bool }

// awaitConfirmation reads on until the caller's deadline for the agent's confirmation that the withdrawn request did not run.
// Meanwhile the request is tried elsewhere; if no endpoint serves it, the confirmation decides what the caller is told.
func (t *attempt) awaitConfirmation() {
	defer func() { _ = t.stream.Close() }()
	if refusal, _ := t.readConfirmation(t.rq.deadline); refusal != nil {
		t.withdrawal.notRun.Store(true)
	}
}

// withdrawals are a request's attempts that ended without a definite outcome.
type withdrawals struct {
	attempts []*withdrawal
	// unsettled is set once an attempt ended of which nothing more will be known.
	unsettled bool
}

// add records an attempt that ended without a definite outcome.
func (w *withdrawals) add(t *attempt) {
	if t.withdrawal == nil {
		w.unsettled = true
		return
	}
	w.attempts = append(w.attempts, t.withdrawal)
}

// allNotRun reports whether it is known by now of all attempts that the request did not run.
func (w *withdrawals) allNotRun() bool {
	for _, a := range w.attempts {
		if !a.notRun.Load() {
			return false
		}
	}
	return !w.unsettled
}
