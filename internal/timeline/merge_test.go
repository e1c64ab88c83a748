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

// exchange is a random run of processes that record events and send each other messages, with clocks that are apart.
type exchange struct {
	random    *rand.Rand
	wall      time.Time
	skews     []time.Duration
	recorders []*Recorder
	// inTransit holds messages that were sent and not yet received.
	inTransit []message
	// causes lists pairs of events, the first of which is a direct cause of the second.
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
	exchangeSteps = 200
	exchangeSkew  = 20 * time.Second
)

func newExchange(seed int64, processes int) *exchange {
	x := &exchange{random: rand.New(rand.NewSource(seed)), wall: time.Unix(1_700_000_000, 0)}
	for i := range processes {
		skew := time.Duration(x.random.Int63n(int64(exchangeSkew)))
		x.skews = append(x.skews, skew)
		clock := NewHybridClock(func() time.Time { return x.wall.Add(skew) })
		x.recorders = append(x.recorders, NewRecorder(fmt.Sprintf("p%d", i), exchangeSteps, clock))
	}
	return x
}

// step lets a random process record an event, and perhaps send or receive a message.
func (x *exchange) step() {
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

// record records an event, of which the one before in the same process is a cause.
func (x *exchange) record(process int, kind Kind) eventID {
	r := x.recorders[process]
	r.Record(Event{Kind: kind})
	head, _ := r.Read(r.start, 0)
	id := eventID{r.Process(), head.Latest}
	if head.Latest > 1 {
		x.causes = append(x.causes, causePair{eventID{r.Process(), head.Latest - 1}, id})
	}
	return id
}

// misplaced returns a pair whose effect does not come after its cause in the merged order.
func (x *exchange) misplaced(merged []Event) (causePair, bool) {
	place := map[eventID]int{}
	for i, e := range merged {
		place[eventID{e.Process, e.Sequence}] = i + 1
	}
	for _, pair := range x.causes {
		if place[pair.cause] == 0 || place[pair.effect] <= place[pair.cause] {
			return pair, true
		}
	}
	return causePair{}, false
}

func seeded() *gopter.TestParameters {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(1)
	return parameters
}

// An operator asks why a request failed, and the time line shows its end at the entry before its cause at the agent,
// because the agent's host has its clock some seconds ahead. The merged order must put each cause first, whatever the
// clocks say.
func TestMergePutsCausesFirst(t *testing.T) {
	properties := gopter.NewProperties(seeded())
	properties.Property("merge is a linear extension of cause and effect", prop.ForAll(
		func(seed int64, processes int) string {
			x := newExchange(seed, processes)
			for range exchangeSteps {
				x.step()
			}
			var batches [][]Event
			for _, r := range x.recorders {
				batches = append(batches, r.Since(0))
			}
			if pair, wrong := x.misplaced(Merge(batches...)); wrong {
				return fmt.Sprintf("%+v", pair)
			}
			return ""
		},
		gen.Int64(), gen.IntRange(2, 6),
	))
	properties.TestingRun(t)
}

// Following a live system, processes are read one after the other while they go on recording. What has been given out
// cannot be taken back, so nothing may be given out while an earlier event can still come.
func TestFollowedOrderPutsCausesFirst(t *testing.T) {
	properties := gopter.NewProperties(seeded())
	properties.Property("released order is a linear extension, complete and without repeats", prop.ForAll(
		func(seed int64, processes int) string {
			x := newExchange(seed, processes)
			merger := NewMerger()
			var released []Event
			take := func(events []Released) string {
				for _, e := range events {
					if e.Late {
						return fmt.Sprintf("late: %+v", e)
					}
					released = append(released, e.Event)
				}
				return ""
			}
			poll := func(i int) { pollInto(merger, x.recorders[i]) }
			for i := range x.recorders {
				poll(i)
			}
			for range exchangeSteps {
				x.step()
				poll(x.random.Intn(len(x.recorders)))
				if wrong := take(merger.Take()); wrong != "" {
					return wrong
				}
			}
			for i := range x.recorders {
				poll(i)
			}
			if wrong := take(merger.Rest()); wrong != "" {
				return wrong
			}
			if len(released) != exchangeSteps {
				return fmt.Sprintf("%d events of %d", len(released), exchangeSteps)
			}
			if pair, wrong := x.misplaced(released); wrong {
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
		name  string
		after func(m *Merger, r *Recorder) []Note
		want  []Note
	}{
		{
			name:  "nothing",
			after: func(m *Merger, r *Recorder) []Note { return pollInto(m, r) },
		},
		{
			name: "the ring overran",
			after: func(m *Merger, r *Recorder) []Note {
				for range 7 {
					r.Record(Event{Kind: "x"})
				}
				return pollInto(m, r)
			},
			want: []Note{{Kind: NoteGap, URL: "p", Process: "p", Dropped: 3}},
		},
		{
			name: "the process restarted",
			after: func(m *Merger, r *Recorder) []Note {
				r.Clock().Now()
				again := NewRecorder("p", 4, r.Clock())
				again.Record(Event{Kind: "x"})
				return pollInto(m, again)
			},
			want: []Note{{Kind: NoteRestarted, URL: "p", Process: "p"}},
		},
		{
			name:  "the process does not answer",
			after: func(m *Merger, _ *Recorder) []Note { return m.Lost("p", "refused") },
			want:  []Note{{Kind: NoteLost, URL: "p", Process: "p", Detail: "refused"}},
		},
		{
			name: "it goes on not answering",
			after: func(m *Merger, _ *Recorder) []Note {
				m.Lost("p", "refused")
				return m.Lost("p", "refused")
			},
		},
		{
			name: "it answers again",
			after: func(m *Merger, r *Recorder) []Note {
				m.Lost("p", "refused")
				return pollInto(m, r)
			},
			want: []Note{{Kind: NoteBack, URL: "p", Process: "p"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecorder("p", 4, clock())
			m := NewMerger()
			r.Record(Event{Kind: "first"})
			pollInto(m, r)
			if got := c.after(m, r); !slices.Equal(got, c.want) {
				t.Fatalf("notes %+v, want %+v", got, c.want)
			}
		})
	}
}

// A process restarts and has recorded as many events as its predecessor by the next read. Its sequences look as if they
// had been read already; the start of its recorder tells that they were not.
func TestRestartedProcessIsReadFromItsBeginning(t *testing.T) {
	clock := fixedClock()
	m := NewMerger()
	before := NewRecorder("p", 4, clock)
	before.Record(Event{Kind: "before"})
	pollInto(m, before)
	after := NewRecorder("p", 4, clock)
	after.Record(Event{Kind: "after"})
	pollInto(m, after)
	if got := m.Rest(); len(got) != 2 || got[1].Kind != "after" {
		t.Fatalf("got %+v, want the events before and after", got)
	}
}

// One process is cut off while others go on; it comes back with events from the meantime. They must be shown, and shown
// as late, and must not have held the others up.
func TestLostProcessIsNotWaitedFor(t *testing.T) {
	wall := time.Unix(1_700_000_000, 0)
	now := func() time.Time { return wall }
	a := NewRecorder("a", 10, NewHybridClock(now))
	b := NewRecorder("b", 10, NewHybridClock(now))
	m := NewMerger()
	pollInto(m, a)
	pollInto(m, b)
	wall = wall.Add(time.Second)
	b.Record(Event{Kind: "while cut off"})
	wall = wall.Add(time.Second)
	a.Record(Event{Kind: "goes on"})
	pollInto(m, a)
	if got := m.Take(); len(got) != 0 {
		t.Fatalf("%+v was given out while b may have earlier events", got)
	}
	m.Lost("b", "cut")
	if got := m.Take(); len(got) != 1 || got[0].Kind != "goes on" || got[0].Late {
		t.Fatalf("got %+v, want the event of a", got)
	}
	pollInto(m, b)
	pollInto(m, a)
	if got := m.Take(); len(got) != 1 || got[0].Kind != "while cut off" || !got[0].Late {
		t.Fatalf("got %+v, want the event of b marked late", got)
	}
}
