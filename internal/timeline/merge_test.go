package timeline

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// simulation is a random run of processes with skewed clocks that record events and send messages to each other.
type simulation struct {
	random    *rand.Rand
	wall      time.Time
	skews     []time.Duration
	recorders []*Recorder
	// inTransit holds messages that have been sent but not received.
	inTransit []message
	// causes lists the pairs of events with a direct causal relation.
	causes []causePair
}

type eventID struct {
	process  string
	sequence uint64
}

type causePair struct{ cause, effect eventID }

type message struct {
	to    int
	clock uint64
	sent  eventID
}

const (
	simulationSteps = 200
	maxSkew         = 20 * time.Second
)

func newSimulation(seed int64, processes int) *simulation {
	x := &simulation{random: rand.New(rand.NewSource(seed)), wall: time.Unix(1_700_000_000, 0)}
	for i := range processes {
		skew := time.Duration(x.random.Int63n(int64(maxSkew)))
		x.skews = append(x.skews, skew)
		clock := NewHybridClock(func() time.Time { return x.wall.Add(skew) })
		x.recorders = append(x.recorders, NewRecorder(fmt.Sprintf("p%d", i), simulationSteps, clock))
	}
	return x
}

// step makes a random process send a message or receive one in transit, and records the event.
func (x *simulation) step() {
	x.wall = x.wall.Add(time.Duration(x.random.Int63n(int64(3 * time.Millisecond))))
	if n := len(x.inTransit); n > 0 && x.random.Intn(2) == 0 {
		i := x.random.Intn(n)
		m := x.inTransit[i]
		x.inTransit = slices.Delete(x.inTransit, i, i+1)
		x.recorders[m.to].Clock().Observe(m.clock)
		x.causes = append(x.causes, causePair{m.sent, x.record(m.to, "received")})
		return
	}
	from := x.random.Intn(len(x.recorders))
	sent := x.record(from, "sent")
	to := x.random.Intn(len(x.recorders))
	x.inTransit = append(x.inTransit, message{to, x.recorders[from].Clock().Now(), sent})
}

// record records an event; the previous event of the same process is a cause of it.
func (x *simulation) record(process int, kind Kind) eventID {
	r := x.recorders[process]
	r.Record(Event{Kind: kind})
	head, _ := r.Read(r.start, 0)
	id := eventID{r.Process(), head.Latest}
	if head.Latest > 1 {
		x.causes = append(x.causes, causePair{eventID{r.Process(), head.Latest - 1}, id})
	}
	return id
}

// findViolation returns a pair whose effect does not follow its cause in the merged order.
func (x *simulation) findViolation(merged []Event) (causePair, bool) {
	position := map[eventID]int{}
	for i, e := range merged {
		position[eventID{e.Process, e.Sequence}] = i + 1
	}
	for _, pair := range x.causes {
		if position[pair.cause] == 0 || position[pair.effect] <= position[pair.cause] {
			return pair, true
		}
	}
	return causePair{}, false
}

func testParameters() *gopter.TestParameters {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(1)
	return parameters
}

// If an agent's host clock is ahead, sorting by wall-clock time would show a failure at the entry before its cause at the
// agent. The merged order must put each cause before its effects despite clock skew.
func TestMergePutsCausesFirst(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("merge is a linear extension of cause and effect", prop.ForAll(
		func(seed int64, processes int) string {
			x := newSimulation(seed, processes)
			for range simulationSteps {
				x.step()
			}
			var batches [][]Event
			for _, r := range x.recorders {
				batches = append(batches, r.Since(0))
			}
			if pair, wrong := x.findViolation(Merge(batches...)); wrong {
				return fmt.Sprintf("%+v", pair)
			}
			return ""
		},
		gen.Int64(), gen.IntRange(2, 6),
	))
	properties.TestingRun(t)
}

// While following a live system, processes are read one after the other as they keep recording. A released event cannot be
// retracted, so none may be released while an earlier one can still arrive.
func TestFollowedOrderPutsCausesFirst(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("released order is a linear extension, complete and without duplicates", prop.ForAll(
		func(seed int64, processes int) string {
			x := newSimulation(seed, processes)
			merger := NewMerger()
			var released []Event
			take := func(events []MergedEvent) string {
				for _, e := range events {
					if e.OutOfOrder {
						return fmt.Sprintf("out of order: %+v", e)
					}
					released = append(released, e.Event)
				}
				return ""
			}
			poll := func(i int) { pollInto(merger, x.recorders[i]) }
			for i := range x.recorders {
				poll(i)
			}
			for range simulationSteps {
				x.step()
				poll(x.random.Intn(len(x.recorders)))
				if wrong := take(merger.Ready()); wrong != "" {
					return wrong
				}
			}
			for i := range x.recorders {
				poll(i)
			}
			if wrong := take(merger.Flush()); wrong != "" {
				return wrong
			}
			if len(released) != simulationSteps {
				return fmt.Sprintf("%d events of %d", len(released), simulationSteps)
			}
			if pair, wrong := x.findViolation(released); wrong {
				return fmt.Sprintf("%+v", pair)
			}
			return ""
		},
		gen.Int64(), gen.IntRange(2, 6),
	))
	properties.TestingRun(t)
}

