package loading

import (
	"testing"
	"time"

	"balsamsail/internal/endpoint"
)

// First requests for a sleeping model come in bursts from many entries. One load must serve them all, in the order of
// what is most pressing, and one that cannot be served here must hear so at once, while there is time to go elsewhere.
func TestWaking(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			name: "many requests join one load",
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "", time.Hour), want: "load x@1"},
				line{event: demandOf("b", "x@1", "", time.Hour)},
				line{event: result{order: "load x@1"}, want: "usable x@1"},
				line{event: demandOf("c", "x@1", "", time.Hour)},
			),
		},
		{
			name: "the least slack goes first, and only so many at once",
			options: func(o *Options) {
				o.LoadsAtOnce = 1
			},
			lines: lines(begun("x@1", "y@1", "z@1"),
				line{event: SpecsChanged{Models: []ModelSpec{
					{Model: "x@1"}, {Model: "y@1", ExpectedLoad: 3 * time.Second}, {Model: "z@1"},
				}}},
				line{event: demandOf("z", "z@1", "", time.Hour), want: "load z@1"},
				line{event: demandOf("x", "x@1", "", 2*time.Minute)},
				line{event: demandOf("y", "y@1", "", 2*time.Minute+2*time.Second)},
				line{event: result{order: "load z@1"}, want: "usable z@1; load y@1"},
			),
		},
		{
			name: "an adapter loads after its model",
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1"}, want: "usable x@1; load_adapter x@1 xa"},
				line{event: result{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
			),
		},
		{
			name: "what is not declared is refused",
			lines: lines(begun("x@1", "old@1"),
				line{event: demandOf("a", "old@1", "", time.Hour), want: "refuse a old@1 UNKNOWN_TARGET"},
				line{event: demandOf("b", "x@1", "none", time.Hour), want: "refuse b x@1 none UNKNOWN_TARGET"},
				line{event: demandOf("c", "x@1", "xa", time.Hour), want: "load x@1"},
				line{event: SpecsChanged{Models: testSpecs.Models}, want: "refuse x@1 xa UNKNOWN_TARGET"},
			),
		},
		{
			name: "a failed load refuses what waits and is not tried again at once",
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "refuse x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{event: demandOf("b", "x@1", "", time.Hour), want: "refuse b x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{after: minBackOff - 1, event: demandOf("c", "x@1", "", time.Hour), want: "refuse c x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
				line{after: minBackOff + 1, event: demandOf("d", "x@1", "", time.Hour), want: "load x@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrLoadFailed}, want: "*"},
				line{after: 2 * minBackOff, event: demandOf("e", "x@1", "", time.Hour), want: "refuse e x@1 LOAD_FAILED; want x@1 LOAD_FAILED"},
			),
		},
		{
			name: "a failed adapter refuses only its own requests",
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: demandOf("b", "x@1", "", time.Hour)},
				line{event: result{order: "load_adapter x@1 xa", err: endpoint.ErrLoadFailed}, want: "refuse x@1 xa LOAD_FAILED; want x@1 LOAD_FAILED"},
			),
			then: func(t *testing.T, s *script) {
				if len(s.m.demands) != 1 {
					t.Errorf("%d requests wait, want 1", len(s.m.demands))
				}
			},
		},
		{
			name: "a leaving endpoint loads nothing, takes no request and lets running ones finish",
			lines: lines(begun("x@1", "y@1"), loadedFirst("x@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
				line{event: Leaving{}, want: "unusable x@1; refuse y@1 LEAVING"},
				line{event: demandOf("s", "x@1", "", time.Hour), want: "refuse s x@1 LEAVING"},
				line{event: RowSeen{Row: slots("x@1", 11, releasing("e"))}},
				line{event: result{order: "load y@1"}},
				line{event: Finished{Request: "r"}, want: "unload x@1"},
			),
		},
	})
}

// A request that waits for a load which cannot end in time, and hears nothing until its deadline, is as good as dropped.
func TestNoRequestIsForgotten(t *testing.T) {
	runScripts(t, []scriptCase{
		{
			name: "a deadline before the expected end of the load is refused at once, and the load goes on for the next",
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "", testLife+2*time.Second), want: "refuse a x@1 DEADLINE; load x@1"},
				line{event: demandOf("b", "x@1", "", testLife+4*time.Second)},
				line{after: time.Second, event: demandOf("c", "x@1", "", testLife+2*time.Second), want: "refuse c x@1 DEADLINE"},
				line{event: result{order: "load x@1"}, want: "usable x@1"},
			),
		},
		{
			name: "the wait behind more pressing loads counts",
			options: func(o *Options) {
				o.LoadsAtOnce = 1
			},
			lines: lines(begun("x@1", "y@1"),
				line{event: demandOf("x", "x@1", "", time.Hour), want: "load x@1"},
				line{event: demandOf("y", "y@1", "", testLife+2*time.Second), want: "refuse y y@1 DEADLINE"},
				line{event: result{order: "load x@1"}, want: "usable x@1; load y@1"},
			),
		},
		{
			name: "a deadline that comes before the load ends is answered then",
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "", testLife+4*time.Second), want: "load x@1"},
				line{after: 4 * time.Second, event: Tick{}, want: "refuse a x@1 DEADLINE"},
				line{event: result{order: "load x@1"}, want: "usable x@1"},
			),
		},
		{
			name: "a deadline of a request whose model became unusable is watched again",
			options: func(o *Options) {
				o.StateInterval = time.Second
			},
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{event: demandOf("a", "x@1", "", testLife+5*time.Second)},
				line{after: time.Second, event: Tick{}},
				line{event: shows{incarnation: "restarted"}, want: "unusable x@1; load x@1"},
				line{after: 4 * time.Second, event: Tick{}, want: "refuse a x@1 DEADLINE"},
			),
		},
		{
			name: "no time is known, and the request waits until its deadline",
			lines: lines(begun("y@1"),
				line{event: demandOf("a", "y@1", "", testLife+time.Millisecond), want: "load y@1"},
				line{after: time.Millisecond, event: Tick{}, want: "refuse a y@1 DEADLINE"},
			),
		},
	})
}

