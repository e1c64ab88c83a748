package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/wire/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fullStatus returns a full status report of an agent that holds the given model versions.
func fullStatus(incarnation uint64, models ...string) *wirepb.Status {
	s := &wirepb.Status{Full: true, Ready: true, Incarnation: incarnation, Labels: map[string]string{"pool": "a"}, Kind: "engine"}
	for _, m := range models {
		s.Replicas = append(s.Replicas, &wirepb.Replica{Model: m, State: wirepb.ReplicaState_LOADED, Revision: 1})
	}
	return s
}

// changeStatus returns a change report.
func changeStatus(replicas ...*wirepb.Replica) *wirepb.Status {
	return &wirepb.Status{Ready: true, Replicas: replicas}
}

// Host lists and reports arrive late, in any order and from several sources. Each case lists what the view receives and
// the resulting state of the endpoint "engine".
func TestViewCases(t *testing.T) {
	const live, leaving, gone = backing.HostLive, backing.HostLeaving, backing.HostGone
	list := func(version uint64, hosts ...backing.Host) func(*View) {
		return func(v *View) { v.ApplyHosts(hosts, version) }
	}
	report := func(s *wirepb.Status) func(*View) {
		return func(v *View) { v.ApplyReport(time.Unix(1, 0), "engine", proto.CloneOf(s)) }
	}
	lost := func(v *View) { v.SetDisconnected("engine") }
	leavingReport := proto.CloneOf(fullStatus(1))
	leavingReport.Leaving = true
	h1, h2 := func(s backing.HostState) backing.Host { return endpointHost("h1", s) }, func(s backing.HostState) backing.Host { return endpointHost("h2", s) }
	known := []func(*View){list(1, h1(live)), report(fullStatus(1, "m@1"))}
	cases := []struct {
		name  string
		steps []func(*View)
		// want is the text of the endpoint: host, state, flags and models.
		want string
	}{
		{"listed", known[:1], "h1 live []"},
		{"reported", known, "h1 live connected [m@1]"},
		{"an older list", append(slices.Clone(known), list(5, h1(leaving)), list(4, h1(live))), "h1 leaving connected leaving [m@1]"},
		{"the same list again", append(slices.Clone(known), list(1, h1(gone))), "h1 live connected [m@1]"},
		{"a list of version 0 first", []func(*View){list(0, h1(live))}, "h1 live []"},
		{"leaving according to the list", append(slices.Clone(known), list(2, h1(leaving))), "h1 leaving connected leaving [m@1]"},
		{"leaving according to its agent", []func(*View){list(1, h1(live)), report(leavingReport)}, "h1 live connected leaving []"},
		{"leaving according to its agent, and a new list", []func(*View){list(1, h1(live)), report(leavingReport), list(2, h1(live))}, "h1 live connected leaving []"},
		{"leaving according to the list, but not yet to its agent", append(slices.Clone(known), list(2, h1(leaving)), report(changeStatus())), "h1 leaving connected leaving [m@1]"},
		{"a leaving host is listed as live again", append(slices.Clone(known), list(2, h1(leaving)), list(3, h1(live))), "h1 leaving connected leaving [m@1]"},
		{"gone", append(slices.Clone(known), list(2, h1(gone))), "h1 gone leaving gone [m@1]"},
		{"not listed any more", append(slices.Clone(known), list(2)), "h1  leaving gone [m@1]"},
		{"a gone host is listed as live again", append(slices.Clone(known), list(2, h1(gone)), list(3, h1(live))), "h1 gone leaving gone [m@1]"},
		{"an unlisted host is listed again", append(slices.Clone(known), list(2), list(3, h1(live))), "h1 gone leaving gone [m@1]"},
		{"a late report of a gone host", append(slices.Clone(known), list(2, h1(gone)), report(fullStatus(1, "n@1"))), "h1 gone leaving gone [m@1]"},
		{"replaced", append(slices.Clone(known), list(2, h2(live))), "h2 live []"},
		{"replaced while the old host leaves, listed last", append(slices.Clone(known), list(2, h2(live), h1(leaving))), "h2 live []"},
		{"replaced while the old host leaves, listed first", append(slices.Clone(known), list(2, h1(leaving), h2(live))), "h2 live []"},
		{"replaced by a host that leaves as well", append(slices.Clone(known), list(2, h1(gone), h2(leaving))), "h2 leaving leaving []"},
		{"a change report before a full one", []func(*View){list(1, h1(live)), report(changeStatus())}, "h1 live []"},
		{"a change report after a lost connection", append(slices.Clone(known), lost, report(changeStatus())), "h1 live [m@1]"},
		{"a change report", append(slices.Clone(known), report(changeStatus(&wirepb.Replica{Model: "n@1", State: wirepb.ReplicaState_LOADING}))), "h1 live connected [m@1 n@1]"},
		{"a replica without a slot becomes absent", append(slices.Clone(known), report(changeStatus(&wirepb.Replica{Model: "m@1"}))), "h1 live connected []"},
		{"a replica with a slot becomes absent", append(slices.Clone(known), report(changeStatus(&wirepb.Replica{Model: "m@1", Revision: 3}))), "h1 live connected [m@1]"},
		{"the agent restarts", append(slices.Clone(known), lost, report(fullStatus(2, "n@1"))), "h1 live connected [n@1]"},
		{"a report of an endpoint that is not listed", []func(*View){report(fullStatus(1)), list(1, h1(live))}, "h1 live []"},
		{"a report without a status", append(slices.Clone(known), func(v *View) { v.ApplyReport(time.Time{}, "engine", nil) }), "h1 live connected [m@1]"},
		{"an entry host", append(slices.Clone(known), list(2, h1(live), backing.Host{ID: "e", Role: backing.RoleEntry, Endpoint: "engine"})), "h1 live connected [m@1]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := NewView()
			for _, step := range c.steps {
				step(v)
			}
			if e, _ := v.Endpoint("engine"); e.text() != c.want {
				t.Errorf("got  %s\nwant %s", e.text(), c.want)
			}
		})
	}
}

