package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/wire/wirepb"
)

// An engine whose memory is overcommitted fails loads or dies with all that it serves. It happens when memory counts as
// free that an order may still take, or that the engine uses for something the ledger does not know.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	unknown := endpoint.ErrOutcomeUnknown
	yRefused := "refuse y@1 NO_MEMORY; want y@1 NO_MEMORY"
	yDemand := demandOf("y", "y@1", "", time.Hour)
	small := func(o *Options) { o.MemoryBytes = 60 }
	runScripts(t, []scriptCase{
		{
			name: "weights and KV floors of all that is loaded and being loaded count",
			lines: lines(begun("x@1", "y@1", "z@1"), loadedFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: yDemand, want: "load y@1"},
				line{event: demandOf("z", "z@1", "", time.Hour), want: "refuse z@1 NO_MEMORY; want z@1 NO_MEMORY"},
			),
		},
		{
			name: "adapters count",
			lines: lines(begun("x@1", "y@1", "z@1"), loadedFirst("x@1"), loadedFirst("y@1"),
				line{event: Started{Request: "r", Model: "y@1"}},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: demandOf("b", "x@1", "xb", time.Hour), want: "load_adapter x@1 xb"},
				line{event: demandOf("c", "x@1", "xc", time.Hour), want: "refuse x@1 xc NO_MEMORY; want x@1 NO_MEMORY"},
			),
		},
		{
			// The engine keeps a part of its memory for itself, which belongs to no model.
			name: "what the engine uses beside the models counts",
			lines: lines(begunWith(shows{used: 30}, "x@1", "y@1"), loadedFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: yDemand, want: "load y@1"},
				line{event: result{order: "load y@1"}, want: "usable y@1"},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "refuse x@1 xa NO_MEMORY; want x@1 NO_MEMORY"},
			),
		},
		{
			name:    "a load of unknown result holds its memory up to the end of its life",
			options: small,
			lines: lines(begun("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: unknown}},
				line{event: engineShows(), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: yDemand, want: yRefused},
				line{after: testLife, event: Tick{}},
				line{event: yDemand, want: yRefused},
				line{event: engineShows()},
				line{event: yDemand, want: "load y@1"},
			),
			then: func(t *testing.T, s *script) {
				if got := s.m.Status(s.now).ReservedBytes; got != 40 {
					t.Errorf("reserved %d, want 40", got)
				}
			},
		},
		{
			// The answer to the unload was lost, and the engine shows that it is still at it.
			name:    "an unload of unknown result frees nothing until the engine shows it",
			options: small,
			lines: lines(begun("x@1", "y@1"), loadedFirst("x@1"),
				line{event: yDemand, want: "unusable x@1; unload x@1"},
				line{event: result{order: "unload x@1", err: unknown}, want: yRefused},
				line{event: engineShows("x@1:unloading")},
				line{event: yDemand, want: yRefused},
				line{after: time.Second, event: Tick{}},
				line{event: engineShows()},
				line{event: yDemand, want: "load y@1"},
			),
		},
		{
			// A read is under way when x is ordered; it shows the engine as it was before.
			name:    "a read that began before a load is not its result",
			options: func(o *Options) { o.MemoryBytes, o.StateInterval = 60, time.Second },
			lines: lines(begun("x@1", "y@1"),
				line{after: time.Second, event: Tick{}},
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: unknown}},
				line{event: engineShows()},
				line{event: yDemand, want: yRefused},
				line{event: engineShows("x@1:loading")},
				line{event: yDemand, want: yRefused},
				line{after: time.Second, event: Tick{}},
				line{event: engineShows("x@1"), want: "usable x@1"},
			),
		},
		{
			// The read began at once after the load was given up, and its answer took longer than the load's life.
			name:    "a read that began during the life of an order is no proof, however late its answer",
			options: small,
			lines: lines(begun("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: unknown}},
				line{event: DemandGone{Request: "x"}},
				line{after: testLife, event: Tick{}},
				line{event: engineShows()},
				line{event: yDemand, want: yRefused},
				line{after: time.Second, event: Tick{}},
				line{event: engineShows()},
				line{event: yDemand, want: "load y@1"},
			),
		},
		{
			// The engine is loading xc, which it does not list yet, and carries out a later order meanwhile.
			name:    "a higher fencing number says nothing of an adapter that is being loaded",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{event: demandOf("c", "x@1", "xc", time.Hour), want: "load_adapter x@1 xc"},
				line{event: result{order: "load_adapter x@1 xc", err: unknown}},
				line{event: demandOf("b", "x@1", "xb", time.Hour), want: "load_adapter x@1 xb"},
				line{event: result{order: "load_adapter x@1 xb"}, want: "usable x@1 xb"},
				line{event: engineShows("x@1+xb")},
				line{after: time.Second, event: Tick{}},
				line{event: engineShows("x@1+xb")},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "refuse x@1 xa NO_MEMORY; want x@1 NO_MEMORY"},
			),
		},
		{
			name: "a definite failure frees the memory",
			options: func(o *Options) {
				o.MemoryBytes = 60
			},
			lines: lines(begun("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: yDemand, want: "load y@1"},
			),
		},
		{
			// The engine has loaded x after all; its load order had been given up.
			name: "what the engine shows and the ledger does not know is added",
			options: func(o *Options) {
				o.MemoryBytes, o.StateInterval = 60, time.Second
			},
			lines: lines(begun("x@1", "y@1"),
				line{after: time.Second, event: Tick{}},
				line{event: engineShows("x@1:loading")},
				line{event: yDemand, want: yRefused},
			),
		},
	})
}

