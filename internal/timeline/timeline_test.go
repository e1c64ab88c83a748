package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// fixedClock returns a hybrid clock with a constant wall-clock time.
func fixedClock() *HybridClock {
	return NewHybridClock(func() time.Time { return time.Unix(1_700_000_000, 0) })
}

func TestHybridClock(t *testing.T) {
	const base = uint64(1_700_000_000_000) << counterBits
	cases := []struct {
		name     string
		observed uint64
		want     bool
		wantNow  uint64
	}{
		{name: "an earlier reading has no effect", observed: base - 5, want: true, wantNow: base + 1},
		{name: "a later reading advances the clock", observed: base + 500, want: true, wantNow: base + 501},
		{name: "a reading beyond MaxDrift is rejected", observed: base + 61_000<<counterBits, wantNow: base + 1},
		{name: "the maximum reading does not overflow", observed: ^uint64(0), wantNow: base + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := fixedClock()
			clock.Now()
			if got := clock.Observe(c.observed); got != c.want {
				t.Fatalf("Observe returned %v, want %v", got, c.want)
			}
			if got := clock.Now(); got != c.wantNow {
				t.Fatalf("Now returned %d, want %d", got, c.wantNow)
			}
		})
	}
}

// Events with very long texts, such as a request path of many kilobytes, must neither exceed the ring's memory limit nor
// evict all other events.
func TestRecorderStaysWithinItsMemory(t *testing.T) {
	const size = 64
	cases := []struct {
		name    string
		event   Event
		minKept int
	}{
		{name: "small events are limited by count", event: Event{Kind: RequestReceived, Request: "r"}, minKept: size},
		{name: "long detail is truncated", event: Event{Detail: strings.Repeat("é", 100_000)}, minKept: size / 2},
		{
			name: "all texts are long", minKept: size / 4,
			event: Event{
				Kind: Kind(strings.Repeat("k", 9000)), Request: strings.Repeat("r", 9000), Model: strings.Repeat("m", 9000),
				Endpoint: strings.Repeat("e", 9000), Detail: strings.Repeat("d", 9000),
				Fields: map[string]string{"a": strings.Repeat("f", 9000)},
			},
		},
		{name: "fields count towards the size", event: Event{Fields: map[string]string{"a": strings.Repeat("f", 900)}}, minKept: size / 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder("p", size, fixedClock())
			for range 10 * size {
				r.Record(c.event)
				if r.Bytes() > size*DefaultEventBytes {
					t.Fatalf("%d bytes stored, want at most %d", r.Bytes(), size*DefaultEventBytes)
				}
			}
			events := r.Since(0)
			sum := 0
			for i := range events {
				sum += events[i].size()
			}
			if len(events) < c.minKept || sum != r.Bytes() {
				t.Fatalf("%d events of %d bytes, counted as %d bytes; want at least %d events and equal byte counts", len(events), sum, r.Bytes(), c.minKept)
			}
			if last := events[len(events)-1]; last.Sequence != 10*size || last.size() > MaxEventBytes {
				t.Fatalf("the last event has sequence %d and %d bytes", last.Sequence, last.size())
			}
		})
	}
}

func TestMetrics(t *testing.T) {
	r := NewRecorder("p", 4, fixedClock())
	for range 10 {
		r.Record(Event{Kind: "x"})
	}
	r.Clock().Observe(^uint64(0))
	registry := prometheus.NewPedanticRegistry()
	if err := r.Register(registry); err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{
		"balsamsail_timeline_recorded_events_total":         10,
		"balsamsail_timeline_evicted_events_total":          6,
		"balsamsail_timeline_rejected_clock_readings_total": 1,
		"balsamsail_timeline_kept_bytes":                    float64(r.Bytes()),
	}
	families, err := registry.Gather()
	if err != nil || len(families) != len(want) {
		t.Fatalf("%d metrics, %v; want %d", len(families), err, len(want))
	}
	for _, family := range families {
		metric := family.GetMetric()[0]
		if got := metric.GetCounter().GetValue() + metric.GetGauge().GetValue(); got != want[family.GetName()] {
			t.Errorf("%s is %v, want %v", family.GetName(), got, want[family.GetName()])
		}
	}
	if err := r.Register(registry); !errors.Is(err, ErrMetrics) {
		t.Fatalf("second registration: %v, want ErrMetrics", err)
	}
}

func TestNilRecorderDropsEvents(t *testing.T) {
	var r *Recorder
	r.Record(Event{Kind: "x"})
}

