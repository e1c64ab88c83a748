package catalog

import (
	"slices"
	"testing"
	"time"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	route := func(name, host, prefix string) *Route { return &Route{Name: name, Host: host, Prefix: prefix} }
	c := NewConfig(1, ClientLimits{}, nil, []*Route{
		route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "g", "/a/b/c/"),
	})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/a/b/c/d": "long", "/x": "", "/a": ""} {
		got := ""
		if r, ok := c.Match("h", path); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", path, got, want)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := &Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.Pick(draw); got != want {
			t.Errorf("draw %v: service %s, want %s", draw, got, want)
		}
	}
}

func ids(list []Endpoint) []string {
	var names []string
	for _, e := range list {
		names = append(names, e.ID)
	}
	slices.Sort(names)
	return names
}

// The store is down for longer than the lease of the endpoints' registrations, so its table is empty when it recovers,
// and the endpoints, which were healthy all along, register again within two seconds. They must stay in use until then;
// one that has not registered again by then is gone. An endpoint that was leaving does not return to use, and without
// an outage a removed endpoint is gone at once.
func TestRegistrationsThatLapsedInAnOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEndpoints()
	e.Replace([]Endpoint{{ID: "well", Revision: 1}, {ID: "dead", Revision: 2}, {ID: "leaving", Leaving: true, Revision: 3}, {ID: "removed", Revision: 4}}, now)
	e.Remove("removed", now)
	e.StoreLost()
	now = now.Add(10 * time.Second)
	e.StoreBack(now)
	e.Replace(nil, now)
	if got := ids(e.Live(now)); !slices.Equal(got, []string{"dead", "well"}) {
		t.Errorf("right after the outage %v in use, want the two that lapsed", got)
	}
	e.Put(Endpoint{ID: "well", Revision: 9})
	now = now.Add(reregisterGrace)
	if got := ids(e.Live(now)); !slices.Equal(got, []string{"well"}) {
		t.Errorf("%v in use two seconds later, want the one that registered again", got)
	}
	e.Remove("well", now)
	if got := e.Live(now); len(got) != 0 {
		t.Errorf("%v in use after a removal without an outage, want none", ids(got))
	}
}

// A registration that is read late must not replace a newer one, or a draining endpoint would get new work.
func TestOlderRegistrationIsDropped(t *testing.T) {
	e := NewEndpoints()
	e.Put(Endpoint{ID: "a", Leaving: true, Revision: 5})
	e.Put(Endpoint{ID: "a", Revision: 4})
	if live := e.Live(time.Unix(0, 0)); len(live) != 1 || !live[0].Leaving {
		t.Errorf("%v, want the endpoint still leaving", live)
	}
}

// An endpoint restarts under its ID, and a write of the earlier process reaches the store after that of the later one, or
// after the later one has left. The registration of the earlier process must not come into use.
func TestRegistrationOfAnEarlierProcessIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEndpoints()
	e.Put(Endpoint{ID: "a", Started: 100, Revision: 1})
	e.Put(Endpoint{ID: "a", Started: 200, Revision: 2, Models: []string{"m"}})
	for _, late := range []Endpoint{{ID: "a", Started: 100, Revision: 3}, {ID: "a", Revision: 3}} {
		if e.Put(late) {
			t.Errorf("registration %+v was accepted", late)
		}
	}
	if live := e.Live(now); len(live) != 1 || live[0].Started != 200 || len(live[0].Models) != 1 {
		t.Errorf("in use %+v, want the later process", live)
	}
	e.Remove("a", now)
	if e.Put(Endpoint{ID: "a", Started: 100, Revision: 5}) || len(e.Live(now)) != 0 {
		t.Errorf("in use %+v after the removal, want none", e.Live(now))
	}
	if !e.Put(Endpoint{ID: "a", Started: 300, Revision: 6}) {
		t.Error("a third process was refused")
	}
}

// Another writer overwrites an endpoint's row or adds rows of its own. Such rows name no endpoint, also within the grace
// period after an outage of the store; the others stay.
func TestRowsOfAnotherWriterNameNoEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEndpoints()
	e.Replace([]Endpoint{{ID: "a", Started: 1, Revision: 1}, {ID: "b", Started: 2, Revision: 2}, {ID: "c", Started: 3, Revision: 3}}, now)
	e.StoreLost()
	e.StoreBack(now)
	e.Invalidate("a", now)
	e.Put(Endpoint{ID: "without a start", Revision: 9})
	if got := ids(e.Live(now)); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("%v in use, want b and c", got)
	}
	old := NewEndpoints()
	old.Replace([]Endpoint{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}, {ID: "upgraded", Started: 3, Revision: 3}}, now)
	if got := ids(old.Live(now)); len(got) != 3 {
		t.Errorf("%v in use where most endpoints state no start, want all", got)
	}
}