// An idle model that keeps its accelerator costs money, and one that is dropped too early, or while it is needed, costs
// a cold start.
func TestSleeping(t *testing.T) {
	use := func(model string) []line {
		return lines(line{event: Started{Request: "use " + model, Model: model}}, line{event: Finished{Request: "use " + model}})
	}
	zDemand := demandOf("z", "z@1", "", time.Hour)
	noMemory := "refuse z@1 NO_MEMORY; want z@1 NO_MEMORY"
	runScripts(t, []scriptCase{
		{
			name: "an idle replica is unloaded when the policy's time is over, and a request starts the time anew",
			keep: time.Minute,
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{after: time.Minute - 1, event: Tick{}}, use("x@1"),
				line{after: time.Minute - 1, event: Tick{}},
				line{after: 1, event: Tick{}, want: "unusable x@1; unload x@1"},
			),
		},
		{
			name: "an idle adapter is unloaded after its model's time, while the model is in use",
			keep: time.Minute,
			lines: lines(begun("x@1"), loadedFirst("x@1"),
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: result{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
				line{event: DemandGone{Request: "a"}},
				line{event: Started{Request: "r", Model: "x@1"}},
				line{after: time.Minute, event: Tick{}, want: "unusable x@1 xa; unload_adapter x@1 xa"},
			),
		},
		{
			name: "the longest idle one makes room",
			lines: lines(begun("x@1", "y@1", "z@1"), loadedFirst("x@1"), loadedFirst("y@1"),
				line{after: time.Second, event: Tick{}}, use("x@1"), line{after: time.Second, event: Tick{}},
				line{event: zDemand, want: "unusable y@1; unload y@1"},
				line{event: result{order: "unload y@1"}, want: "load z@1"},
			),
		},
		{
			name: "what runs or is waited for makes no room",
			lines: lines(begun("x@1", "y@1", "z@1"), loadedFirst("x@1"), loadedFirst("y@1"),
				line{event: Started{Request: "r", Model: "x@1"}},
				line{event: demandOf("w", "y@1", "", time.Hour)},
				line{event: zDemand, want: noMemory},
				line{event: Finished{Request: "r"}},
				line{event: zDemand, want: "unusable x@1; unload x@1"},
			),
		},
		{
			name: "a warm replica loads by itself, stays, and makes no room",
			keep: time.Minute,
			lines: lines(begun("warm@1", "x@1", "z@1"),
				line{event: result{order: "load warm@1"}, want: "*"},
				line{after: time.Hour, event: Tick{}},
				line{event: demandOf("x", "x@1", "", 2*time.Hour), want: "load x@1"},
				line{event: demandOf("z", "z@1", "", 2*time.Hour), want: noMemory},
			),
		},
		{
			name: "only the first slots are warm",
			lines: lines(begun(),
				line{event: RowSeen{Row: slots("warm@1", 10, granted("other"), granted("e"))}},
				line{event: RowSeen{Row: slots("warm@1", 11, releasing("other"), granted("e"))}, want: "load warm@1"},
			),
		},
		{
			name: "adapters make room for an adapter, the least recently used first",
			lines: lines(begun("x@1", "y@1"), loadedFirst("x@1"), loadedFirst("y@1"),
				line{event: Started{Request: "r", Model: "y@1"}},
				line{event: demandOf("a", "x@1", "xa", time.Hour), want: "load_adapter x@1 xa"},
				line{event: result{order: "load_adapter x@1 xa"}, want: "usable x@1 xa"},
				line{event: DemandGone{Request: "a"}},
				line{after: time.Second, event: demandOf("b", "x@1", "xb", time.Hour), want: "load_adapter x@1 xb"},
				line{event: result{order: "load_adapter x@1 xb"}, want: "usable x@1 xb"},
				line{event: DemandGone{Request: "b"}},
				line{event: SpecsChanged{Models: testSpecs.Models, Adapters: append(testSpecs.Adapters, AdapterSpec{"xd", "x@1", 9})}},
				line{event: demandOf("d", "x@1", "xd", time.Hour), want: "unusable x@1 xa; unload_adapter x@1 xa"},
				line{event: result{order: "unload_adapter x@1 xa"}, want: "load_adapter x@1 xd"},
			),
		},
	})
}