func TestFilter(t *testing.T) {
	event := Event{Kind: LoadOrdered, Request: "r1", Model: "narrator@2", Endpoint: "e1"}
	cases := []struct {
		name   string
		filter Filter
		want   bool
	}{
		{name: "empty", want: true},
		{name: "request", filter: Filter{Requests: []string{"r0", "r1"}}, want: true},
		{name: "another request", filter: Filter{Requests: []string{"r2"}}},
		{name: "model with version", filter: Filter{Models: []string{"narrator@2"}}, want: true},
		{name: "model without version", filter: Filter{Models: []string{"narrator"}}, want: true},
		{name: "another version", filter: Filter{Models: []string{"narrator@1"}}},
		{name: "a prefix of the name", filter: Filter{Models: []string{"narr"}}},
		{name: "endpoint and kind", filter: Filter{Endpoints: []string{"e1"}, Kinds: []Kind{LoadOrdered}}, want: true},
		{name: "endpoint and another kind", filter: Filter{Endpoints: []string{"e1"}, Kinds: []Kind{LoadFailed}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.filter.Match(&event); got != c.want {
				t.Fatalf("match %v, want %v", got, c.want)
			}
			if got := parseFilter(c.filter.Query()); fmt.Sprint(got) != fmt.Sprint(c.filter) {
				t.Fatalf("the filter was parsed as %+v", got)
			}
		})
	}
}

// serveRecorder serves a recorder over HTTP and returns its base URL.
func serveRecorder(t *testing.T, r *Recorder) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(Path, NewHandler(r))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func TestCollectOverHTTP(t *testing.T) {
	entry := NewRecorder("entry-1", 10, fixedClock())
	agent := NewRecorder("agent-1", 10, fixedClock())
	entry.Record(Event{Kind: RequestOffered, Request: "r1", Fields: map[string]string{"attempt": "1"}})
	entry.Record(Event{Kind: RequestOffered, Request: "r2"})
	agent.Clock().Observe(entry.Clock().Now())
	agent.Record(Event{Kind: RequestAccepted, Request: "r1"})
	stopped := httptest.NewServer(nil)
	stopped.Close()

	collector := NewCollector(http.DefaultClient, Filter{Requests: []string{"r1"}})
	got := collector.Collect(t.Context(), []string{serveRecorder(t, agent), stopped.URL, serveRecorder(t, entry)})
	if len(got.Events) != 2 || got.Events[0].Kind != RequestOffered || got.Events[1].Kind != RequestAccepted {
		t.Fatalf("events %+v, want offered and accepted", got.Events)
	}
	if got.Events[0].Fields["attempt"] != "1" {
		t.Fatalf("got fields %v, want attempt 1", got.Events[0].Fields)
	}
	if len(got.Notes) != 1 || got.Notes[0].Kind != NoteUnreachable || got.Notes[0].URL != stopped.URL {
		t.Fatalf("notes %+v, want one for the stopped process", got.Notes)
	}
}

func TestFollowGoesOnWhereItWas(t *testing.T) {
	r := NewRecorder("entry-1", 10, fixedClock())
	urls := []string{serveRecorder(t, r)}
	var seen []uint64
	errStop := errors.New("stop following")
	collector := NewCollector(http.DefaultClient, Filter{})
	err := collector.Follow(t.Context(), time.Millisecond,
		func(context.Context) ([]string, error) { return urls, nil },
		func(c Collection) error {
			for _, e := range c.Events {
				seen = append(seen, e.Sequence)
			}
			if len(seen) == 3 {
				return errStop
			}
			r.Record(Event{Kind: "x"})
			return nil
		})
	if !errors.Is(err, errStop) || fmt.Sprint(seen) != "[1 2 3]" {
		t.Fatalf("got sequences %v, %v; want each event once", seen, err)
	}
}

// Accepting a truncated response would advance the cursor past the missing events without notice. It must be treated as a
// failed read, so that the next read returns all events.
func TestCutAnswerIsReadAgain(t *testing.T) {
	r := NewRecorder("entry-1", 10, fixedClock())
	r.Record(Event{Kind: "first"})
	r.Record(Event{Kind: "second"})
	answer := httptest.NewRecorder()
	NewHandler(r).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, Path, nil))
	whole := answer.Body.Bytes()
	lastLine := bytes.LastIndexByte(whole[:len(whole)-1], '\n') + 1
	cases := []struct {
		name string
		cut  int
		// clean is set if the connection ends as if the response were complete.
		clean bool
	}{
		{name: "between two lines", cut: lastLine},
		{name: "within a line", cut: lastLine + 10},
		{name: "within a line, with a clean end", cut: lastLine + 10, clean: true},
		{name: "within the head", cut: 5},
		{name: "before the head", clean: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var cut atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if !cut.CompareAndSwap(false, true) {
					NewHandler(r).ServeHTTP(w, q)
					return
				}
				if !c.clean {
					w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
				}
				_, _ = w.Write(whole[:c.cut])
			}))
			defer server.Close()
			collector := NewCollector(http.DefaultClient, Filter{})
			first := collector.Collect(t.Context(), []string{server.URL})
			if len(first.Events) != 0 || len(first.Notes) != 1 || first.Notes[0].Kind != NoteUnreachable {
				t.Fatalf("the truncated response returned %+v", first)
			}
			if second := collector.Collect(t.Context(), []string{server.URL}); len(second.Events) != 2 {
				t.Fatalf("the second read returned %+v, want both events", second)
			}
		})
	}
}

