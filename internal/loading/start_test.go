package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
)

// An agent that dies leaves orders on their way. Its successor finds an engine that shows nothing of them; if it ordered
// at once, the late order would overcommit the engine's memory or load what has no slot.
func TestStart(t *testing.T) {
	early := func(models ...string) []line {
		return lines(line{event: Tick{}}, line{event: testSpecs}, line{event: engineShows()}, line{event: holdingSlots(models...), want: "*"})
	}
	checks := func(o *Options) { o.ChecksFencing = true }
	runScripts(t, []scriptCase{
		{
			name: "nothing is ordered before the life of a predecessor's orders is over and the state was read since",
			lines: lines(early("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{after: testLife - 1, event: Tick{}},
				line{after: 1, event: Tick{}},
				line{event: engineShows(), want: "load x@1"},
			),
		},
		{
			name: "a request whose deadline is before that is refused at once",
			lines: lines(early("x@1"),
				line{event: demandOf("r", "x@1", "", testLife), want: "refuse r x@1 DEADLINE"},
			),
			then: func(t *testing.T, s *script) {
				if s.m.find("x@1", "").wishUntil.Before(scriptStart.Add(testLife)) {
					t.Error("the load is not wanted for the caller that comes again")
				}
			},
		},
		{
			// The engine refuses old numbers, but a load that reached it before this agent's first order is carried out.
			name:    "where fencing numbers are checked an unload of nothing goes first",
			options: checks,
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineShows()},
				line{event: holdingSlots("x@1", "y@1"), want: "unload big@1"},
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: result{order: "unload big@1"}},
				line{event: engineShows("y@1:loading"), want: "load x@1"},
			),
		},
		{
			name:    "the unload of nothing is tried again, and after the orders' life there is no need of it",
			options: checks,
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineShows()},
				line{event: holdingSlots("x@1"), want: "unload big@1"},
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: result{order: "unload big@1", err: endpoint.ErrUnavailable}},
				line{after: time.Second, event: Tick{}, want: "unload big@1"},
				line{after: testLife, event: Tick{}},
				line{event: engineShows(), want: "load x@1"},
			),
		},
		{
			name: "a loaded model with a slot is usable as soon as the state and the slots are known",
			lines: lines(
				line{event: Tick{}}, line{event: engineShows("x@1+xa")},
				line{event: holdingSlots("x@1"), want: "usable x@1; usable x@1 xa"},
			),
			then: wantReady(true),
		},
		{
			name: "in an outage of the table a pushed row lets a loaded model be served, and nothing is ordered",
			keep: time.Second,
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineShows("x@1", "y@1")},
				line{event: RowSeen{Row: slots("x@1", 5, granted("e"))}, want: "usable x@1"},
				line{event: RowSeen{Row: slots("z@1", 5, granted("e"))}},
				line{event: demandOf("x", "x@1", "", time.Hour)},
				line{event: demandOf("z", "z@1", "", time.Hour), want: "refuse z z@1 NOT_READY"},
				line{event: DemandGone{Request: "x"}},
				line{after: time.Hour, event: Tick{}},
			),
			then: wantReady(true),
		},
		{
			name:  "it is not ready before the engine's state is known",
			lines: lines(line{event: Tick{}}, line{event: holdingSlots("x@1")}),
			then:  wantReady(false),
		},
		{
			name:  "it is not ready before a slot is known",
			lines: lines(line{event: Tick{}}, line{event: engineShows("x@1")}),
			then:  wantReady(false),
		},
	})
}

func wantReady(ready bool) func(*testing.T, *script) {
	return func(t *testing.T, s *script) {
		if got := s.m.Status(s.now).Ready; got != ready {
			t.Errorf("ready %v, want %v", got, ready)
		}
	}
}

// A late order of an old agent must carry a lower number than the first of the new one, or the engine carries it out.
func TestFencingNumbersRise(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			name:    "from the revision of the table, and above what the engine has seen",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(begunWith(shows{fence: 9<<fenceCounterBits + 7}, "x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "*"},
				line{event: RowSeen{Row: slots("x@1", 12, granted("e"))}},
				line{after: time.Minute, event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
			then: func(t *testing.T, s *script) {
				if s.fences[0] != 9<<fenceCounterBits+8 || s.fences[1] != 12<<fenceCounterBits {
					t.Errorf("fences %v", s.fences)
				}
			},
		},
		{
			// All numbers of a revision are used up; one more would be that of the next revision, which another agent may
			// start from.
			name:    "no order is given until a higher revision is known",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(begunWith(shows{fence: 10<<fenceCounterBits - 1}, "x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: RowsRead{Revision: 10, Rows: holdingSlots("x@1").Rows}, want: "load x@1"},
			),
		},
	})
}
