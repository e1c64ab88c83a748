package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
)

// An agent that dies leaves orders in flight. Its successor finds an engine that shows no trace of them; if it sent
// orders at once, a late order could overcommit the engine's memory or load a model without a slot.
func TestStart(t *testing.T) {
	early := func(models ...string) []line {
		return lines(line{event: Tick{}}, line{event: testSpecs}, line{event: engineReports()}, line{event: grantsFor(models...), want: "*"})
	}
	checks := func(o *Options) { o.ChecksFencing = true }
	runScripts(t, []scriptCase{
		{
			name: "nothing is ordered before the predecessor's orders have expired and the state was read after that",
			lines: lines(early("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{after: testOrderLife - 1, event: Tick{}},
				line{after: 1, event: Tick{}},
				line{event: engineReports(), want: "load x@1"},
			),
		},
		{
			name: "a request whose deadline passes before that is refused at once",
			lines: lines(early("x@1"),
				line{event: demandOf("r", "x@1", "", testOrderLife), want: "refuse r x@1 DEADLINE"},
			),
			check: func(t *testing.T, s *script) {
				if s.m.find("x@1", "").wantedUntil.Before(scriptStart.Add(testOrderLife)) {
					t.Error("the load is not kept wanted for the caller's retry")
				}
			},
		},
		{
			// The engine rejects stale fencing tokens, but carries out a load that reached it before this agent's first
			// order.
			name:    "if fencing tokens are checked, a barrier order is sent first",
			options: checks,
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineReports()},
				line{event: grantsFor("x@1", "y@1"), want: "unload big@1"},
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: orderResult{order: "unload big@1"}},
				line{event: engineReports("y@1:loading"), want: "load x@1"},
			),
		},
		{
			name:    "a failed barrier order is retried, and not needed after the predecessor's orders have expired",
			options: checks,
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineReports()},
				line{event: grantsFor("x@1"), want: "unload big@1"},
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: orderResult{order: "unload big@1", err: endpoint.ErrUnavailable}},
				line{after: time.Second, event: Tick{}, want: "unload big@1"},
				line{after: testOrderLife, event: Tick{}},
				line{event: engineReports(), want: "load x@1"},
			),
		},
		{
			name: "a loaded model with a slot is usable once the state and the slots are known",
			lines: lines(
				line{event: Tick{}}, line{event: engineReports("x@1+xa")},
				line{event: grantsFor("x@1"), want: "usable x@1; usable x@1 xa"},
			),
			check: wantReady(true),
		},
		{
			name: "during an outage of the table a pushed row allows a loaded model to be served, and nothing is ordered",
			keep: time.Second,
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineReports("x@1", "y@1")},
				line{event: RowSeen{Row: rowOf("x@1", 5, grantedSlot("e"))}, want: "usable x@1"},
				line{event: RowSeen{Row: rowOf("z@1", 5, grantedSlot("e"))}},
				line{event: demandOf("x", "x@1", "", time.Hour)},
				line{event: demandOf("z", "z@1", "", time.Hour), want: "refuse z z@1 NOT_READY"},
				line{event: RequestGone{Request: "x"}},
				line{after: time.Hour, event: Tick{}},
			),
			check: wantReady(true),
		},
		{
			name:  "not ready before the engine's state is known",
			lines: lines(line{event: Tick{}}, line{event: grantsFor("x@1")}),
			check: wantReady(false),
		},
		{
			name:  "not ready before a slot is known",
			lines: lines(line{event: Tick{}}, line{event: engineReports("x@1")}),
			check: wantReady(false),
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

// A late order of an old agent must have a lower fencing token than the first of the new one, or the engine carries it
// out.
func TestFencingNumbersRise(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			name:    "derived from the table revision, and above the engine's highest",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(startedWith(engineReply{fence: 9<<fenceCounterBits + 7}, "x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "*"},
				line{event: RowSeen{Row: rowOf("x@1", 12, grantedSlot("e"))}},
				line{after: time.Minute, event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
			check: func(t *testing.T, s *script) {
				if s.fences[0] != 9<<fenceCounterBits+8 || s.fences[1] != 12<<fenceCounterBits {
					t.Errorf("fencing tokens %v", s.fences)
				}
			},
		},
		{
			// All tokens of a revision are used up; the next one would belong to the next revision, from which another
			// agent may start.
			name:    "no order is sent until a higher revision is known",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(startedWith(engineReply{fence: 10<<fenceCounterBits - 1}, "x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: RowsRead{Revision: 10, Rows: grantsFor("x@1").Rows}, want: "load x@1"},
			),
		},
	})
}
