package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
)

// First requests for an unloaded model come in bursts from many entries. One load must serve them all, loads must be
// ordered by urgency, and a request that cannot be served here must be refused at once, while it can still be retried
// elsewhere.
func TestWaking(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			name: "many requests join one load",
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "", time.Hour), want: "load x@1"},
				line{event: demandOf("b", "x@1", "", time.Hour)},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1"},
				line{event: demandOf("c", "x@1", "", time.Hour)},
			),
		},
		{
			name: "the least slack goes first, within LoadsAtOnce",
			options: func(o *Options) {
				o.LoadsAtOnce = 1
			},
			lines: lines(started("x@1", "y@1", "z@1"),
				line{event: SpecsChanged{Models: []ModelSpec{
					{Model: "x@1"}, {Model: "y@1", ExpectedLoad: 3 * time.Second}, {Model: "z@1"},
				}}},
				line{event: demandOf("z", "z@1", "", time.Hour), want: "load z@1"},
				line{event: demandOf("x", "x@1", "", 2*time.Minute)},
				line{event: demandOf("y", "y@1", "", 2*time.Minute+2*time.Second)},
				line{event: orderResult{order: "load z@1"}, want: "usable z@1; load y@1"},
			),
		},
		{
			name: "an adapter loads after its model",
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1; load_adapter x@1 xa"},
				line{event: orderResult{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
			),
		},
		{
			name: "what is not declared is refused",
			lines: lines(started("x@1", "old@1"),
				line{event: demandOf("a", "old@1", "", time.Hour), want: "refuse a old@1 UNKNOWN_TARGET"},
				line{event: demandOf("b", "x@1", "none", time.Hour), want: "refuse b x@1 none UNKNOWN_TARGET"},
				line{event: demandOf("c", "x@1", "xa", time.Hour), want: "load x@1"},
				line{event: SpecsChanged{Models: testSpecs.Models}, want: "refuse x@1 xa UNKNOWN_TARGET"},
			),
		},
		{
			name: "a failed load refuses the waiting requests and is retried after a backoff",
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: demandOf("b", "x@1", "", time.Hour), want: "refuse b x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{after: minBackoff - 1, event: demandOf("c", "x@1", "", time.Hour), want: "refuse c x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{after: minBackoff + 1, event: demandOf("d", "x@1", "", time.Hour), want: "load x@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "*"},
				line{after: 2 * minBackoff, event: demandOf("e", "x@1", "", time.Hour), want: "refuse e x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
			),
		},
		{
			name: "a failed adapter load refuses only the requests for the adapter",
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: demandOf("b", "x@1", "", time.Hour)},
				line{event: orderResult{order: "load_adapter x@1 xa", err: endpoint.ErrLoadFailed}, want: "refuse x@1 xa LOAD_FAILED; want x@1 LOAD_FAILED"},
			),
			check: func(t *testing.T, s *script) {
				if len(s.m.demands) != 1 {
					t.Errorf("%d requests wait, want 1", len(s.m.demands))
				}
			},
		},
		{
			name: "a leaving endpoint loads nothing, takes no request and lets running ones finish",
			lines: lines(started("x@1", "y@1"), loadFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
				line{event: Leaving{}, want: "unusable x@1; refuse y@1 LEAVING"},
				line{event: demandOf("s", "x@1", "", time.Hour), want: "refuse s x@1 LEAVING"},
				line{event: RowSeen{Row: rowOf("x@1", 11, releasingSlot("e"))}},
				line{event: orderResult{order: "load y@1"}},
				line{event: Finished{Request: "r"}, want: "unload x@1"},
			),
		},
	})
}

// A request that waits for a load that cannot complete in time must be refused early; a refusal at its deadline is of
// no use to the caller.
func TestNoRequestIsForgotten(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			name: "a request with a deadline before the expected end of the load is refused at once, and the load continues for the next",
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "", testOrderLife+2*time.Second), want: "refuse a x@1 DEADLINE; load x@1"},
				line{event: demandOf("b", "x@1", "", testOrderLife+4*time.Second)},
				line{after: time.Second, event: demandOf("c", "x@1", "", testOrderLife+2*time.Second), want: "refuse c x@1 DEADLINE"},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1"},
			),
		},
		{
			name: "the wait for more urgent loads counts",
			options: func(o *Options) {
				o.LoadsAtOnce = 1
			},
			lines: lines(started("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: demandOf("y", "y@1", "", testOrderLife+2*time.Second), want: "refuse y y@1 DEADLINE"},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1; load y@1"},
			),
		},
		{
			name: "a request whose deadline passes before the load ends is refused then",
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "", testOrderLife+4*time.Second), want: "load x@1"},
				line{after: 4 * time.Second, event: Tick{}, want: "refuse a x@1 DEADLINE"},
				line{event: orderResult{order: "load x@1"}, want: "usable x@1"},
			),
		},
		{
			name: "the deadline of a request whose model became unusable is tracked again",
			options: func(o *Options) {
				o.StateInterval = time.Second
			},
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{event: demandOf("a", "x@1", "", testOrderLife+5*time.Second)},
				line{after: time.Second, event: Tick{}},
				line{event: engineReply{incarnation: "restarted"}, want: "unusable x@1; load x@1"},
				line{after: 4 * time.Second, event: Tick{}, want: "refuse a x@1 DEADLINE"},
			),
		},
		{
			name: "without an expected load time the request waits until its deadline",
			lines: lines(started("y@1"),
				line{event: demandOf("a", "y@1", "", testOrderLife+time.Millisecond), want: "load y@1"},
				line{after: time.Millisecond, event: Tick{}, want: "refuse a y@1 DEADLINE"},
			),
		},
	})
}