// Two orders for one model that are in flight together may arrive in either order: a load after the unload that was to
// follow it leaves a model loaded that the ledger takes for gone.
func TestOneOrderForAModelAtATime(t *testing.T) {
	unknown := endpoint.ErrOutcomeUnknown
	runScripts(t, []scriptCase{
		{
			name: "a request that comes during the unload gets its load afterwards",
			keep: time.Minute,
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{after: time.Minute, event: Tick{}, want: "unusable x@1; unload x@1"},
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: result{order: "unload x@1"}, want: "load x@1"},
				line{event: result{order: "unload x@1"}},
				line{event: result{order: "load x@1"}, want: "usable x@1"},
			),
		},
		{
			// The unload's answer was lost and the engine shows x as loaded: the unload may still come.
			name: "an unload that may still come keeps requests and loads away",
			keep: time.Minute,
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{after: time.Minute, event: Tick{}, want: "unusable x@1; unload x@1"},
				line{event: result{order: "unload x@1", err: unknown}},
				line{event: engineShows("x@1")},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{after: testLife, event: Tick{}},
				line{event: engineShows("x@1"), want: "usable x@1"},
			),
		},
		{
			name: "adapters load beside one another, but not while their model is ordered",
			keep: time.Minute,
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load x@1"},
				line{event: demandOf("b", "x@1", "xb", time.Hour)},
				line{event: result{order: "load x@1"}, want: "usable x@1; load_adapter x@1 xa; load_adapter x@1 xb"},
				line{event: DemandGone{Request: "a"}}, line{event: DemandGone{Request: "b"}},
				line{after: time.Minute, event: Tick{}},
				line{event: result{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
				line{event: result{order: "load_adapter x@1 xb"}, want: "unusable x@1; unload x@1"},
			),
		},
		{
			// Two orders take separate connections; the engine sees the second first and refuses the first as old.
			name:    "an order that a later one overtook is given again and is no failure",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(begun("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrFenced}, want: "load x@1"},
			),
		},
	})
}