// A permit only spares the weight store; when the process that gives them is gone, loads must not wait for it, nor all
// start at the same moment.
func TestPermits(t *testing.T) {
	patient := func(o *Options) { o.PermitPatience = 4 * time.Second }
	demand := demandOf("a", "x@1", "", time.Hour)
	runScripts(t, []scriptCase{
		{
			name: "a load waits for its permit and gives it back at its end", options: patient, permits: true,
			lines: lines(begun("x@1"),
				line{event: demand, want: "ask"},
				line{event: given{time.Second}, want: "load x@1"},
				line{event: given{time.Second}},
				line{event: result{order: "load x@1"}, want: "end; usable x@1"},
			),
		},
		{
			name: "a cached checkpoint needs none", options: patient, permits: true,
			lines: lines(begunWith(shows{cached: []string{"x@1"}}, "x@1"),
				line{event: demand, want: "load x@1"},
			),
		},
		{
			name: "without an answer the load starts between once and twice the patience", options: patient, permits: true,
			lines: lines(begun("x@1"),
				line{event: demand, want: "ask"},
				line{after: 4 * time.Second, event: Tick{}, want: "ask"},
				line{after: 4 * time.Second, event: Tick{}, want: "end; load x@1"},
			),
		},
		{
			name: "a denied one is asked for again when told", options: patient, permits: true,
			lines: lines(begun("x@1"),
				line{event: demand, want: "ask"},
				line{event: denied{time.Second}},
				line{after: time.Second - 1, event: Tick{}},
				line{after: 1, event: Tick{}, want: "ask"},
			),
		},
		{
			name: "an issuer that answers is waited for", options: patient, permits: true,
			lines: lines(begun("x@1"),
				line{event: demand, want: "ask"},
				line{event: denied{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denied{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denied{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: given{time.Second}, want: "load x@1"},
			),
		},
		{
			name: "but not beyond the time at which the load must start", options: patient, permits: true,
			lines: lines(begun("x@1"),
				line{event: demandOf("a", "x@1", "", testLife+15*time.Second), want: "ask"},
				line{event: denied{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denied{3 * time.Second}},
				line{after: 3 * time.Second, event: Tick{}, want: "ask"},
				line{event: denied{30 * time.Second}},
				line{after: 6 * time.Second, event: Tick{}, want: "end; load x@1"},
			),
		},
		{
			name: "a cached load does not wait behind those that wait for permits", options: patient, permits: true,
			lines: lines(begunWith(shows{cached: []string{"y@1"}}, "x@1", "y@1"),
				line{event: SpecsChanged{Models: append(testSpecs.Models, ModelSpec{Model: "s@1"}, ModelSpec{Model: "t@1"})}},
				line{event: RowSeen{Row: slots("s@1", 10, granted("e"))}}, line{event: RowSeen{Row: slots("t@1", 10, granted("e"))}},
				line{event: demandOf("s", "s@1", "", time.Minute), want: "ask"},
				line{event: demandOf("t", "t@1", "", time.Minute), want: "ask"},
				line{event: demand},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
			),
		},
		{
			name: "one that is not wanted any more is given back", options: patient, permits: true,
			lines: lines(begun("x@1"),
				line{event: demand, want: "ask"},
				line{event: DemandGone{Request: "a"}, want: "end"},
				line{event: given{time.Second}, want: "end"},
			),
		},
		{
			name: "one that ran out before there was room is replaced", options: patient, permits: true,
			lines: lines(begun("x@1", "big@1"), line{event: demandOf("b", "big@1", "", time.Hour), want: "ask"},
				line{event: given{time.Second}, want: "load big@1"},
				line{event: result{order: "load big@1"}, want: "end; usable big@1"},
				line{event: DemandGone{Request: "b"}},
				line{event: demand, want: "unusable big@1; unload big@1; ask"},
				line{event: given{time.Second}},
				line{after: time.Second, event: Tick{}, want: "end; ask"},
				line{event: result{order: "unload big@1"}},
				line{event: given{time.Second}, want: "load x@1"},
			),
		},
		{
			name: "an overtaken load keeps its permit", permits: true,
			options: func(o *Options) { o.PermitPatience, o.ChecksFencing = time.Second, true },
			lines: lines(begunWith(shows{cached: []string{"y@1"}}, "x@1", "y@1"),
				line{event: demand, want: "ask"},
				line{event: given{time.Second}, want: "load x@1"},
				line{event: demandOf("y", "y@1", "", time.Hour), want: "load y@1"},
				line{event: result{order: "load x@1", err: endpoint.ErrFenced}, want: "load x@1"},
				line{event: result{order: "load x@1"}, want: "end; usable x@1"},
			),
		},
	})
}
