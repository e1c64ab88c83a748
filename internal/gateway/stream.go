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
	// stallFactor and minStall bound a pause in a resumable stream, after which it goes on at another engine: a client
	// leaves after eight times the pause that is still on time, or two seconds.
	stallFactor = 5
	minStall    = 1200 * time.Millisecond
	// readBytes is the buffer for one read of a stream. An event is some 60 to 400 bytes.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// response is the client's side of an answer.
type response struct {
	writer http.ResponseWriter
	codec  Codec
	// begun is set when bytes of an answer have gone to the client.
	begun bool
	// lastEventID is the last event that went to the client; a stream that is resumed goes on behind it.
	lastEventID string
}

// whole writes an answer that has arrived whole.
func (o *response) whole(resp *http.Response, body []byte) {
	o.begun = true
	h := o.writer.Header()
	o.codec.CopyHeader(h, resp.Header)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	o.writer.WriteHeader(resp.StatusCode)
	// A client that is gone needs no answer.
	_, _ = o.writer.Write(body)
}

// events writes whole events, after the header of the first engine's answer.
func (o *response) events(resp *http.Response, data []byte) error {
	if !o.begun {
		o.begun = true
		o.codec.CopyHeader(o.writer.Header(), resp.Header)
		o.writer.WriteHeader(resp.StatusCode)
	}
	if _, err := o.writer.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(o.writer).Flush()
}

// passStream hands a series of events to the client as they come.
func (g *Gateway) passStream(parent context.Context, out *response, q *request, choice fleet.Choice, result sendonce.Result, watchdog *time.Timer, began time.Time) verdict {
	resumed := out.begun
	first := true
	heard := time.Now()
	reader := eventReader{source: result.Response.Body, skipUpTo: out.lastEventID}
	for {
		data, lastID, err := reader.next()
		if len(data) > 0 {
			if first {
				first = false
				g.observeFirst(q, choice, resumed, time.Since(began))
			} else {
				q.longestGap = max(q.longestGap, time.Since(heard))
			}
			heard = time.Now()
			g.rearm(q, watchdog)
			if err := out.events(result.Response, data); err != nil {
				result.Discard()
				g.logEnd(q, "client_gone", 0)
				return finished
			}
			if lastID != "" {
				out.lastEventID = lastID
			}
		}
		if err == io.EOF && out.begun {
			g.metrics.attempted("answered")
			g.metrics.answered(result.Response.StatusCode, q)
			g.logEnd(q, "answered", result.Response.StatusCode)
			return finished
		}
		if err != nil {
			result.Discard()
			return g.brokenStream(parent, q, choice, err)
		}
	}
}

func (g *Gateway) observeFirst(q *request, choice fleet.Choice, resumed bool, took time.Duration) {
	g.observe(q, choice, routing.OutcomeServed, took)
	g.fleet.Prefilled(choice, &q.want)
	if !resumed {
		q.firstEvent = time.Since(q.arrived)
	}
}

// rearm bounds the next pause of a stream that can go on elsewhere.
func (g *Gateway) rearm(q *request, watchdog *time.Timer) {
	if !q.route.Resumable || q.attempts >= q.route.MaxAttempts {
		watchdog.Reset(time.Until(q.until) + deadlineSlack)
		return
	}
	watchdog.Reset(max(stallFactor*q.route.GapTarget, minStall))
}

// brokenStream decides what follows a stream that ended before its end.
func (g *Gateway) brokenStream(parent context.Context, q *request, choice fleet.Choice, err error) verdict {
	v := g.unanswered(parent, q, choice, true, err)
	if v == again && q.route.Resumable {
		g.lines.line(time.Now(), true, "stream goes on elsewhere", "event", "stream_resumed", "request", q.call.ID, "from", choice.ID)
	}
	return v
}

// eventReader cuts a body into whole events. An engine that crashes may stop in the middle of one; a client must never get
// a part of an event that another engine then sends whole.
type eventReader struct {
	source io.Reader
	rest   []byte
	buffer [readBytes]byte
	// skipUpTo is the last event that the client has; those up to it are left out.
	skipUpTo string
}

var eventEnd = []byte("\n\n")

// next returns the whole events of the next read, and the identifier of the last one. It returns io.EOF at a clean end.
func (r *eventReader) next() (data []byte, lastID string, err error) {
	n, err := r.source.Read(r.buffer[:])
	r.rest = append(r.rest, r.buffer[:n]...)
	end := bytes.LastIndex(r.rest, eventEnd)
	if end >= 0 {
		end += len(eventEnd)
		data = bytes.Clone(r.rest[:end])
		r.rest = append(r.rest[:0], r.rest[end:]...)
		data, lastID = r.unseen(data)
	}
	switch {
	case len(r.rest) > maxEventBytes:
		return data, lastID, errors.Wrap(errBroken, "an event is too long")
	case err == io.EOF && len(r.rest) > 0:
		return data, lastID, errors.Wrap(errBroken, "the stream ends within an event")
	}
	return data, lastID, err
}

// unseen leaves out the events that the client has, and returns the identifier of the last one.
func (r *eventReader) unseen(data []byte) (rest []byte, lastID string) {
	rest = data
	for at := 0; at < len(data); {
		length := bytes.Index(data[at:], eventEnd) + len(eventEnd)
		id, ok := eventID(data[at : at+length])
		at += length
		if !ok {
			continue
		}
		lastID = id
		if r.skipUpTo != "" && !later(id, r.skipUpTo) {
			rest, lastID = data[at:], ""
		}
	}
	return rest, lastID
}

var idField = []byte("id:")

// eventID returns the identifier of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):])), true
		}
	}
	return "", false
}

// later reports whether an identifier follows another. They are numbers that rise; other texts are taken as later.
func later(id, than string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(than, 10, 64)
	return errA != nil || errB != nil || a > b
}
