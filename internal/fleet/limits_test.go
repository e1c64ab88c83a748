package fleet

import (
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/peak"
)

// load sends requests at a rate for a while, from a time, and returns when which endpoint got one.
func load(f *Fleet, from time.Time, d time.Duration, perSecond int, request func() *Request) map[string][]time.Time {
	sent := make(map[string][]time.Time)
	for i := range int(d.Seconds() * float64(perSecond)) {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		for _, id := range []string{"e1", "e2"} {
			f.SetState(id, nil, 0, 0, now)
		}
		r := request()
		if c, _, ok := f.Choose(now, r); ok {
			sent[c.ID] = append(sent[c.ID], now)
			f.Done(c, r)
		}
	}
	return sent
}

const limitWindow = 4 * time.Second

// Guards against an endpoint in need that goes on to get its share of the requests: with a limit of 2 a second it gets them
// only where no other endpoint can serve, and never more.
func TestEndpointGetsTheRateThatItNames(t *testing.T) {
	limit := RateLimit{Named: true, PerSecond: 2}
	model := func() *Request { return &Request{Target: Target{Service: "s", Model: "m"}} }
	plain := func() *Request { return &Request{Target: Target{Service: "s"}} }
	resumed := func() *Request { r := model(); r.Resuming = true; return r }
	for _, c := range []struct {
		name    string
		fleet   func() *Fleet
		request func() *Request
		// others is set if another endpoint can serve the requests.
		others bool
	}{
		{"model with another replica", twoEngines, model, true},
		{"model with one replica", oneEngine, model, false},
		{"rest of a stream", oneEngine, resumed, false},
		{"plain service with another endpoint", plainEndpoints("e1", "e2"), plain, true},
		{"plain service with one endpoint", plainEndpoints("e1"), plain, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.fleet()
			f.SetLimitShare(start, 1)
			f.ObserveLimit(start, start, choiceOf(f, "e1"), limit)
			const perSecond, d = 20, 10 * time.Second
			sent := load(f, start, d, perSecond, c.request)
			if got, allowed := peak.Within(sent["e1"], limitWindow), int(limit.PerSecond*limitWindow.Seconds())+1; got > allowed {
				t.Errorf("%d requests in %v to an endpoint that takes %v a second, want at most %d", got, limitWindow, limit.PerSecond, allowed)
			}
			want := map[bool]int{true: 0, false: int(limit.PerSecond*d.Seconds()) - 1}[c.others]
			if len(sent["e1"]) < want {
				t.Errorf("%d requests in %v to the only endpoint, want %d at least", len(sent["e1"]), d, want)
			}
			if c.others && len(sent["e2"]) < perSecond*int(d.Seconds())-int(limit.PerSecond*d.Seconds()) {
				t.Errorf("%d of %d requests to the other endpoint", len(sent["e2"]), perSecond*int(d.Seconds()))
			}
		})
	}
}

// Guards against an endpoint in need that is taken for well again because of an answer that it gave, or began to give, before
// it named its limit: slow requests are answered after quick ones that were sent later.
func TestAnswerToAnEarlierRequestDoesNotEndALimit(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	limit := RateLimit{Named: true, PerSecond: 2}
	named := func(f *Fleet) { f.ObserveLimit(at(2), at(1.9), choiceOf(f, "e1"), limit) }
	for _, c := range []struct {
		name    string
		observe func(f *Fleet)
		want    int
	}{
		{"sent before the limit was named", func(f *Fleet) { named(f); f.ObserveLimit(at(3), at(1), choiceOf(f, "e1"), RateLimit{}) }, 1},
		{"sent after the limit was named", func(f *Fleet) { named(f); f.ObserveLimit(at(3), at(2.1), choiceOf(f, "e1"), RateLimit{}) }, 0},
		{"sent before, by another gateway", func(f *Fleet) {
			other := oneEngine()
			other.ObserveLimit(at(1.5), at(1.4), choiceOf(other, "e1"), limit)
			other.ObserveLimit(at(3), at(1.6), choiceOf(other, "e1"), RateLimit{})
			named(f)
			f.ApplyLimits(at(3.1), other.Limits(at(3.1)))
		}, 1},
		{"sent after, by another gateway", func(f *Fleet) {
			other := oneEngine()
			other.ObserveLimit(at(1.5), at(1.4), choiceOf(other, "e1"), limit)
			other.ObserveLimit(at(3), at(2.5), choiceOf(other, "e1"), RateLimit{})
			named(f)
			f.ApplyLimits(at(3.1), other.Limits(at(3.1)))
		}, 0},
		{"sent before another gateway was told the limit", func(f *Fleet) {
			other := oneEngine()
			named(other)
			f.ObserveLimit(at(3), at(1), choiceOf(f, "e1"), RateLimit{})
			f.ApplyLimits(at(3.1), other.Limits(at(3.1)))
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := oneEngine()
			c.observe(f)
			if got := f.LimitedEndpoints(); got != c.want {
				t.Errorf("%d endpoints with a limit, want %d", got, c.want)
			}
		})
	}
}

// Guards against the limit that an endpoint's earlier process has named coming back from a gateway that has not heard of the restart.
func TestLimitOfAnEarlierProcess(t *testing.T) {
	registered := func(started int64) []catalog.Endpoint {
		return []catalog.Endpoint{{ID: "e1", Service: "s", Revision: started, Started: started}}
	}
	f, other := New("here", 1), New("there", 1)
	for _, gateway := range []*Fleet{f, other} {
		gateway.SetEndpoints(registered(100))
	}
	other.ObserveLimit(start, start, choiceOf(other, "e1"), RateLimit{Named: true, PerSecond: 2})
	f.SetEndpoints(registered(200))
	f.ApplyLimits(start, other.Limits(start))
	if n := f.LimitedEndpoints(); n != 0 {
		t.Errorf("%d endpoints with a limit, want none: its process has ended", n)
	}
	other.SetEndpoints(registered(200))
	other.ObserveLimit(start, start, choiceOf(other, "e1"), RateLimit{Named: true, PerSecond: 2})
	f.ApplyLimits(start, other.Limits(start))
	if n := f.LimitedEndpoints(); n != 1 {
		t.Errorf("%d endpoints with a limit, want 1: the new process has named it", n)
	}
}