// An engine that restarts has lost all its models and says so only when it is asked. Requests must not be sent to models
// that are gone, and orders that were on their way to the former process may reach the new one.
func TestEngineRestarts(t *testing.T) {
	restarted := func(models ...string) shows { return shows{incarnation: "restarted", models: models} }
	interval := func(o *Options) { o.StateInterval = time.Second }
	runScripts(t, []scriptCase{
		{
			name:    "what was held is gone, and loads in demand start again",
			options: interval,
			lines: lines(begun("x@1", "y@1"), loadedFirst("x@1"), loadedFirst("y@1"),
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{after: time.Second, event: Tick{}},
				line{event: restarted(), want: "unusable x@1; unusable y@1; load x@1"},
			),
		},
		{
			name:    "the result of an order to the former process is not believed",
			options: interval,
			lines: lines(begun("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{after: time.Second, event: Tick{}},
				line{event: restarted()},
				line{event: result{order: "load x@1"}},
				line{event: restarted(), want: "load x@1"},
			),
			then: func(t *testing.T, s *script) {
				if got := s.stateOf("x@1"); got != wirepb.ReplicaState_LOADING {
					t.Errorf("state %v", got)
				}
			},
		},
		{
			name:    "an order of unknown result may reach the new process",
			options: interval,
			lines: lines(begun("x@1", "big@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrOutcomeUnknown}},
				line{event: restarted(), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: demandOf("b", "big@1", "", time.Hour), want: "refuse big@1 NO_MEMORY; want big@1 NO_MEMORY"},
				line{after: testLife, event: Tick{}},
				line{event: restarted()},
				line{event: demandOf("b", "big@1", "", time.Hour), want: "load big@1"},
			),
		},
		{
			// x was given up as a load that the engine would refuse as old; after the restart it would not.
			name: "a fencing number that the new process does not know frees no memory",
			options: func(o *Options) {
				o.ChecksFencing, o.StateInterval = true, time.Second
			},
			lines: lines(begun("x@1", "y@1", "big@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrOutcomeUnknown}},
				line{event: DemandGone{Request: "r"}},
				line{event: engineShows(), want: "unload x@1"},
				line{event: result{order: "unload x@1"}},
				line{after: time.Second, event: Tick{}},
				line{event: restarted(), want: "unload x@1"},
				line{event: demandOf("b", "big@1", "", time.Hour)},
				line{event: result{order: "unload x@1"}, want: "load big@1"},
			),
		},
		{
			// The unload that settled x was answered by the former process, after the read that tells of the new one began.
			name:    "a read that began earlier tells of the restart, and the load may come again",
			options: func(o *Options) { o.ChecksFencing, o.StateInterval = true, time.Second },
			lines: lines(begun("x@1", "big@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrOutcomeUnknown}},
				line{event: DemandGone{Request: "r"}},
				line{event: engineShows(), want: "unload x@1"},
				line{after: time.Second, event: Tick{}},
				line{event: result{order: "unload x@1"}},
				line{event: restarted()},
				line{event: demandOf("b", "big@1", "", time.Hour), want: "refuse big@1 NO_MEMORY; want big@1 NO_MEMORY"},
				line{event: restarted(), want: "unload x@1"},
			),
		},
		{
			name:    "an engine that does not answer is not used until it does",
			options: interval,
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{after: time.Second, event: Tick{}}, line{event: EngineLost{}},
				line{event: RowSeen{Row: slots("z@1", 11, releasing("e"))}}, line{event: EngineLost{}},
				line{after: 5 * time.Second, event: Tick{}}, line{event: EngineLost{}},
				line{after: 5 * time.Second, event: Tick{}}, line{event: EngineLost{}, want: "unusable x@1"},
				line{
					event: demandOf("r", "x@1", "", time.Hour),
					want:  "refuse r x@1 ENDPOINT_UNREACHABLE; want x@1 ENDPOINT_UNREACHABLE",
				},
				line{after: 5 * time.Second, event: Tick{}}, line{event: engineShows("x@1"), want: "usable x@1; confirm z@1 11"},
			),
		},
	})
}
