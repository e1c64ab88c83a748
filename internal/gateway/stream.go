package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/fleet"
	"balsamsail/internal/routing"
	"balsamsail/internal/sendonce"
)

const (
	// stallFactor and minStall bound a pause in a resumable stream before it is resumed on another engine. They are
	// below the client's limit: a client abandons a stream after a pause of eight times the target gap or two seconds.
	stallFactor = 5
	minStall    = 1200 * time.Millisecond
	// readBufferSize is the size of one read of a stream. An event has some 60 to 400 bytes.
	readBufferSize = 4 << 10
	// maxEventBytes bounds one event, and so what a stream without any end of an event holds.
	maxEventBytes = 64 << 10
)

// response is the response to the client.
type response struct {
	writer http.ResponseWriter
	codec  Codec
	// started is set once bytes of the response were written.
	started bool
	// lastEventID is the last event that was written to the client; a resumed stream continues after it.
	lastEventID string
}

// writeBody writes a complete response.
func (o *response) writeBody(resp *http.Response, body []byte) {
	o.started = true
	h := o.writer.Header()
	o.codec.CopyHeader(h, resp.Header)
	length := int64(len(body))
	if resp.Request.Method == http.MethodHead {
		// The response names the length of the body that a GET would get, if it does.
		length = resp.ContentLength
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.writer.WriteHeader(resp.StatusCode)
	// The write fails only if the client has disconnected.
	_, _ = o.writer.Write(body)
}

// writeEvents writes complete events, preceded by the header of the first engine's response.
func (o *response) writeEvents(resp *http.Response, data []byte) error {
	if !o.started {
		o.started = true
		o.codec.CopyHeader(o.writer.Header(), resp.Header)
		o.writer.WriteHeader(resp.StatusCode)
	}
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(o.writer).Flush()
}

// forwardStream forwards the events of a stream as they arrive.
func (g *Gateway) forwardStream(parent context.Context, out *response, q *request, choice fleet.Choice, result sendonce.Result, watchdog *time.Timer, began time.Time) verdict {
	resumed := out.started
	first := true
	lastData := time.Now()
	reader := eventReader{source: result.Response.Body, skipUpTo: out.lastEventID}
	for {
		data, lastID, err := reader.next()
		if len(data) > 0 {
			if first {
				first = false
				g.observeFirstEvent(q, choice, resumed, time.Since(began))
			} else {
				q.longestGap = max(q.longestGap, time.Since(lastData))
			}
			lastData = time.Now()
			g.noteAnswering(q, lastData)
			g.resetWatchdog(q, watchdog)
			if err := out.writeEvents(result.Response, data); err != nil {
				result.Discard()
				g.logEnd(q, "client_gone", 0)
				panic(http.ErrAbortHandler)
			}
			if lastID != "" {
				out.lastEventID = lastID
			}
		}
		if err == io.EOF && out.started {
			g.options.Parts.Answered(time.Now(), q.parts)
			g.metrics.countAttempt("answered")
			g.metrics.countAnswer(result.Response.StatusCode, q)
			g.logEnd(q, "answered", result.Response.StatusCode)
			return done
		}
		if err != nil {
			result.Discard()
			return g.handleStreamFailure(parent, q, choice, result, err)
		}
	}
}

func (g *Gateway) observeFirstEvent(q *request, choice fleet.Choice, resumed bool, took time.Duration) {
	g.fleet.Observe(time.Now(), choice, routing.OutcomeServed, took)
	g.fleet.Prefilled(choice, &q.fleetRequest)
	if !resumed {
		q.firstEvent = time.Since(q.arrived)
		g.recordStream(q, choice)
	}
}

// resetWatchdog sets the timeout for the next event of a stream. It is short only if the stream may still be resumed.
func (g *Gateway) resetWatchdog(q *request, watchdog *time.Timer) {
	if !q.route.Resumable || q.attempts >= q.route.MaxAttempts {
		watchdog.Reset(time.Until(q.deadline) + deadlineSlack)
		return
	}
	watchdog.Reset(max(stallFactor*q.route.GapTarget, minStall))
}

// handleStreamFailure decides what follows a stream that ended early.
func (g *Gateway) handleStreamFailure(parent context.Context, q *request, choice fleet.Choice, result sendonce.Result, err error) verdict {
	v := g.handleFailure(parent, q, choice, result, err)
	if v == retry && q.route.Resumable {
		g.requestLog.write(time.Now(), true, "resuming the stream with another attempt", "event", "stream_resumed", "request", q.call.ID, "from", choice.ID)
	}
	return v
}

// eventReader splits a body into complete events. An engine that crashes may stop in the middle of an event; the client
// must not get a part of an event that another engine then sends again.
type eventReader struct {
	source io.Reader
	// pending holds what was read, and returned is how many bytes of it the last call of next has returned.
	pending  []byte
	returned int
	buffer   [readBufferSize]byte
	// skipUpTo is the last event that the client has; events up to it are skipped.
	skipUpTo string
}

var eventEnd = []byte("\n\n")

// next returns the complete events of the next read and the ID of the last one. It returns io.EOF at the end of a
// complete stream. The events are valid until the next call.
func (r *eventReader) next() (data []byte, lastID string, err error) {
	n, err := r.source.Read(r.buffer[:])
	r.pending = append(r.pending[:0], r.pending[r.returned:]...)
	r.pending = append(r.pending, r.buffer[:n]...)
	r.returned = 0
	if end := bytes.LastIndex(r.pending, eventEnd); end >= 0 {
		r.returned = end + len(eventEnd)
	}
	data, lastID = r.skipSeen(r.pending[:r.returned])
	switch rest := len(r.pending) - r.returned; {
	case rest > maxEventBytes:
		return data, lastID, errors.Wrap(errInvalidResponse, "an event is too large")
	case err == io.EOF && rest > 0:
		return data, lastID, errors.Wrap(errInvalidResponse, "the stream ends within an event")
	}
	return data, lastID, err
}

// skipSeen drops the events that the client has and returns the ID of the last remaining one.
func (r *eventReader) skipSeen(data []byte) (rest []byte, lastID string) {
	rest = data
	for offset := 0; offset < len(data); {
		length := bytes.Index(data[offset:], eventEnd) + len(eventEnd)
		id, ok := eventID(data[offset : offset+length])
		offset += length
		if !ok {
			continue
		}
		lastID = id
		if r.skipUpTo != "" && !isAfter(id, r.skipUpTo) {
			rest, lastID = data[offset:], ""
		}
	}
	return rest, lastID
}

var idField = []byte("id:")

// eventID returns the ID of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):])), true
		}
	}
	return "", false
}

// isAfter reports whether an event ID comes after another. IDs are increasing numbers; any other text counts as after.
func isAfter(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	return errA != nil || errB != nil || a > b
}
