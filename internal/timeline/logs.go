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

// ErrLogs reports that logs could not be read.
var ErrLogs = errors.New("timeline: reading logs failed")

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// LogReader parses the logs of processes and holds their events.
type LogReader struct {
	Events []Event
	// Malformed counts the lines that are not events, such as the output of other programs or a truncated line.
	Malformed int
	// Dropped counts the lines that processes reported as dropped.
	Dropped int

	sequences map[string]uint64
}

// Read adds the lines of one log or of several concatenated ones. Text before the first brace of a line, such as a prefix
// added by a log collector, is ignored.
func (l *LogReader) Read(r io.Reader) error {
	if l.sequences == nil {
		l.sequences = make(map[string]uint64)
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
			l.Malformed++
			continue
		}
		l.sequences[event.Process]++
		event.Sequence = l.sequences[event.Process]
		if event.Kind == logDropped || event.Kind == logReduced {
			n, _ := strconv.Atoi(event.Fields["lines"])
			l.Dropped += n
		}
		l.Events = append(l.Events, event)
	}
	return errors.Wrap(scanner.Err(), ErrLogs.Error())
}

// The events that report dropped log lines.
const (
	logDropped Kind = "log_dropped"
	logReduced Kind = "log_reduced"
)

// fieldSetters handles the log fields that map to a field of Event or are ignored. Placement lines use the names engine
// and load where order lines use endpoint and model.
var fieldSetters = map[string]func(e *Event, value string){
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

var errNotAnEvent = errors.New("not an event")

func parseLine(line []byte) (Event, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Event{}, errNotAnEvent
	}
	decoder := json.NewDecoder(bytes.NewReader(line[start:]))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return Event{}, err
	}
	if fields["event"] == nil {
		return Event{}, errNotAnEvent
	}
	event := Event{Fields: make(map[string]string)}
	if text, ok := fields["time"].(string); ok {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return Event{}, err
		}
		event.Clock = readingAt(at)
		delete(fields, "time")
	}
	for name, value := range fields {
		text := formatValue(name, value)
		if set := fieldSetters[name]; set != nil {
			set(&event, text)
		} else if text != "" {
			event.Fields[name] = text
		}
	}
	return event, nil
}

// durationFields lists the fields that hold nanoseconds; they are formatted as durations.
var durationFields = []string{"first_event", "longest_gap", "waited", "took", "retry_after", "left", "oldest_wait"}

func formatValue(name string, value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		if n, err := v.Int64(); err == nil && slices.Contains(durationFields, name) {
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

// engineKinds are the kinds of events that affect an engine or a model's replicas.
var engineKinds = []Kind{"placement", "order", "engine_lost", "engine_back", "endpoint_added", "endpoint_gone", "link_lost"}

// processKinds are the kinds of events that affect all requests of a process.
var processKinds = []Kind{"config", "store_lost", "store_back", "coordinator", "started", "stopping", "stopped", logDropped, logReduced}

// RelatedEvents returns the events that may explain the outcome of a request: its own events, and those from span
// before it until its end that affect its model, the engines it was sent to, or the processes that handled it.
func (l *LogReader) RelatedEvents(request string, span time.Duration) []Event {
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
		if e.Request == "" && !at.Before(first) && !at.After(last) && isRelated(own, &e) {
			causes = append(causes, e)
		}
	}
	return causes
}

// isRelated reports whether an event affects a model, an engine or a process of a request's own events.
func isRelated(own []Event, e *Event) bool {
	return slices.ContainsFunc(own, func(o Event) bool {
		switch {
		case slices.Contains(engineKinds, e.Kind):
			return o.Model != "" && (e.Model == o.Model || slices.Contains(parseNames(e.Fields["unload"]), o.Model)) ||
				o.Endpoint != "" && e.Endpoint == o.Endpoint
		case slices.Contains(processKinds, e.Kind):
			return e.Process == o.Process
		}
		return false
	})
}

// parseNames parses a JSON list of names; it returns nil if the field is not one.
func parseNames(field string) []string {
	var list []string
	if err := json.Unmarshal([]byte(field), &list); err != nil {
		return nil
	}
	return list
}

// Matching returns the events that a filter selects.
func (l *LogReader) Matching(f Filter) []Event {
	return slices.DeleteFunc(slices.Clone(l.Events), func(e Event) bool { return !f.Match(&e) })
}

// Collection sorts events for a Printer and adds notes about malformed and dropped lines.
func (l *LogReader) Collection(events []Event) Collection {
	slices.SortStableFunc(events, Compare)
	c := Collection{}
	for _, e := range events {
		c.Events = append(c.Events, MergedEvent{Event: e})
	}
	if l.Malformed > 0 {
		c.Notes = append(c.Notes, Note{Kind: NoteMalformedLines, Process: "logs", Dropped: uint64(l.Malformed)})
	}
	if l.Dropped > 0 {
		c.Notes = append(c.Notes, Note{Kind: NoteDroppedLines, Process: "logs", Dropped: uint64(l.Dropped)})
	}
	return c
}
