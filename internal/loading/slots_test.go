package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
)

// If an agent trusts a row that is older than a release, there is one replica too many: the slot was confirmed free and
// the model loaded elsewhere, and then a late or stale row makes this engine load it as well.
func TestNothingIsLoadedWithoutANewerSlot(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			// The table is unavailable when the agent starts. A peer pushes a row whose release the previous agent has
			// confirmed.
			name: "a pushed row is not sufficient before the first read of the table",
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineReports()},
				line{after: testOrderLife, event: Tick{}}, line{event: engineReports()},
				line{event: RowSeen{Row: rowOf("x@1", 5, grantedSlot("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_READY"},
				line{event: grantsFor("x@1")},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
		},
		{
			// The table was read after the slot was removed; a lagging peer pushes the earlier row.
			name: "a row older than the read of the table is ignored",
			lines: lines(started(),
				line{event: RowSeen{Row: rowOf("x@1", 8, grantedSlot("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
			),
		},
		{
			name: "a row newer than the read of the table grants a slot",
			lines: lines(started(),
				line{event: RowSeen{Row: rowOf("x@1", 10, grantedSlot("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
		},
		{
			// The release at 11 was confirmed; the grant of 10 arrives again from an entry that was partitioned.
			name: "a row older than a confirmed release is ignored",
			lines: lines(started("x@1"),
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}, want: "confirm x@1 11"},
				line{event: RowSeen{Row: rowOf("x@1", 10, grantedSlot("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
				line{event: RowSeen{Row: rowOf("x@1", 12, grantedSlot("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
		},
		{
			// Reads of the table overlap, and the first to begin is the last to end.
			name: "a read of the table older than another is ignored",
			lines: lines(started(),
				line{event: RowsRead{Revision: 8, Rows: grantsFor("x@1").Rows}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
			),
		},
		{
			// The engine's host was replaced, and the new one runs an engine of the same name.
			name: "a slot on another host is not this engine's",
			options: func(o *Options) {
				o.Host = "other"
			},
			lines: lines(started("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
			),
		},
		{
			// The previous agent died after loading x, and the slot was revoked because the host seemed to be gone.
			name: "a model without a slot is unloaded, and its memory counts until then",
			lines: lines(startedWith(engineReports("x@1"), "big@1"),
				line{event: demandOf("r", "big@1", "", time.Hour), want: ""},
				line{event: orderResult{order: "unload x@1"}, want: "load big@1"},
			),
		},
	})
}

// A slot that is granted elsewhere too early leads to one replica too many. The confirmation of a release is final: it
// states that the engine does not and will not hold the model. It must wait for running requests, for a read of the
// engine's state and for every order that may still take effect.
func TestReleases(t *testing.T) {
	release := line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}, want: "unusable x@1"}
	unknown := endpoint.ErrOutcomeUnknown
	runScripts(t, []scriptCase{
		{
			name: "running requests finish before the unload, a read and the confirmation",
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				release,
				line{event: demandOf("s", "x@1", "", time.Hour), want: "refuse s x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
				line{after: time.Minute, event: Tick{}},
				line{event: Finished{Request: "r"}, want: "unload x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{event: engineReports(), want: "confirm x@1 11"},
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}, want: "confirm x@1 11"},
				line{event: RowSeen{Row: rowOf("x@1", 12, releasingSlot("e"))}, want: "confirm x@1 12"},
			),
		},
		{
			name: "a slot that was removed from the row is released as well",
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{event: RowSeen{Row: rowOf("x@1", 11, grantedSlot("other"))}, want: "unusable x@1; unload x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{event: engineReports(), want: "confirm x@1 11"},
			),
		},
		{
			name: "waiting requests are refused",
			lines: lines(started("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{
					event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))},
					want:  "refuse x@1 NOT_GRANTED; want x@1 NOT_GRANTED",
				},
				line{event: orderResult{order: "load x@1"}, want: "unload x@1"},
			),
		},
		{
			// The answer to the load was lost. The engine shows nothing, because the load has not arrived yet.
			name: "a load of unknown outcome delays the confirmation until it expires",
			lines: lines(started("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: unknown}},
				line{event: engineReports(), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}},
				line{after: testOrderLife - 1, event: Tick{}}, line{event: engineReports()},
				line{after: time.Second, event: Tick{}},
				line{event: engineReports(), want: "confirm x@1 11"},
			),
		},
		{
			// The engine checks fencing tokens and has accepted a later one, but then restarts, loses the tokens, and
			// carries out the load that was still in flight.
			name:    "a higher fencing token does not shorten the wait for the confirmation",
			options: func(o *Options) { o.ChecksFencing, o.StateInterval = true, time.Second },
			lines: lines(started("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: unknown}},
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}, want: "refuse x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
				line{event: engineReports(), want: "unload x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{event: engineReports()},
				line{after: time.Second, event: Tick{}},
				line{event: engineReply{incarnation: "restarted", models: []string{"x@1"}}, want: "unload x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{after: testOrderLife, event: Tick{}},
				line{event: engineReply{incarnation: "restarted"}, want: "confirm x@1 11"},
			),
		},
		{
			// The agent has just started; its predecessor may have a load in flight.
			name:    "a predecessor's orders delay the confirmation",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineReports()},
				line{event: RowsRead{Revision: 9, Rows: nil}, want: "unload big@1"},
				line{event: orderResult{order: "unload big@1"}}, line{event: engineReports()},
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}},
				line{after: testOrderLife, event: Tick{}},
				line{event: engineReports(), want: "confirm x@1 11"},
			),
		},
		{
			// A read that began while the engine held x is answered after the unload; the next one shows x again,
			// because another client loaded it.
			name: "only a read that began after the unload confirms it",
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{after: 2 * time.Hour, event: Tick{}, want: "unusable x@1; unload x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}},
				line{event: engineReports()},
				line{event: engineReports("x@1"), want: "unload x@1"},
			),
		},
	})
}
