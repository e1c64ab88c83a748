package entry

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/routing"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// eventOf turns a read into an event of the exchange.
func (t *attempt) eventOf(ctx context.Context, frame *wirepb.FromAgent, err error) atmostonce.ExchangeEvent {
	if err != nil {
		t.gone = ctx.Err() != nil
	}
	if errors.Is(err, wire.ErrTimeout) {
		return atmostonce.GaveUp
	}
	if err != nil || frame.RequestId != t.rq.id {
		return atmostonce.StreamBroke
	}
	if frame.Clock != 0 {
		t.entry.recorder.Clock().Observe(frame.Clock)
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Accepted:
		t.accepted(f.Accepted)
		return atmostonce.GotAccepted
	case *wirepb.FromAgent_Ready:
		return t.ready()
	case *wirepb.FromAgent_Refused:
		t.refusal = f.Refused
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Head:
		return t.headCame(f.Head)
	case *wirepb.FromAgent_Body:
		return t.bodyCame(f.Body.Data)
	case *wirepb.FromAgent_Trailer:
		return t.trailerCame(f.Trailer)
	case *wirepb.FromAgent_Failed:
		return t.failedCame(f.Failed)
	default:
		return atmostonce.StreamBroke
	}
}

func (t *attempt) accepted(a *wirepb.Accepted) {
	t.stage = routing.StageAccepted
	t.cold = a.Cold
	t.expected = time.Duration(a.Load.GetWaitMicros()) * time.Microsecond
	t.entry.record(timeline.RequestAccepted, t.rq, t.candidate.Endpoint, "")
}

// ready begins the sending of the rest of a large body. For a two-step request the commit goes first.
func (t *attempt) ready() atmostonce.ExchangeEvent {
	t.running = true
	if t.rq.idempotent {
		t.startBody()
	}
	return atmostonce.GotReady
}

// startBody sends the rest of a large body from its own goroutine, so that a refusal is seen meanwhile.
func (t *attempt) startBody() {
	if t.rq.isWhole() || t.bodyBegun {
		return
	}
	t.bodyBegun = true
	rest := t.rq.rest
	if rest == nil {
		rest = bytes.NewReader(t.rq.kept)
	}
	go t.sendBody(rest)
}

// sendBody passes on the rest of the body.
func (t *attempt) sendBody(rest io.Reader) {
	buffer := make([]byte, wire.ChunkBytes)
	for {
		n, last, err := readPart(rest, buffer)
		if err != nil {
			t.rq.breakBody(err)
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{Reason: "the caller's body broke"}}})
			return
		}
		chunk := &wirepb.BodyChunk{Data: buffer[:n], Done: last}
		if t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Body{Body: chunk}}) != nil || last {
			return
		}
	}
}

// write sends one frame; the body's sender and the exchange share the stream.
func (t *attempt) write(frame *wirepb.ToAgent) error {
	t.writing.Lock()
	defer t.writing.Unlock()
	frame.RequestId = t.rq.id
	if frame.GetBody() == nil {
		frame.Clock = t.entry.recorder.Clock().Now()
	}
	return t.stream.Write(frame)
}

func (t *attempt) headCame(head *wirepb.Head) atmostonce.ExchangeEvent {
	t.running = true
	t.cold = t.cold || head.Cold
	t.out.setHead(head)
	t.answered = int(head.Status)
	return atmostonce.GotHead
}

func (t *attempt) bodyCame(data []byte) atmostonce.ExchangeEvent {
	if t.firstByte == 0 {
		t.firstByte = t.entry.clock.Now().Sub(t.began)
		t.entry.noteFirstByte(t.rq, t.cold)
	}
	err := t.out.add(data)
	if errors.Is(err, errCallerGone) {
		t.gone = true
		return atmostonce.GaveUp
	}
	if err != nil {
		return atmostonce.StreamBroke
	}
	return atmostonce.GotHead
}

func (t *attempt) trailerCame(trailer *wirepb.Trailer) atmostonce.ExchangeEvent {
	if err := t.out.verify(trailer); err != nil {
		t.entry.metrics.mismatches.Inc()
		return atmostonce.StreamBroke
	}
	return atmostonce.GotTrailer
}

func (t *attempt) failedCame(f *wirepb.Failed) atmostonce.ExchangeEvent {
	t.entry.record(timeline.RequestFailed, t.rq, t.candidate.Endpoint, f.Reason.String())
	if f.Reason == wirepb.FailureReason_ENDPOINT_REFUSED {
		t.refusal = &wirepb.Refused{Reason: wirepb.RefusalReason_QUEUE_FULL, Load: f.Load}
	}
	if f.MayHaveRun {
		return atmostonce.GotFailedUnclear
	}
	return atmostonce.GotFailedClean
}