// With concurrent Record calls, sequences and clock readings must have the same order, because a reader resumes by
// sequence and sorts by clock.
func TestSequenceAndClockAgree(t *testing.T) {
	const goroutines, each = 8, 2000
	r := NewRecorder("p", goroutines*each, NewHybridClock(time.Now))
	var all sync.WaitGroup
	for range goroutines {
		all.Go(func() {
			for range each {
				r.Record(Event{Kind: "x"})
			}
		})
	}
	all.Wait()
	events := r.Since(0)
	for i := 1; i < len(events); i++ {
		if events[i].Clock <= events[i-1].Clock {
			t.Fatalf("event %d has clock %d, the previous one %d", events[i].Sequence, events[i].Clock, events[i-1].Clock)
		}
	}
	if len(events) != goroutines*each {
		t.Fatalf("%d events, want %d", len(events), goroutines*each)
	}
}

func TestHandlerRefusesBadParameters(t *testing.T) {
	for _, query := range []string{"after=x", "start=-1"} {
		w := httptest.NewRecorder()
		NewHandler(NewRecorder("p", 1, fixedClock())).ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"?"+query, nil))
		if w.Code != http.StatusBadRequest {
			t.Fatalf("%s: status %d, want 400", query, w.Code)
		}
	}
}

func TestPrint(t *testing.T) {
	at := uint64(1_700_000_000_000) << counterBits
	collection := Collection{
		Notes: []Note{{Kind: NoteGap, Process: "agent-1", Dropped: 3}},
		Events: []MergedEvent{
			{Event: Event{Clock: at, Process: "entry-1", Kind: RequestOffered, Request: "r1", Model: "narrator@2"}},
			{Event: Event{
				Clock: at + 1500<<counterBits, Process: "agent-1", Kind: LoadFailed, Endpoint: "e1",
				Detail: "no such\x1b[31m file", Fields: map[string]string{"b": "2", "a": "one two"},
			}, OutOfOrder: true},
		},
	}
	const want = `# agent-1: 3 events were dropped before they were read
# times from 2023-11-14T22:13:20Z on
   +0.000s  entry-1         request.offered       request=r1 model=narrator@2
   +1.500s  agent-1         load.failed           endpoint=e1 a="one two" b=2 "no such\x1b[31m file" (late)
`
	var text strings.Builder
	if err := NewPrinter(&text, FormatText).Print(collection); err != nil {
		t.Fatal(err)
	}
	if text.String() != want {
		t.Fatalf("got\n%s\nwant\n%s", text.String(), want)
	}
	var lines strings.Builder
	if err := NewPrinter(&lines, FormatJSON).Print(collection); err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(strings.NewReader(lines.String()))
	var note Note
	if err := decoder.Decode(&note); err != nil || note != collection.Notes[0] {
		t.Fatalf("note %+v, %v", note, err)
	}
	for _, wanted := range collection.Events {
		var got MergedEvent
		if err := decoder.Decode(&got); err != nil || !reflect.DeepEqual(got, wanted) {
			t.Fatalf("event %+v, %v; want %+v", got, err, wanted)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	cases := []struct {
		name  string
		event Event
	}{
		{name: "plain", event: Event{Kind: RequestOffered, Request: "0123456789abcdef", Model: "narrator@2", Endpoint: "engine-1"}},
		{name: "detail", event: Event{
			Kind: RequestFailed, Request: "0123456789abcdef", Model: "narrator@2", Endpoint: "engine-1",
			Detail: "the endpoint failed after 12 tokens: connection reset by peer",
		}},
		{name: "fields", event: Event{Kind: RequestOffered, Request: "0123456789abcdef", Fields: map[string]string{"attempt": "1", "cold": "true"}}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			r := NewRecorder("entry-1", 4096, NewHybridClock(time.Now))
			b.ReportAllocs()
			for b.Loop() {
				r.Record(c.event)
			}
			b.ReportMetric(float64(r.Bytes())/float64(len(r.Since(0))), "kept-B/event")
		})
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	r := NewRecorder("entry-1", 4096, NewHybridClock(time.Now))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(Event{Kind: RequestOffered, Request: "0123456789abcdef", Model: "narrator@2", Endpoint: "engine-1"})
		}
	})
}

func BenchmarkExport(b *testing.B) {
	for _, events := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			r := NewRecorder("entry-1", events, NewHybridClock(time.Now))
			for range events {
				r.Record(Event{Kind: RequestOffered, Request: "0123456789abcdef", Model: "narrator@2", Endpoint: "engine-1"})
			}
			handler := NewHandler(r)
			var written int
			for b.Loop() {
				answer := httptest.NewRecorder()
				handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, Path, nil))
				written = answer.Body.Len()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
			b.ReportMetric(float64(written)/float64(events), "B/event")
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, processes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("processes=%d", processes), func(b *testing.B) {
			const each = 100
			var batches [][]Event
			for i := range processes {
				r := NewRecorder(fmt.Sprintf("p%d", i), each, NewHybridClock(time.Now))
				for range each {
					r.Record(Event{Kind: RequestOffered, Request: "0123456789abcdef"})
				}
				batches = append(batches, r.Since(0))
			}
			for b.Loop() {
				Merge(batches...)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*processes*each), "ns/event")
		})
	}
}