func (e *Endpoint) text() string {
	text := e.HostID + " " + string(e.Listed)
	for _, flag := range []struct {
		set  bool
		name string
	}{{e.Connected, "connected"}, {e.Leaving, "leaving"}, {e.Gone, "gone"}} {
		if flag.set {
			text += " " + flag.name
		}
	}
	return fmt.Sprint(text, " ", slices.Sorted(maps.Keys(e.Replicas)))
}

// Entries must return the listed entry hosts that are not gone, sorted by ID, and no hosts of other roles.
func TestViewEntries(t *testing.T) {
	v := NewView()
	entry := func(id string, s backing.HostState) backing.Host {
		return backing.Host{ID: id, Role: backing.RoleEntry, State: s, Address: id}
	}
	v.ApplyHosts([]backing.Host{entry("c", backing.HostLeaving), entry("b", backing.HostGone), entry("a", backing.HostLive),
		endpointHost("h", backing.HostLive), {ID: "x", Role: "other"}}, 1)
	var ids []string
	for _, e := range v.Entries() {
		ids = append(ids, e.ID+" "+string(e.State))
	}
	if want := []string{"a live", "c leaving"}; !slices.Equal(ids, want) {
		t.Errorf("got entries %v, want %v", ids, want)
	}
	if version, hosts := v.Hosts(); version != 1 || len(hosts) != 5 {
		t.Errorf("got version %d and hosts %v, want version 1 and 5 hosts", version, hosts)
	}
}

