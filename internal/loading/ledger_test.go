package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/wire/wirepb"
)

// An engine with overcommitted memory fails loads or crashes with everything it serves. This happens if memory counts
// as free that an order may still take, or that the engine uses for something unknown to the ledger.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	unknown := endpoint.ErrOutcomeUnknown
	yRefused := "refuse y@1 NO_MEMORY; want y@1 NO_MEMORY"
	yDemand := demandOf("y", "y@1", "", time.Hour)
	small := func(o *Options) { o.MemoryBytes = 60 }
	runScripts(t, []scriptCase{
		{
			name: "weights and KV floors of loaded and loading models count",
			lines: lines(started("x@1", "y@1", "z@1"), loadFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: yDemand, want: "load y@1"},
				line{event: demandOf("z", "z@1", "", time.Hour), want: "refuse z@1 NO_MEMORY; want z@1 NO_MEMORY"},
			),
		},
		{
			name: "adapters count",
			lines: lines(started("x@1", "y@1", "z@1"), loadFirst("x@1"), loadFirst("y@1"),
				line{event: Started{Request: "r", Model: "y@1"}},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: demandOf("b", "x@1", "xb", time.Hour), want: "load_adapter x@1 xb"},
				line{event: demandOf("c", "x@1", "xc", time.Hour), want: "refuse x@1 xc NO_MEMORY; want x@1 NO_MEMORY"},
			),
		},
		{
			// The engine reserves some memory for itself, which belongs to no model.
			name: "memory that the engine uses for other purposes counts",
			lines: lines(startedWith(engineReply{used: 30}, "x@1", "y@1"), loadFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: yDemand, want: "load y@1"},
				line{event: orderResult{order: "load y@1"}, want: "usable y@1"},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "refuse x@1 xa NO_MEMORY; want x@1 NO_MEMORY"},
			),
		},
		{
			name:    "a load of unknown outcome keeps its memory reserved until it expires",
			options: small,
			lines: lines(started("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: unknown}},
				line{event: engineReports(), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: yDemand, want: yRefused},
				line{after: testOrderLife, event: Tick{}},
				line{event: yDemand, want: yRefused},
				line{event: engineReports()},
				line{event: yDemand, want: "load y@1"},
			),
			check: func(t *testing.T, s *script) {
				if got := s.m.Status(s.now).ReservedBytes; got != 40 {
					t.Errorf("reserved %d, want 40", got)
				}
			},
		},
		{
			// The answer to the unload was lost, and the engine shows that it is still unloading.
			name:    "an unload of unknown outcome frees nothing until the engine shows it",
			options: small,
			lines: lines(started("x@1", "y@1"), loadFirst("x@1"),
				line{event: yDemand, want: "unusable x@1; unload x@1"},
				line{event: orderResult{order: "unload x@1", err: unknown}, want: yRefused},
				line{event: engineReports("x@1:unloading")},
				line{event: yDemand, want: yRefused},
				line{after: time.Second, event: Tick{}},
				line{event: engineReports()},
				line{event: yDemand, want: "load y@1"},
			),
		},
		{
			// A read is in progress when x is ordered; it returns the state before the order.
			name:    "a read that began before a load does not settle its outcome",
			options: func(o *Options) { o.MemoryBytes, o.StateInterval = 60, time.Second },
			lines: lines(started("x@1", "y@1"),
				line{after: time.Second, event: Tick{}},
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: unknown}},
				line{event: engineReports()},
				line{event: yDemand, want: yRefused},
				line{event: engineReports("x@1:loading")},
				line{event: yDemand, want: yRefused},
				line{after: time.Second, event: Tick{}},
				line{event: engineReports("x@1"), want: "usable x@1"},
			),
		},
		{
			// The read began right after the load was abandoned, and its answer took longer than the load's lifetime.
			name:    "a read that began before an order expired proves nothing, however late its answer",
			options: small,
			lines: lines(started("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: unknown}},
				line{event: RequestGone{Request: "x"}},
				line{after: testOrderLife, event: Tick{}},
				line{event: engineReports()},
				line{event: yDemand, want: yRefused},
				line{after: time.Second, event: Tick{}},
				line{event: engineReports()},
				line{event: yDemand, want: "load y@1"},
			),
		},
		{
			// The engine is loading xc, which it does not list yet, and carries out a later order meanwhile.
			name:    "a higher fencing token proves nothing about an adapter that is being loaded",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{event: demandOf("c", "x@1", "xc", time.Hour), want: "load_adapter x@1 xc"},
				line{event: orderResult{order: "load_adapter x@1 xc", err: unknown}},
				line{event: demandOf("b", "x@1", "xb", time.Hour), want: "load_adapter x@1 xb"},
				line{event: orderResult{order: "load_adapter x@1 xb"}, want: "usable x@1 xb"},
				line{event: engineReports("x@1+xb")},
				line{after: time.Second, event: Tick{}},
				line{event: engineReports("x@1+xb")},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "refuse x@1 xa NO_MEMORY; want x@1 NO_MEMORY"},
			),
		},
		{
			name: "a definite failure frees the memory",
			options: func(o *Options) {
				o.MemoryBytes = 60
			},
			lines: lines(started("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: yDemand, want: "load y@1"},
			),
		},
		{
			// The engine has loaded x after all, although the load order was abandoned.
			name: "a model in the engine's state without a ledger entry is added",
			options: func(o *Options) {
				o.MemoryBytes, o.StateInterval = 60, time.Second
			},
			lines: lines(started("x@1", "y@1"),
				line{after: time.Second, event: Tick{}},
				line{event: engineReports("x@1:loading")},
				line{event: yDemand, want: yRefused},
			),
		},
	})
}