// An idle model that stays loaded wastes an accelerator; one that is unloaded too early, or while in use, costs a cold
// start.
func TestSleeping(t *testing.T) {
	use := func(model string) []line {
		return lines(line{event: Started{Request: "use " + model, Model: model}}, line{event: Finished{Request: "use " + model}})
	}
	zDemand := demandOf("z", "z@1", "", time.Hour)
	noMemory := "refuse z@1 NO_MEMORY; want z@1 NO_MEMORY"
	runScripts(t, []scriptCase{
		{
			name: "an idle replica is unloaded after the policy's keep time, which each request restarts",
			keep: time.Minute,
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{after: time.Minute - 1, event: Tick{}}, use("x@1"),
				line{after: time.Minute - 1, event: Tick{}},
				line{after: 1, event: Tick{}, want: "unusable x@1; unload x@1"},
			),
		},
		{
			name: "an idle adapter is unloaded after its model's keep time, while the model is in use",
			keep: time.Minute,
			lines: lines(started("x@1"), loadFirst("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: orderResult{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
				line{event: RequestGone{Request: "a"}},
				line{event: Started{Request: "r", Model: "x@1"}},
				line{after: time.Minute, event: Tick{}, want: "unusable x@1 xa; unload_adapter x@1 xa"},
			),
		},
		{
			name: "the replica idle for longest is evicted",
			lines: lines(started("x@1", "y@1", "z@1"), loadFirst("x@1"), loadFirst("y@1"),
				line{after: time.Second, event: Tick{}}, use("x@1"), line{after: time.Second, event: Tick{}},
				line{event: zDemand, want: "unusable y@1; unload y@1"},
				line{event: orderResult{order: "unload y@1"}, want: "load z@1"},
			),
		},
		{
			name: "a replica with running or waiting requests is not evicted",
			lines: lines(started("x@1", "y@1", "z@1"), loadFirst("x@1"), loadFirst("y@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: demandOf("w", "y@1", "", time.Hour)},
				line{event: zDemand, want: noMemory},
				line{event: Finished{Request: "r"}},
				line{event: zDemand, want: "unusable x@1; unload x@1"},
			),
		},
		{
			name: "a warm replica loads without a request, stays loaded, and is not evicted",
			keep: time.Minute,
			lines: lines(started("warm@1", "x@1", "z@1"),
				line{event: orderResult{order: "load warm@1"}, want: "*"},
				line{after: time.Hour, event: Tick{}},
				line{event: demandOf("x", "x@1", "", 2*time.Hour), want: "load x@1"},
				line{event: demandOf("z", "z@1", "", 2*time.Hour), want: noMemory},
			),
		},
		{
			name: "only the first slots are warm",
			lines: lines(started(),
				line{event: RowSeen{Row: rowOf("warm@1", 10, grantedSlot("other"), grantedSlot("e"))}},
				line{event: RowSeen{Row: rowOf("warm@1", 11, releasingSlot("other"), grantedSlot("e"))}, want: "load warm@1"},
			),
		},
		{
			name: "adapters are evicted for an adapter, the least recently used first",
			lines: lines(started("x@1", "y@1"), loadFirst("x@1"), loadFirst("y@1"),
				line{event: Started{Request: "r", Model: "y@1"}},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: orderResult{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
				line{event: RequestGone{Request: "a"}},
				line{after: time.Second, event: demandOf("b", "x@1", "xb", time.Hour), want: "load_adapter x@1 xb"},
				line{event: orderResult{order: "load_adapter x@1 xb"}, want: "usable x@1 xb"},
				line{event: RequestGone{Request: "b"}},
				line{event: SpecsChanged{Models: testSpecs.Models, Adapters: append(testSpecs.Adapters, AdapterSpec{"xd", "x@1", 9})}},
				line{event: demandOf("d", "x@1", "xd", time.Hour), want: "unusable x@1 xa; unload_adapter x@1 xa"},
				line{event: orderResult{order: "unload_adapter x@1 xa"}, want: "load_adapter x@1 xd"},
			),
		},
	})
}

// Permits only protect the weight store. If their issuer is gone, loads must neither wait for it nor all start at the
// same moment.
func TestPermits(t *testing.T) {
	patient := func(o *Options) { o.PermitTimeout = 4 * time.Second }
	demand := demandOf("a", "x@1", "", time.Hour)
	runScripts(t, []scriptCase{
		{
			name: "a load waits for its permit and returns it at its end", options: patient, permits: true,
			lines: lines(started("x@1"),
				line{event: demand, want: "ask"},
				line{event: grantPermit{time.Second}, want: "load x@1"},
				line{event: grantPermit{time.Second}},
				line{event: orderResult{order: "load x@1"}, want: "end; usable x@1"},
			),
		},
		{
			name: "a cached checkpoint needs no permit", options: patient, permits: true,
			lines: lines(startedWith(engineReply{cached: []string{"x@1"}}, "x@1"),
				line{event: demand, want: "load x@1"},
			),
		},
		{
			name: "without an answer the load starts after one to two times PermitTimeout", options: patient, permits: true,
			lines: lines(started("x@1"),
				line{event: demand, want: "ask"},
				line{after: 4 * time.Second, event: Tick{}, want: "ask"},
				line{after: 4 * time.Second, event: Tick{}, want: "end; load x@1"},
			),
		},
		{
			name: "a denied permit is requested again at RetryAt", options: patient, permits: true,
			lines: lines(started("x@1"),
				line{event: demand, want: "ask"},
				line{event: denyPermit{time.Second}},
				line{after: time.Second - 1, event: Tick{}},
				line{after: 1, event: Tick{}, want: "ask"},
			),
		},
		{
			name: "each denial extends the wait for a permit", options: patient, permits: true,
			lines: lines(started("x@1"),
				line{event: demand, want: "ask"},
				line{event: denyPermit{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denyPermit{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denyPermit{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: grantPermit{time.Second}, want: "load x@1"},
			),
		},
		{
			name: "a denial does not extend the wait beyond the latest start of the load", options: patient, permits: true,
			lines: lines(started("x@1"),
				line{event: demandOf("a", "x@1", "", testOrderLife+15*time.Second), want: "ask"},
				line{event: denyPermit{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denyPermit{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denyPermit{30 * time.Second}},
				line{after: 6 * time.Second, event: Tick{}, want: "end; load x@1"},
			),
		},
		{
			name: "a cached load does not wait behind loads without permits", options: patient, permits: true,
			lines: lines(startedWith(engineReply{cached: []string{"y@1"}}, "x@1", "y@1"),
				line{event: SpecsChanged{Models: append(testSpecs.Models, ModelSpec{Model: "s@1"}, ModelSpec{Model: "t@1"})}},
				line{event: RowSeen{Row: rowOf("s@1", 10, grantedSlot("e"))}}, line{event: RowSeen{Row: rowOf("t@1", 10, grantedSlot("e"))}},
				line{event: demandOf("s", "s@1", "", time.Minute), want: "ask"},
				line{event: demandOf("t", "t@1", "", time.Minute), want: "ask"},
				line{event: demand},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
			),
		},
		{
			name: "a permit that is no longer needed is returned", options: patient, permits: true,
			lines: lines(started("x@1"),
				line{event: demand, want: "ask"},
				line{event: RequestGone{Request: "a"}, want: "end"},
				line{event: grantPermit{time.Second}, want: "end"},
			),
		},
		{
			name: "a permit that expired before there was room is replaced", options: patient, permits: true,
			lines: lines(started("x@1", "big@1"), line{event: demandOf("b", "big@1", "", time.Hour), want: "ask"},
				line{event: grantPermit{time.Second}, want: "load big@1"},
				line{event: orderResult{order: "load big@1"}, want: "end; usable big@1"},
				line{event: RequestGone{Request: "b"}},
				line{event: demand, want: "unusable big@1; unload big@1; ask"},
				line{event: grantPermit{time.Second}},
				line{after: time.Second, event: Tick{}, want: "end; ask"},
				line{event: orderResult{order: "unload big@1"}},
				line{event: grantPermit{time.Second}, want: "load x@1"},
			),
		},
		{
			name: "an overtaken load keeps its permit", permits: true,
			options: func(o *Options) { o.PermitTimeout, o.ChecksFencing = time.Second, true },
			lines: lines(startedWith(engineReply{cached: []string{"y@1"}}, "x@1", "y@1"),
				line{event: demand, want: "ask"},
				line{event: grantPermit{time.Second}, want: "load x@1"},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
				line{event: orderResult{order: "load x@1", err: endpoint.ErrFenced}, want: "load x@1"},
				line{event: orderResult{order: "load x@1"}, want: "end; usable x@1"},
			),
		},
	})
}