// pollInto reads a recorder into a merger, as a Collector does over HTTP.
func pollInto(m *Merger, r *Recorder) []Note {
	cursor := m.Cursor(r.Process())
	head, events := r.Read(cursor.Start, cursor.After)
	return m.Add(r.Process(), head, events)
}

func TestNotesTellWhatIsMissing(t *testing.T) {
	clock := func() *HybridClock { return NewHybridClock(func() time.Time { return time.Unix(1_700_000_000, 0) }) }
	cases := []struct {
		name string
		act  func(m *Merger, r *Recorder) []Note
		want []Note
	}{
		{
			name: "nothing",
			act:  func(m *Merger, r *Recorder) []Note { return pollInto(m, r) },
		},
		{
			name: "events were evicted",
			act: func(m *Merger, r *Recorder) []Note {
				for range 7 {
					r.Record(Event{Kind: "x"})
				}
				return pollInto(m, r)
			},
			want: []Note{{Kind: NoteGap, URL: "p", Process: "p", Dropped: 3}},
		},
		{
			name: "the process restarted",
			act: func(m *Merger, r *Recorder) []Note {
				r.Clock().Now()
				again := NewRecorder("p", 4, r.Clock())
				again.Record(Event{Kind: "x"})
				return pollInto(m, again)
			},
			want: []Note{{Kind: NoteRestarted, URL: "p", Process: "p"}},
		},
		{
			name: "the process becomes unreachable",
			act:  func(m *Merger, _ *Recorder) []Note { return m.MarkUnreachable("p", "refused") },
			want: []Note{{Kind: NoteUnreachable, URL: "p", Process: "p", Detail: "refused"}},
		},
		{
			name: "the process stays unreachable",
			act: func(m *Merger, _ *Recorder) []Note {
				m.MarkUnreachable("p", "refused")
				return m.MarkUnreachable("p", "refused")
			},
		},
		{
			name: "the process recovers",
			act: func(m *Merger, r *Recorder) []Note {
				m.MarkUnreachable("p", "refused")
				return pollInto(m, r)
			},
			want: []Note{{Kind: NoteRecovered, URL: "p", Process: "p"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder("p", 4, clock())
			m := NewMerger()
			r.Record(Event{Kind: "first"})
			pollInto(m, r)
			if got := c.act(m, r); !slices.Equal(got, c.want) {
				t.Fatalf("notes %+v, want %+v", got, c.want)
			}
		})
	}
}

// A restarted process has recorded as many events as its predecessor by the next read, so its sequences look as if they
// had been read already. The changed start of its recorder must cause it to be read from the beginning.
func TestRestartedProcessIsReadFromItsBeginning(t *testing.T) {
	clock := fixedClock()
	m := NewMerger()
	before := NewRecorder("p", 4, clock)
	before.Record(Event{Kind: "before"})
	pollInto(m, before)
	after := NewRecorder("p", 4, clock)
	after.Record(Event{Kind: "after"})
	pollInto(m, after)
	if got := m.Flush(); len(got) != 2 || got[1].Kind != "after" {
		t.Fatalf("got %+v, want the events before and after", got)
	}
}

// One process is unreachable for a while and then returns events recorded in the meantime. It must not hold back the
// events of the others, and its own must be returned and marked as out of order.
func TestLostProcessIsNotWaitedFor(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	now := func() time.Time { return wall }
	a := NewRecorder("a", 10, NewHybridClock(now))
	b := NewRecorder("b", 10, NewHybridClock(now))
	m := NewMerger()
	pollInto(m, a)
	pollInto(m, b)
	wall = wall.Add(time.Second)
	b.Record(Event{Kind: "during outage"})
	wall = wall.Add(time.Second)
	a.Record(Event{Kind: "reachable"})
	pollInto(m, a)
	if got := m.Ready(); len(got) != 0 {
		t.Fatalf("%+v was released while b may have earlier events", got)
	}
	m.MarkUnreachable("b", "disconnected")
	if got := m.Ready(); len(got) != 1 || got[0].Kind != "reachable" || got[0].OutOfOrder {
		t.Fatalf("got %+v, want the event of a", got)
	}
	pollInto(m, b)
	pollInto(m, a)
	if got := m.Ready(); len(got) != 1 || got[0].Kind != "during outage" || !got[0].OutOfOrder {
		t.Fatalf("got %+v, want the event of b marked out of order", got)
	}
}