// Guards against an endpoint that gets no requests for the rest of the day, though it is well again, because others have room
// and only an answer of its own can say so. While it still names its limit, it is asked rarely.
func TestLimitIsCheckedAgainWhileOthersHaveRoom(t *testing.T) {
	const d = 30 * time.Second
	limit := RateLimit{Named: true, PerSecond: 2}
	for _, c := range []struct {
		name      string
		endsAfter time.Duration
		// behindHub is set if the gateway needs permits of a hub, which grants each that it asks for.
		behindHub   bool
		least, most int
	}{
		{"still in need", time.Hour, false, 3, int(d / limitRecheckInterval)},
		{"well again after 10 s", 10 * time.Second, false, 50, 400},
		{"still in need, behind a hub", time.Hour, true, 3, int(d / limitRecheckInterval)},
		{"well again after 10 s, behind a hub", 10 * time.Second, true, 50, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := twoEngines()
			f.SetLimitShare(start, 1)
			f.ObserveLimit(start, start, choiceOf(f, "e1"), limit)
			if c.behindHub {
				f.StartRelay(start)
			}
			sent := 0
			for now := start; now.Before(start.Add(d)); now = now.Add(50 * time.Millisecond) {
				for _, id := range []string{"e1", "e2"} {
					f.SetState(id, nil, 0, 0, now)
				}
				f.ApplyRelayed(now, []RelayedEngine{{ID: "e1", Reported: true}, {ID: "e2", Reported: true}})
				f.AddPermits(now, f.WantedPermits())
				r := &Request{Target: Target{Service: "s", Model: "m"}}
				choice, _, ok := f.Choose(now, r)
				if !ok {
					t.Fatalf("no endpoint after %v", now.Sub(start))
				}
				f.Done(choice, r)
				if choice.ID == "e1" {
					sent++
					said := limit
					if now.Sub(start) >= c.endsAfter {
						said = RateLimit{}
					}
					f.ObserveLimit(now, now, choiceOf(f, "e1"), said)
				}
			}
			if sent < c.least || sent > c.most {
				t.Errorf("%d requests in %v, want %d to %d", sent, d, c.least, c.most)
			}
		})
	}
}

// Guards against an engine that gets no models for the rest of the day, though it is well again, because nobody asks for those
// that it holds and so nothing says that its need has ended.
func TestPlacementForgetsALimitThatNothingConfirms(t *testing.T) {
	f := oneEngine()
	f.ObserveLimit(start, start, choiceOf(f, "e1"), RateLimit{Named: true, PerSecond: 2})
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {limitPlacementTTL - time.Second, true}, {limitPlacementTTL + time.Second, false}} {
		now := start.Add(c.after)
		f.SetState("e1", nil, 0, 0, now)
		if got := f.Engines("s", now)[0].Limit.Named; got != c.want {
			t.Errorf("limited %t after %v, want %t", got, c.after, c.want)
		}
	}
	if got := f.LimitedEndpoints(); got != 1 {
		t.Errorf("requests to %d endpoints are limited, want 1: only an answer ends that", got)
	}
}

// Guards against gateways that lose their hub at the same time and all send at once what they had in reserve, unused, while the
// hub gave them permits.
func TestGatewayWithoutItsHubHasNothingInReserve(t *testing.T) {
	f := oneEngine()
	f.SetLimitShare(start, 1)
	f.ObserveLimit(start, start, choiceOf(f, "e1"), RateLimit{Named: true, PerSecond: 2})
	f.StartRelay(start)
	now := start.Add(time.Minute)
	f.StopRelay(now)
	f.SetState("e1", nil, 0, 0, now)
	if _, _, ok := f.Choose(now, requestDue(time.Hour)); ok {
		t.Error("a request was sent at once")
	}
	later := now.Add(time.Second)
	f.SetState("e1", nil, 0, 0, later)
	if _, _, ok := f.Choose(later, requestDue(time.Hour)); !ok {
		t.Error("no request was sent within a second, want two")
	}
}

// Guards against a stream that waits for a place though its only engine was tried: it must be told so, to go there again.
func TestRestOfAStreamAfterAllEnginesWereTried(t *testing.T) {
	for _, limit := range []RateLimit{{}, {Named: true, PerSecond: 2}} {
		f := oneEngine()
		f.ObserveLimit(start, start, choiceOf(f, "e1"), limit)
		r := &Request{Target: Target{Service: "s", Model: "m"}, Adapter: "a1", Resuming: true, Tried: []string{"e1"}}
		if _, reason, ok := f.Choose(start, r); ok || reason != AllTried {
			t.Errorf("limit %+v: chosen %t, reason %v; want AllTried", limit, ok, reason)
		}
	}
}

func plainEndpoints(ids ...string) func() *Fleet {
	return func() *Fleet {
		f := New("here", 1)
		var list []catalog.Endpoint
		for _, id := range ids {
			list = append(list, catalog.Endpoint{ID: id, Service: "s", Address: id, Revision: 1})
		}
		f.SetConfig(catalog.NewConfig(1, catalog.ClientLimits{}, map[string]*catalog.Service{"s": {Name: "s"}}, nil))
		f.SetEndpoints(list)
		return f
	}
}