// Two concurrent orders for one model may arrive in either order. If a load arrives after the unload that was to follow
// it, the model is loaded but absent from the ledger.
func TestOneOrderForAModelAtATime(t *testing.T) {
	unknown := endpoint.ErrOutcomeUnknown
	runScripts(t, []scriptCase{
		{
			name: "a request that comes during the unload gets its load afterwards",
			keep: time.Minute,
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{after: time.Minute, event: Tick{}, want: "unusable x@1; unload x@1"},
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{event: orderResult{order: "unload x@1"}, want: "load x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1"},
			),
		},
		{
			// The answer to the unload was lost and the engine shows x as loaded: the unload may still arrive.
			name: "an unload that may still arrive blocks requests and loads",
			keep: time.Minute,
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{after: time.Minute, event: Tick{}, want: "unusable x@1; unload x@1"},
				line{event: orderResult{order: "unload x@1", err: unknown}},
				line{event: engineReports("x@1")},
				line{event: demandOf("r", "x@1", "", time.Hour), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{after: testOrderLife, event: Tick{}},
				line{event: engineReports("x@1"), want: "usable x@1"},
			),
		},
		{
			name: "adapters load concurrently, but not while their model has an order in flight",
			keep: time.Minute,
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load x@1"},
				line{event: demandOf("b", "x@1", "xb", time.Hour)},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1; load_adapter x@1 xa; load_adapter x@1 xb"},
				line{event: RequestGone{Request: "a"}}, line{event: RequestGone{Request: "b"}},
				line{after: time.Minute, event: Tick{}},
				line{event: orderResult{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
				line{event: orderResult{order: "load_adapter x@1 xb"}, want: "unusable x@1; unload x@1"},
			),
		},
		{
			// Two orders use separate connections; the engine receives the second first and rejects the first as stale.
			name:    "an order overtaken by a later one is sent again and does not count as a failure",
			options: func(o *Options) { o.ChecksFencing = true },
			lines: lines(started("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrFenced}, want: "load x@1"},
			),
		},
	})
}

// An engine that restarts loses all its models, which is detected only by the next read. No requests may be sent to
// models that are gone, and orders in flight to the old process may reach the new one.
func TestEngineRestarts(t *testing.T) {
	restarted := func(models ...string) engineReply { return engineReply{incarnation: "restarted", models: models} }
	interval := func(o *Options) { o.StateInterval = time.Second }
	runScripts(t, []scriptCase{
		{
			name:    "loaded models are gone, and those with waiting requests load again",
			options: interval,
			lines: lines(started("x@1", "y@1"), loadFirst("x@1"), loadFirst("y@1"),
				line{event: demandOf("r", "x@1", "", time.Hour)},
				line{after: time.Second, event: Tick{}},
				line{event: restarted(), want: "unusable x@1; unusable y@1; load x@1"},
			),
		},
		{
			name:    "the result of an order to the old process is not trusted",
			options: interval,
			lines: lines(started("x@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{after: time.Second, event: Tick{}},
				line{event: restarted()},
				line{event: orderResult{order: "load x@1"}},
				line{event: restarted(), want: "load x@1"},
			),
			check: func(t *testing.T, s *script) {
				if got := s.stateOf("x@1"); got != wirepb.ReplicaState_LOADING {
					t.Errorf("state %v, want LOADING", got)
				}
			},
		},
		{
			name:    "an order of unknown outcome may reach the new process",
			options: interval,
			lines: lines(started("x@1", "big@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrOutcomeUnknown}},
				line{event: restarted(), want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: demandOf("b", "big@1", "", time.Hour), want: "refuse big@1 NO_MEMORY; want big@1 NO_MEMORY"},
				line{after: testOrderLife, event: Tick{}},
				line{event: restarted()},
				line{event: demandOf("b", "big@1", "", time.Hour), want: "load big@1"},
			),
		},
		{
			// x was abandoned as a load that the engine would reject as stale; after the restart it would accept it.
			name: "a fencing token that the new process has lost frees no memory",
			options: func(o *Options) {
				o.ChecksFencing, o.StateInterval = true, time.Second
			},
			lines: lines(started("x@1", "y@1", "big@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrOutcomeUnknown}},
				line{event: RequestGone{Request: "r"}},
				line{event: engineReports(), want: "unload x@1"},
				line{event: orderResult{order: "unload x@1"}},
				line{after: time.Second, event: Tick{}},
				line{event: restarted(), want: "unload x@1"},
				line{event: demandOf("b", "big@1", "", time.Hour)},
				line{event: orderResult{order: "unload x@1"}, want: "load big@1"},
			),
		},
		{
			// The old process answered the unload of x after the read that detects the restart had begun.
			name:    "an earlier read detects the restart, and the load may still take effect",
			options: func(o *Options) { o.ChecksFencing, o.StateInterval = true, time.Second },
			lines: lines(started("x@1", "big@1"),
				line{event: demandOf("r", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrOutcomeUnknown}},
				line{event: RequestGone{Request: "r"}},
				line{event: engineReports(), want: "unload x@1"},
				line{after: time.Second, event: Tick{}},
				line{event: orderResult{order: "unload x@1"}},
				line{event: restarted()},
				line{event: demandOf("b", "big@1", "", time.Hour), want: "refuse big@1 NO_MEMORY; want big@1 NO_MEMORY"},
				line{event: restarted(), want: "unload x@1"},
			),
		},
		{
			name:    "an unreachable engine is not used until it answers",
			options: interval,
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{after: time.Second, event: Tick{}}, line{event: EngineReadFailed{}},
				line{event: RowSeen{Row: rowOf("z@1", 11, releasingSlot("e"))}}, line{event: EngineReadFailed{}},
				line{after: 5 * time.Second, event: Tick{}}, line{event: EngineReadFailed{}},
				line{after: 5 * time.Second, event: Tick{}}, line{event: EngineReadFailed{}, want: "unusable x@1"},
				line{
					event: demandOf("r", "x@1", "", time.Hour),
					want:  "refuse r x@1 ENDPOINT_UNREACHABLE; want x@1 ENDPOINT_UNREACHABLE",
				},
				line{after: 5 * time.Second, event: Tick{}}, line{event: engineReports("x@1"), want: "usable x@1; confirm z@1 11"},
			),
		},
	})
}
