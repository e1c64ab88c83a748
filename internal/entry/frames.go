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

// handleFrame processes the result of a read and returns the event for the exchange.
func (t *attempt) handleFrame(ctx context.Context, frame *wirepb.FromAgent, err error) atmostonce.ExchangeEvent {
	if err != nil {
		t.callerGone = ctx.Err() != nil
	}
	if errors.Is(err, wire.ErrTimeout) {
		return atmostonce.Abandoned
	}
	if err != nil || frame.RequestId != t.rq.id {
		return atmostonce.StreamFailed
	}
	if frame.Clock != 0 {
		t.entry.recorder.Clock().Observe(frame.Clock)
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Accepted:
		t.handleAccepted(f.Accepted)
		return atmostonce.GotAccepted
	case *wirepb.FromAgent_Ready:
		return t.handleReady()
	case *wirepb.FromAgent_Refused:
		t.refusal = f.Refused
		return atmostonce.GotRefused
	case *wirepb.FromAgent_Head:
		return t.handleHead(f.Head)
	case *wirepb.FromAgent_Body:
		return t.handleBody(f.Body.Data)
	case *wirepb.FromAgent_Trailer:
		return t.handleTrailer(f.Trailer)
	case *wirepb.FromAgent_Failed:
		return t.handleFailed(f.Failed)
	default:
		return atmostonce.StreamFailed
	}
}

func (t *attempt) handleAccepted(a *wirepb.Accepted) {
	t.stage = routing.StageAccepted
	t.cold = a.Cold
	t.expected = time.Duration(a.Load.GetWaitMicros()) * time.Microsecond
	t.entry.record(timeline.RequestAccepted, t.rq, t.candidate.Endpoint, "")
}

// handleReady starts sending the rest of a large body. In a two-step request the body follows the commit.
func (t *attempt) handleReady() atmostonce.ExchangeEvent {
	t.running = true
	if t.rq.idempotent {
		t.startBody()
	}
	return atmostonce.GotReady
}

// startBody sends the rest of a large body in a separate goroutine, so that a refusal can be read in the meantime.
func (t *attempt) startBody() {
	if t.rq.hasFullBody() || t.bodyStarted {
		return
	}
	t.bodyStarted = true
	rest := t.rq.rest
	if rest == nil {
		rest = bytes.NewReader(t.rq.buffered)
	}
	go t.sendBody(rest)
}

// sendBody sends the rest of the body in chunks.
func (t *attempt) sendBody(rest io.Reader) {
	buffer := make([]byte, wire.ChunkBytes)
	for {
		n, last, err := readChunk(rest, buffer)
		if err != nil {
			t.rq.failBody(err)
			_ = t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{Reason: "the caller's body broke"}}})
			return
		}
		chunk := &wirepb.BodyChunk{Data: buffer[:n], Done: last}
		if t.write(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Body{Body: chunk}}) != nil || last {
			return
		}
	}
}

// write sends one frame. It is safe for concurrent use, because sendBody and the exchange share the stream.
func (t *attempt) write(frame *wirepb.ToAgent) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	frame.RequestId = t.rq.id
	if frame.GetBody() == nil {
		frame.Clock = t.entry.recorder.Clock().Now()
	}
	return t.stream.Write(frame)
}

func (t *attempt) handleHead(head *wirepb.Head) atmostonce.ExchangeEvent {
	t.running = true
	t.cold = t.cold || head.Cold
	t.out.setHead(head)
	t.statusCode = int(head.Status)
	return atmostonce.GotHead
}

func (t *attempt) handleBody(data []byte) atmostonce.ExchangeEvent {
	if t.firstByte == 0 {
		t.firstByte = t.entry.clock.Now().Sub(t.startedAt)
		t.entry.observeFirstByte(t.rq, t.cold)
	}
	err := t.out.addBody(data)
	if errors.Is(err, errCallerGone) {
		t.callerGone = true
		return atmostonce.Abandoned
	}
	if err != nil {
		return atmostonce.StreamFailed
	}
	return atmostonce.GotHead
}

func (t *attempt) handleTrailer(trailer *wirepb.Trailer) atmostonce.ExchangeEvent {
	if err := t.out.verify(trailer); err != nil {
		t.entry.metrics.mismatches.Inc()
		return atmostonce.StreamFailed
	}
	return atmostonce.GotTrailer
}

func (t *attempt) handleFailed(f *wirepb.Failed) atmostonce.ExchangeEvent {
	t.entry.record(timeline.RequestFailed, t.rq, t.candidate.Endpoint, f.Reason.String())
	if f.Reason == wirepb.FailureReason_ENDPOINT_REFUSED {
		t.refusal = &wirepb.Refused{Reason: wirepb.RefusalReason_QUEUE_FULL, Load: f.Load}
	}
	if f.MayHaveRun {
		return atmostonce.GotFailedUnknown
	}
	return atmostonce.GotFailedNotRun
}