// The history of hosts must stay bounded and keep the latest ones.
func TestPastHostsAreBounded(t *testing.T) {
	p := hostHistory{states: map[string]backing.HostState{}}
	for i := range 2 * maxHostHistory {
		p.record(fmt.Sprint(i), backing.HostLeaving)
		p.record(fmt.Sprint(i), backing.HostGone)
		p.record(fmt.Sprint("live ", i), backing.HostLive)
	}
	if len(p.states) != maxHostHistory || len(p.order) != maxHostHistory {
		t.Errorf("%d states and %d host IDs are kept, want the limit", len(p.states), len(p.order))
	}
	if got := p.record(fmt.Sprint(2*maxHostHistory-1), backing.HostLive); got != backing.HostGone {
		t.Errorf("the latest host is %s, want gone", got)
	}
}

// viewOp is one random operation on a View: a list, a report or a lost connection.
type viewOp struct{ kind, pick int }

// Random lists in any order, and reports of agents that are late, restart or leave. A host must never return to an
// earlier state, a gone host must never be connected, an endpoint whose agent reported leaving must not accept work
// again on the same host, and returned values must never change.
func TestViewProperty(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	op := gopter.CombineGens(gen.IntRange(0, 5), gen.IntRange(0, 1<<20)).Map(func(v []any) viewOp {
		return viewOp{kind: v[0].(int), pick: v[1].(int)}
	})
	properties.Property("host states never go back", prop.ForAll(func(ops []viewOp) bool {
		v := NewView()
		latestSeen := map[string]backing.HostState{}
		reportedLeaving := map[string]bool{}
		for _, op := range ops {
			var before *Endpoint
			var text string
			if e, ok := v.Endpoint("engine"); ok {
				before, text = e, e.text()
			}
			applyViewOp(v, op, reportedLeaving)
			if before != nil && before.text() != text {
				panic(fmt.Sprintf("a returned value changed from %q to %q", text, before.text()))
			}
			if e, ok := v.Endpoint("engine"); ok {
				checkStateOrder(e, latestSeen, reportedLeaving)
			}
		}
		return true
	}, gen.SliceOfN(40, op)))
	properties.TestingRun(t)
}

// applyViewOp applies a random operation. reportedLeaving contains the hosts whose agents have reported that they are
// leaving.
func applyViewOp(v *View, op viewOp, reportedLeaving map[string]bool) {
	states := []backing.HostState{backing.HostLive, backing.HostLeaving, backing.HostGone, ""}
	switch op.kind {
	case 0, 1, 2:
		var hosts []backing.Host
		for i, id := range []string{"h1", "h2"} {
			if s := states[op.pick>>(2*i)%4]; s != "" {
				hosts = append(hosts, endpointHost(id, s))
			}
		}
		if op.pick%3 == 0 {
			slices.Reverse(hosts)
		}
		version, _ := v.Hosts()
		v.ApplyHosts(hosts, version+uint64(op.pick/16%3))
	case 3, 4:
		s := fullStatus(1, "m@1")
		s.Full = op.kind == 3
		e, ok := v.Endpoint("engine")
		s.Leaving = op.pick%4 == 0 || ok && reportedLeaving[e.HostID]
		if v.ApplyReport(time.Unix(int64(op.pick), 0), "engine", s) && s.Leaving {
			reportedLeaving[e.HostID] = true
		}
	case 5:
		v.SetDisconnected("engine")
	}
}

func checkStateOrder(e *Endpoint, latestSeen map[string]backing.HostState, reportedLeaving map[string]bool) {
	state := e.Listed
	if e.Gone {
		state = backing.HostGone
	}
	if seen := latestSeen[e.HostID]; laterState(state, seen) != state {
		panic(fmt.Sprintf("%s went from %s to %s", e.HostID, seen, state))
	}
	latestSeen[e.HostID] = state
	if e.Gone && e.Connected {
		panic("a gone host is connected")
	}
	if !e.Leaving && (state != backing.HostLive || reportedLeaving[e.HostID] && e.Connected) {
		panic(fmt.Sprintf("%s does not count as leaving: its state is %s, its agent reported leaving: %v", e.HostID, state, reportedLeaving[e.HostID]))
	}
	if e.Connected && e.Status == nil {
		panic("connected without a full report")
	}
}
