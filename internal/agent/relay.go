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
	// streamTailBytes is how much of a streamed answer's end is kept to look for streamEnd.
	streamTailBytes = 64
)

// errNoStreamEnd says that a streamed answer stopped before its last event.
var errNoStreamEnd = errors.New("agent: streamed answer without its last event")

// watch cancels an execution whose answer has not begun, or not ended, by the deadline.
type watch struct {
	stopped chan struct{}
	timer   clock.Timer
}

// newWatch starts a watch that cancels after left.
func newWatch(c clock.Clock, left time.Duration, cancel context.CancelFunc) *watch {
	w := &watch{stopped: make(chan struct{}), timer: c.NewTimer(left)}
	go func() {
		select {
		case <-w.timer.C():
			cancel()
		case <-w.stopped:
		}
	}()
	return w
}

// stop ends the watch. It may be called more than once, by one goroutine.
func (w *watch) stop() {
	w.timer.Stop()
	select {
	case <-w.stopped:
	default:
		close(w.stopped)
	}
}

// relay passes one answer of the endpoint to the entry.
type relay struct {
	exchange *exchange
	response *http.Response
	began    time.Time
	// first is the time to the first body bytes.
	first    time.Duration
	length   uint64
	checksum *xxhash.Digest
	tail     *tailCheck
}

func newRelay(x *exchange, response *http.Response, began time.Time) *relay {
	return &relay{
		exchange: x,
		response: response,
		began:    began,
		checksum: xxhash.New(),
		tail:     newTailCheck(response, x.offer.Model != ""),
	}
}

// run passes head and body.
//
// When the entry of a call that may run only once is gone, what is left of the answer is read and dropped: giving it up
// would cut the connection to the endpoint, which may still be at work, and leave the call at whatever point it had reached.
func (r *relay) run() error {
	err := r.pass()
	if r.exchange.offer.TwoStep && errors.Is(err, errWithdrawn) {
		_, _ = io.Copy(io.Discard, r.response.Body)
	}
	return err
}

func (r *relay) pass() error {
	if err := r.sendHead(); err != nil {
		return errors.Wrap(errWithdrawn, err.Error())
	}
	if err := r.sendBody(); err != nil {
		return err
	}
	return r.tail.err()
}

// trailer describes the body that was passed on.
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

// eventBufferBytes is the buffer of a streamed answer, whose events are small: it is held for as long as the stream is open.
const eventBufferBytes = 2 << 10

func (r *relay) bufferBytes() int {
	if strings.HasPrefix(r.response.Header.Get("Content-Type"), eventStream) {
		return eventBufferBytes
	}
	return wire.ChunkBytes
}

// sendBody passes the body as it comes.
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
			return errors.Wrap(err, "agent: answer broke")
		}
	}
}

func (r *relay) sendChunk(data []byte) error {
	x := r.exchange
	if r.first == 0 {
		r.first = x.agent.clock.Now().Sub(r.began)
		if x.offer.Stream {
			x.call.watch.stop()
		}
	}
	r.length += uint64(len(data))
	_, _ = r.checksum.Write(data)
	r.tail.add(data)
	chunk := &wirepb.BodyChunk{Data: data}
	if err := x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Body{Body: chunk}}); err != nil {
		return errors.Wrap(errWithdrawn, err.Error())
	}
	return nil
}

// tailCheck checks that a streamed chat completion ends with its last event: an engine that dies politely ends the body
// as if it were whole.
type tailCheck struct {
	wanted bool
	tail   []byte
}

func newTailCheck(response *http.Response, model bool) *tailCheck {
	streamed := strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
	return &tailCheck{wanted: model && streamed && response.StatusCode == http.StatusOK}
}

func (t *tailCheck) add(data []byte) {
	if !t.wanted {
		return
	}
	t.tail = append(t.tail, data...)
	if len(t.tail) > streamTailBytes {
		t.tail = append(t.tail[:0], t.tail[len(t.tail)-streamTailBytes:]...)
	}
}

func (t *tailCheck) err() error {
	if !t.wanted || bytes.Contains(t.tail, []byte(streamEnd)) {
		return nil
	}
	return errNoStreamEnd
}
