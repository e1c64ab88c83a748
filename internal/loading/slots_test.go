package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
)

// A replica too many appears when an agent believes a row that is older than a release: the slot was confirmed free, the
// model was loaded elsewhere, and then a late or stale row makes this engine load it as well.
func TestNothingIsLoadedWithoutANewerSlot(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			// The table is down when the agent starts. A peer pushes a row that its predecessor has confirmed released.
			name: "a pushed row does not suffice before the table was read",
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineShows()},
				line{after: testLife, event: Tick{}}, line{event: engineShows()},
				line{event: RowSeen{Row: slots("x@1", 5, granted("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_READY"},
				line{event: holdingSlots("x@1")},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
		},
		{
			// The table was read after the slot had gone; a peer that lags pushes the row of before.
			name: "a row older than the read of the table is ignored",
			lines: lines(begun(),
				line{event: RowSeen{Row: slots("x@1", 8, granted("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
			),
		},
		{
			name: "a row newer than the read of the table grants a slot",
			lines: lines(begun(),
				line{event: RowSeen{Row: slots("x@1", 10, granted("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
		},
		{
			// The release at 11 was confirmed; the grant of 10 arrives once more, from an entry that was cut off.
			name: "a row older than a confirmed release is ignored",
			lines: lines(begun("x@1"),
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}, want: "confirm x@1 11"},
				line{event: RowSeen{Row: slots("x@1", 10, granted("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
				line{event: RowSeen{Row: slots("x@1", 12, granted("e"))}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
			),
		},
		{
			// Reads of the table overlap, and the one that began first ends last.
			name: "a read of the table older than another is ignored",
			lines: lines(begun(),
				line{event: RowsRead{Revision: 8, Rows: holdingSlots("x@1").Rows}},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
			),
		},
		{
			// The engine's host was replaced, and the new one runs an engine of the same name.
			name: "a slot on another host is not this engine's",
			options: func(o *Options) {
				o.Host = "other"
			},
			lines: lines(begun("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse r x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
			),
		},
		{
			// A predecessor died after it had loaded x, whose slot was then taken back as the host seemed to be gone.
			name: "what the engine holds without a slot is unloaded and counts until then",
			lines: lines(begunWith(engineShows("x@1"), "big@1"),
				line{event: demandOf("r", "big@1", "", time.Hour), want: ""},
				line{event: result{order: "unload x@1"}, want: "load big@1"},
			),
		},
	})
}

// A slot that is granted elsewhere too early is a replica too many: the confirmation of a release says for good that
// nothing of the model is or will be in this engine, so it must wait for running requests, for the engine's own word and
// for every order that is still on its way.
func TestReleases(t *testing.T) {
	release := line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}, want: "unusable x@1"}
	unknown := endpoint.ErrOutcomeUnknown
	runScripts(t, []scriptCase{
		{
			name: "running requests finish, then the unload, then a read, then the confirmation",
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				release,
				line{event: demandOf("s", "x@1", "", time.Hour), want: "refuse s x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
				line{after: time.Minute, event: Tick{}},
				line{event: Finished{Request: "r"}, want: "unload x@1"},
				line{event: result{order: "unload x@1"}},
				line{event: engineShows(), want: "confirm x@1 11"},
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}, want: "confirm x@1 11"},
				line{event: RowSeen{Row: slots("x@1", 12, releasing("e"))}, want: "confirm x@1 12"},
			),
		},
		{
			name: "a slot that is gone from the row is given back as well",
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{event: RowSeen{Row: slots("x@1", 11, granted("other"))}, want: "unusable x@1; unload x@1"},
				line{event: result{order: "unload x@1"}},
				line{event: engineShows(), want: "confirm x@1 11"},
			),
		},
		{
			name: "waiting requests are refused",
			lines: lines(begun("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{
					event: RowSeen{Row: slots("x@1", 11, releasing("e"))},
					want:  "refuse x@1 NOT_GRANTED; want x@1 NOT_GRANTED",
				},
				line{event: result{order: "load x@1"}, want: "unload x@1"},
			),
		},
		{
			// The answer to the load was lost. The engine shows nothing, because the load has not arrived yet.
			name: "a load of unknown result holds the confirmation up to the end of its life",
			lines: lines(begun("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: unknown}},
				line{event: engineShows(), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}},
				line{after: testLife - 1, event: Tick{}}, line{event: engineShows()},
				line{after: time.Second, event: Tick{}},
				line{event: engineShows(), want: "confirm x@1 11"},
			),
		},
		{
			// The engine checks fencing numbers and has accepted a later one; but it restarts, forgets the numbers, and the
			// load that was still on its way is carried out after all.
			name:    "a higher fencing number does not hasten the confirmation",
			options: func(o *Options) { o.ChecksFencing, o.StateInterval = true, time.Second },
			lines: lines(begun("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: unknown}},
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}, want: "refuse x@1 NOT_GRANTED; want x@1 NOT_GRANTED"},
				line{event: engineShows(), want: "unload x@1"},
				line{event: result{order: "unload x@1"}},
				line{event: engineShows()},
				line{after: time.Second, event: Tick{}},
				line{event: shows{incarnation: "restarted", models: []string{"x@1"}}, want: "unload x@1"},
				line{event: result{order: "unload x@1"}},
				line{after: testLife, event: Tick{}},
				line{event: shows{incarnation: "restarted"}, want: "confirm x@1 11"},
			),
		},
		{
			// The agent has just started; its predecessor may have sent a load that is on its way.
			name:    "a predecessor's orders hold the confirmation up",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(
				line{event: Tick{}}, line{event: testSpecs}, line{event: engineShows()},
				line{event: RowsRead{Revision: 9, Rows: nil}, want: "unload big@1"},
				line{event: result{order: "unload big@1"}}, line{event: engineShows()},
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}},
				line{after: testLife, event: Tick{}},
				line{event: engineShows(), want: "confirm x@1 11"},
			),
		},
		{
			// A read that began while the engine held x is answered after the unload; the next one shows x again, because
			// someone else loaded it.
			name: "only a read that began after the unload proves it",
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{after: 2 * time.Hour, event: Tick{}, want: "unusable x@1; unload x@1"},
				line{event: result{order: "unload x@1"}},
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}},
				line{event: engineShows()},
				line{event: engineShows("x@1"), want: "unload x@1"},
			),
		},
	})
}
