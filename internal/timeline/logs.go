package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrLogs says that logs could not be read.
var ErrLogs = errors.New("timeline: logs not read")

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// LogLines are the events of processes' logs.
type LogLines struct {
	Events []Event
	// Strange counts the lines that are no event: other programs' output, or a line that was cut.
	Strange int
	// Missing counts the lines that processes say they left out.
	Missing int

	perProcess map[string]uint64
}

// Read adds the lines of one log, or of several that were put together. What stands before a line's first brace, as a
// collector of logs may put it, is passed over.
func (l *LogLines) Read(r io.Reader) error {
	if l.perProcess == nil {
		l.perProcess = make(map[string]uint64)
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		event, err := parseLine(line)
		if err != nil {
			l.Strange++
			continue
		}
		l.perProcess[event.Process]++
		event.Sequence = l.perProcess[event.Process]
		if event.Kind == logDropped || event.Kind == logReduced {
			n, _ := strconv.Atoi(event.Fields["lines"])
			l.Missing += n
		}
		l.Events = append(l.Events, event)
	}
	return errors.Wrap(scanner.Err(), ErrLogs.Error())
}

// The events with which a process says that lines are missing.
const (
	logDropped Kind = "log_dropped"
	logReduced Kind = "log_reduced"
)

// The fields of a line that have a place of their own in an event. A command names its engine and the model that it loads
// otherwise than an order does.
var placed = map[string]func(e *Event, value string){
	"process":  func(e *Event, v string) { e.Process = v },
	"event":    func(e *Event, v string) { e.Kind = Kind(v) },
	"request":  func(e *Event, v string) { e.Request = v },
	"model":    func(e *Event, v string) { e.Model = v },
	"load":     func(e *Event, v string) { e.Model = v },
	"endpoint": func(e *Event, v string) { e.Endpoint = v },
	"engine":   func(e *Event, v string) { e.Endpoint = v },
	"msg":      func(*Event, string) {},
	"level":    func(*Event, string) {},
}

var errNoEvent = errors.New("no event")

func parseLine(line []byte) (Event, error) {
	begin := bytes.IndexByte(line, '{')
	if begin < 0 {
		return Event{}, errNoEvent
	}
	decoder := json.NewDecoder(bytes.NewReader(line[begin:]))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return Event{}, err
	}
	if fields["event"] == nil {
		return Event{}, errNoEvent
	}
	event := Event{Fields: make(map[string]string)}
	if text, ok := fields["time"].(string); ok {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return Event{}, err
		}
		event.Clock = reading(at)
		delete(fields, "time")
	}
	for name, value := range fields {
		text := plainText(name, value)
		if place := placed[name]; place != nil {
			place(&event, text)
		} else if text != "" {
			event.Fields[name] = text
		}
	}
	return event, nil
}

// durations are the fields that hold a time in nanoseconds; they are shown as people write times.
var durations = []string{"first_event", "longest_gap", "waited", "took", "retry_after", "left", "oldest_wait"}

func plainText(name string, value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		if n, err := v.Int64(); err == nil && slices.Contains(durations, name) {
			if n == 0 {
				return ""
			}
			return time.Duration(n).Round(100 * time.Microsecond).String()
		}
		return v.String()
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

// aboutEngines are the kinds of events that explain what an engine, or a model's place, went through.
var aboutEngines = []Kind{"placement", "order", "engine_lost", "engine_back", "endpoint_added", "endpoint_gone", "link_lost"}

// aboutAll are those that concern all requests of a process.
var aboutAll = []Kind{"config", "store_lost", "store_back", "coordinator", "started", "stopping", "stopped", logDropped, logReduced}

// Causes returns the events that may explain how a request ended: its own, and those of a span before it on its model, on the
// engines that it was sent to, and on the process that answered it.
func (l *LogLines) Causes(request string, span time.Duration) []Event {
	var own []Event
	for _, e := range l.Events {
		if e.Request == request {
			own = append(own, e)
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortFunc(own, Compare)
	last := WallTime(own[len(own)-1].Clock)
	first := WallTime(own[0].Clock).Add(-span)
	for _, e := range own {
		if took, err := time.ParseDuration(e.Fields["took"]); err == nil && WallTime(e.Clock).Add(-took-span).Before(first) {
			first = WallTime(e.Clock).Add(-took - span)
		}
	}
	causes := slices.Clone(own)
	for _, e := range l.Events {
		at := WallTime(e.Clock)
		if e.Request == "" && !at.Before(first) && !at.After(last) && concerns(own, &e) {
			causes = append(causes, e)
		}
	}
	return causes
}

// concerns reports whether an event is on the model, an engine or the process of a request's own events.
func concerns(own []Event, e *Event) bool {
	return slices.ContainsFunc(own, func(o Event) bool {
		switch {
		case slices.Contains(aboutEngines, e.Kind):
			return o.Model != "" && (e.Model == o.Model || slices.Contains(namesIn(e.Fields["unload"]), o.Model)) ||
				o.Endpoint != "" && e.Endpoint == o.Endpoint
		case slices.Contains(aboutAll, e.Kind):
			return e.Process == o.Process
		}
		return false
	})
}

// namesIn reads a list of names in a field.
func namesIn(field string) []string {
	var list []string
	if err := json.Unmarshal([]byte(field), &list); err != nil {
		return nil
	}
	return list
}

// Matching returns the events that a filter lets pass.
func (l *LogLines) Matching(f Filter) []Event {
	return slices.DeleteFunc(slices.Clone(l.Events), func(e Event) bool { return !f.Match(&e) })
}

// Collection puts events into one order for a Printer.
func (l *LogLines) Collection(events []Event) Collection {
	slices.SortStableFunc(events, Compare)
	c := Collection{}
	for _, e := range events {
		c.Events = append(c.Events, Released{Event: e})
	}
	if l.Strange > 0 {
		c.Notes = append(c.Notes, Note{Kind: NoteStrangeLines, Process: "logs", Dropped: uint64(l.Strange)})
	}
	if l.Missing > 0 {
		c.Notes = append(c.Notes, Note{Kind: NoteLeftOut, Process: "logs", Dropped: uint64(l.Missing)})
	}
	return c
}
