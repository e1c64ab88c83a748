package entry

import (
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/wire/wirepb"
)

// awaitFate follows a committed request whose caller was told nothing definite, so that its claim can be settled.
func (t *attempt) awaitFate() {
	defer func() { _ = t.stream.Close() }()
	_ = t.stream.SetReadDeadline(t.entry.clock.Now().Add(t.entry.options.MaxAnswer))
	for {
		frame := &wirepb.FromAgent{}
		err := t.stream.Read(frame)
		event := fateEvent(frame, err, t.rq.id)
		for _, action := range t.exchange.Step(event) {
			switch action {
			case atmostonce.SettleServed:
				t.fate <- fateServed
				return
			case atmostonce.SettleNotRun:
				t.fate <- fateNotRun
				return
			case atmostonce.SettleUnknown, atmostonce.EndUnknown, atmostonce.EndCut:
				t.fate <- fateUnknown
				return
			}
		}
	}
}

// fateEvent is eventOf without an answer to pass on.
func fateEvent(frame *wirepb.FromAgent, err error, id string) atmostonce.ExchangeEvent {
	if err != nil || frame.RequestId != id {
		return atmostonce.StreamBroke
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Refused:
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Trailer:
		return atmostonce.GotTrailer
	case *wirepb.FromAgent_Failed:
		if f.Failed.MayHaveRun {
			return atmostonce.GotFailedUnclear
		}
		return atmostonce.GotFailedClean
	default:
		return atmostonce.GotAccepted
	}
}
