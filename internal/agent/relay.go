package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"balsamsail/internal/clock"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const (
	eventStream = "text/event-stream"
	// streamEnd is the last event of a streamed chat completion.
	streamEnd = "data: [DONE]"
	// streamTailBytes is how much of the end of a streamed response is kept to search for streamEnd.
	streamTailBytes = 64
)

// errNoStreamEnd is returned when a streamed response ended without its last event or inside an event.
var errNoStreamEnd = errors.New("agent: streamed response ended without its last event or inside an event")

// deadlineTimer cancels a call whose response has not started or, if it is not streamed, not ended by the deadline.
type deadlineTimer struct {
	stopped chan struct{}
	timer   clock.Timer
}

// newDeadlineTimer starts a timer that calls cancel after left.
func newDeadlineTimer(c clock.Clock, left time.Duration, cancel context.CancelFunc) *deadlineTimer {
	t := &deadlineTimer{stopped: make(chan struct{}), timer: c.NewTimer(left)}
	go func() {
		select {
		case <-t.timer.C():
			cancel()
		case <-t.stopped:
		}
	}()
	return t
}

// stop disarms the timer. It may be called more than once, by one goroutine.
func (t *deadlineTimer) stop() {
	t.timer.Stop()
	select {
	case <-t.stopped:
	default:
		close(t.stopped)
	}
}

// relay copies one response of the endpoint to the entry.
type relay struct {
	exchange *exchange
	response *http.Response
	began    time.Time
	// firstByte is the time to the first body bytes.
	firstByte time.Duration
	length    uint64
	checksum  *xxhash.Digest
	endCheck  *streamEndCheck
}

func newRelay(x *exchange, response *http.Response, began time.Time) *relay {
	return &relay{
		exchange: x,
		response: response,
		began:    began,
		checksum: xxhash.New(),
		endCheck: newStreamEndCheck(response, x.offer.Model != ""),
	}
}

// run relays the head and the body.
//
// If the entry of a request that may run only once has disconnected, the rest of the response is read and discarded.
// Closing the body would cut the connection to the endpoint, which may still be processing the request, and abort it at
// an unknown point.
func (r *relay) run() error {
	err := r.forward()
	if r.exchange.offer.TwoStep && errors.Is(err, errWithdrawn) {
		_, _ = io.Copy(io.Discard, r.response.Body)
	}
	return err
}

func (r *relay) forward() error {
	if err := r.sendHead(); err != nil {
		return errors.Wrap(errWithdrawn, err.Error())
	}
	if err := r.sendBody(); err != nil {
		return err
	}
	return r.endCheck.err()
}

// trailer describes the relayed body.
func (r *relay) trailer() *wirepb.Trailer {
	return &wirepb.Trailer{Length: r.length, Checksum: r.checksum.Sum64()}
}

func (r *relay) sendHead() error {
	x := r.exchange
	head := &wirepb.Head{
		Status:      int32(r.response.StatusCode),
		Cold:        x.cold,
		QueueMicros: r.began.Sub(x.began).Microseconds(),
	}
	for name, values := range r.response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wirepb.Header{Name: name, Value: value})
		}
	}
	x.record(timeline.RequestHead, r.response.Status)
	return x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Head{Head: head}})
}

// eventBufferBytes is the buffer size for a streamed response. Its events are small, and the buffer is held for as long
// as the stream is open.
const eventBufferBytes = 2 << 10

func (r *relay) bufferBytes() int {
	if strings.HasPrefix(r.response.Header.Get("Content-Type"), eventStream) {
		return eventBufferBytes
	}
	return wire.ChunkBytes
}

// sendBody relays the body as it arrives.
func (r *relay) sendBody() error {
	buffer := make([]byte, r.bufferBytes())
	for {
		n, err := r.response.Body.Read(buffer)
		if n > 0 {
			if err := r.sendChunk(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "agent: cannot read the response body")
		}
	}
}

func (r *relay) sendChunk(data []byte) error {
	x := r.exchange
	if r.firstByte == 0 {
		r.firstByte = x.agent.clock.Now().Sub(r.began)
		if x.offer.Stream {
			x.call.timer.stop()
		}
	}
	r.length += uint64(len(data))
	_, _ = r.checksum.Write(data)
	r.endCheck.add(data)
	chunk := &wirepb.BodyChunk{Data: data}
	if err := x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Body{Body: chunk}}); err != nil {
		return errors.Wrap(errWithdrawn, err.Error())
	}
	return nil
}

// streamEndCheck verifies that a stream does not end inside an event and, if it is a chat completion, that it ends with its last
// event: an endpoint that shuts down in the middle of a response, or one whose response ends with its connection, ends the body
// without an error.
type streamEndCheck struct {
	enabled bool
	// completion is set for a chat completion.
	completion bool
	tail       []byte
}

func newStreamEndCheck(response *http.Response, model bool) *streamEndCheck {
	streamed := strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
	return &streamEndCheck{enabled: streamed && response.StatusCode == http.StatusOK, completion: model}
}

func (c *streamEndCheck) add(data []byte) {
	if !c.enabled {
		return
	}
	c.tail = append(c.tail, data...)
	if len(c.tail) > streamTailBytes {
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-streamTailBytes:]...)
	}
}

func (c *streamEndCheck) err() error {
	whole := len(c.tail) == 0 || bytes.HasSuffix(c.tail, []byte("\n\n")) || bytes.HasSuffix(c.tail, []byte("\r\n\r\n"))
	ended := !c.completion || bytes.Contains(c.tail, []byte(streamEnd))
	if !c.enabled || whole && ended {
		return nil
	}
	return errNoStreamEnd
}
