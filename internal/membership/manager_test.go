package membership

import (
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const live, leavingHost, goneHost = backing.HostLive, backing.HostLeaving, backing.HostGone

// request opens a request stream and returns both its ends.
func request(t *testing.T, m *Manager, a *scriptedAgent) (*wire.Stream, *wire.Stream) {
	t.Helper()
	var stream *wire.Stream
	eventually(t, "no stream", func() (opened bool) {
		var err error
		stream, err = m.Open("engine")
		return err == nil
	})
	return stream, within(t, a.requests, "the agent gets no stream")
}

// works verifies that a request stream carries frames.
func works(t *testing.T, here, there *wire.Stream) {
	t.Helper()
	if err := there.Write(&wirepb.FromAgent{RequestId: "r"}); err != nil {
		t.Fatal(err)
	}
	_ = here.SetReadDeadline(time.Now().Add(patience))
	if err := here.Read(&wirepb.FromAgent{}); err != nil {
		t.Fatalf("a request was cut: %v", err)
	}
}

// ends verifies that a request stream ends.
func ends(t *testing.T, here *wire.Stream) {
	t.Helper()
	_ = here.SetReadDeadline(time.Now().Add(patience))
	if err := here.Read(&wirepb.FromAgent{}); errors.Is(err, wire.ErrTimeout) || err == nil {
		t.Fatalf("a request goes on: %v", err)
	}
}

// An agent ends and starts anew, is not there yet, or loses its connection: the entry connects until it is told otherwise,
// counts it as connected from its whole report on, and as lost from the end of its stream.
func TestManagerReconnects(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &scriptedList{}, &watcher{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, nil)
	control := agent.connected()
	awaitEndpoint(t, m, "h1 live []")
	agent.report(control, whole(1, "m@1"))
	awaitEndpoint(t, m, "h1 live connected [m@1]")
	here, there := request(t, m, agent)
	works(t, here, there)
	agent.stop()
	ends(t, here)
	awaitEndpoint(t, m, "h1 live [m@1]")
	seen.has(t, "lost", 1)
	again := newAgent(t, agent.address)
	control = again.connected()
	again.report(control, change())
	again.report(control, whole(2, "n@1"))
	awaitEndpoint(t, m, "h1 live connected [n@1]")
	seen.has(t, "connected", 2)
	if _, err := m.Open("other"); !errors.Is(err, ErrNotConnected) {
		t.Errorf("an unknown endpoint: got %v", err)
	}
}

// An agent freezes, or its link loses what it sends: its connection stays open with nothing on it. It must count as lost
// after the silence limit, and its requests must end.
func TestManagerGivesUpASilentAgent(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &scriptedList{}, &watcher{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, func(o *Options) { o.SilenceLimit = 100 * time.Millisecond })
	agent.report(agent.connected(), whole(1))
	here, _ := request(t, m, agent)
	seen.has(t, "reported 1", 1)
	ends(t, here)
	seen.has(t, "lost", 1)
	agent.connected()
}

// A host is reclaimed or replaced. What runs on a host that only leaves goes on to its end, also when its replacement is
// listed already; nothing that the old host's agent still says may count for the replacement, which would be routed to by
// the word of another agent, and lose slots for what that one gave back.
func TestManagerReplacesHosts(t *testing.T) {
	cases := []struct {
		name string
		// list is what the platform says next, given the agents of the old and the new host.
		list func(old, next *scriptedAgent) []backing.Host
		// cut is set when the old host's requests end.
		cut  bool
		want string
	}{
		{"gone", func(old, _ *scriptedAgent) []backing.Host { return []backing.Host{old.host("h1", goneHost)} }, true, "h1 gone leaving gone [m@1]"},
		{"not listed", func(_, _ *scriptedAgent) []backing.Host { return nil }, true, "h1  leaving gone [m@1]"},
		{"leaving", func(old, _ *scriptedAgent) []backing.Host { return []backing.Host{old.host("h1", leavingHost)} }, false, "h1 leaving connected leaving [m@1]"},
		{"replaced", func(_, next *scriptedAgent) []backing.Host { return []backing.Host{next.host("h2", live)} }, true, "h2 live connected [n@1]"},
		{"replaced, the old host listed as gone", func(old, next *scriptedAgent) []backing.Host {
			return []backing.Host{old.host("h1", goneHost), next.host("h2", live)}
		}, true, "h2 live connected [n@1]"},
		{"replaced while the old host leaves", func(old, next *scriptedAgent) []backing.Host {
			return []backing.Host{next.host("h2", live), old.host("h1", leavingHost)}
		}, false, "h2 live connected [n@1]"},
		{"at another address", func(_, next *scriptedAgent) []backing.Host { return []backing.Host{next.host("h1", live)} }, false, "h1 live connected [n@1]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			old, next := newAgent(t, ""), newAgent(t, "")
			list, seen := &scriptedList{}, &watcher{}
			list.set(old.host("h1", live))
			m := startManager(t, list, seen, nil)
			control := old.connected()
			old.report(control, whole(1, "m@1"))
			awaitEndpoint(t, m, "h1 live connected [m@1]")
			here, there := request(t, m, old)
			hosts := c.list(old, next)
			list.set(hosts...)
			list.readAgain(t)
			if len(hosts) > 0 && hosts[0].Address == next.address || len(hosts) > 1 {
				next.report(next.connected(), whole(2, "n@1"))
			}
			awaitEndpoint(t, m, c.want)
			before := seen.count("reported 1")
			_ = control.Write(&wirepb.ControlUp{Status: whole(1, "late@1")})
			if c.cut {
				ends(t, here)
			} else {
				works(t, here, there)
			}
			if c.name == "leaving" {
				return
			}
			list.readAgain(t)
			awaitEndpoint(t, m, c.want)
			if after := seen.count("reported 1"); after != before {
				t.Errorf("%d late reports were told", after-before)
			}
			if seen.count("lost") != 1 {
				t.Errorf("lost was told %d times", seen.count("lost"))
			}
			list.set(next.host("h2", live))
			list.readAgain(t)
			ends(t, here)
		})
	}
}

// The agent of a replaced host has answered its last request and ends. Nobody connects to it again, though its host is
// listed for a while.
func TestManagerForgetsAReplacedHost(t *testing.T) {
	old, next := newAgent(t, ""), newAgent(t, "")
	list, seen := &scriptedList{}, &watcher{}
	list.set(old.host("h1", live))
	m := startManager(t, list, seen, nil)
	old.report(old.connected(), whole(1))
	retired := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.retired)
	}
	list.set(old.host("h1", leavingHost), next.host("h2", live))
	next.connected()
	if n := retired(); n != 1 {
		t.Fatalf("%d connections to replaced hosts", n)
	}
	old.stop()
	eventually(t, "the replaced host is connected to again", func() bool { return retired() == 0 })
}

// The platform's list is down, at the start or later. The last list stays in force, and until there is one the entry does
// not count as knowing the hosts.
func TestManagerOutlivesAnOutageOfTheList(t *testing.T) {
	agent := newAgent(t, "")
	list := &scriptedList{}
	list.fail()
	m := startManager(t, list, nil, nil)
	list.readAgain(t)
	select {
	case <-m.Listed():
		t.Fatal("a list that was never read counts as read")
	default:
	}
	list.set(agent.host("h1", live), backing.Host{ID: "e2", Role: backing.RoleEntry, State: live})
	agent.report(agent.connected(), whole(1, "m@1"))
	awaitEndpoint(t, m, "h1 live connected [m@1]")
	within(t, m.Listed(), "a list that was read does not count")
	list.fail()
	list.readAgain(t)
	awaitEndpoint(t, m, "h1 live connected [m@1]")
	if len(m.Entries()) != 1 {
		t.Errorf("entries %v", m.Entries())
	}
}

// An agent reads nothing from its control stream while the entry has more and more to say. What waits is bounded: beyond
// it the connection is ended and begins anew with the whole state.
func TestManagerEndsAStalledConnection(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &scriptedList{}, &watcher{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, nil)
	agent.connected()
	seen.has(t, "connected", 1)
	large := &wirepb.ControlDown{Entries: make([]string, 0, 64)}
	for i := range 64 {
		large.Entries = append(large.Entries, string(make([]byte, 1<<10))+strconv.Itoa(i))
	}
	m.mu.Lock()
	l := m.links["engine"]
	m.mu.Unlock()
	waiting := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.pending)
	}
	eventually(t, "the stalled connection is kept", func() bool {
		m.Send("engine", large)
		if n := waiting(); n > maxPendingBatches {
			t.Fatalf("%d batches wait", n)
		}
		return seen.count("lost") > 0
	})
	agent.connected()
	if n := waiting(); n > 1 {
		t.Errorf("%d batches of the old connection wait for the new one", n)
	}
}

// What an entry has to say in a moment goes out as one batch, in numbered batches, and heartbeats follow while it has
// nothing to say.
func TestManagerSendsBatches(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &scriptedList{}, &watcher{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, func(o *Options) { o.BatchDelay = 50 * time.Millisecond; o.HeartbeatInterval = time.Hour })
	control := agent.connected()
	seen.has(t, "connected", 1)
	for i := range 10 {
		m.Send("engine", &wirepb.ControlDown{Rows: []*replicaspb.Row{{Model: strconv.Itoa(i)}}})
	}
	m.Send("nobody", &wirepb.ControlDown{})
	_ = control.SetReadDeadline(time.Now().Add(patience))
	down := &wirepb.ControlDown{}
	if err := control.Read(down); err != nil || down.Sequence != 1 || len(down.Rows) != 10 || down.Clock == 0 {
		t.Fatalf("%v, %v", down, err)
	}
	beating := startManager(t, list, nil, nil)
	beats := agent.connected()
	_ = beats.SetReadDeadline(time.Now().Add(patience))
	for i := range 3 {
		down := &wirepb.ControlDown{}
		if err := beats.Read(down); err != nil || down.Sequence != uint64(i+1) {
			t.Fatalf("heartbeat %d: %v, %v", i, down, err)
		}
	}
	_ = beating
}

// Batches are queued by several goroutines and merged. Whatever their order, the agent must end at the newest revision: a
// snapshot that was queued behind the deltas that lead beyond it took them away, and the agent stayed behind for good.
func TestMergeDown(t *testing.T) {
	snapshot := func(revision uint64) *wirepb.ControlDown {
		return &wirepb.ControlDown{Snapshot: &pb.Snapshot{Revision: revision}}
	}
	delta := func(revision uint64) *wirepb.ControlDown {
		return &wirepb.ControlDown{Deltas: []*pb.Delta{{Revision: revision}}}
	}
	state := func(s wirepb.HostState) *wirepb.ControlDown { return &wirepb.ControlDown{HostState: s} }
	cases := []struct {
		name string
		list []*wirepb.ControlDown
		want func(*wirepb.ControlDown) bool
	}{
		{"a snapshot behind its deltas", []*wirepb.ControlDown{delta(6), snapshot(5)}, func(d *wirepb.ControlDown) bool {
			return d.Snapshot.Revision == 5 && len(d.Deltas) == 1
		}},
		{"an older snapshot behind a newer one", []*wirepb.ControlDown{snapshot(6), snapshot(5)}, func(d *wirepb.ControlDown) bool {
			return d.Snapshot.Revision == 6
		}},
		{"a newer snapshot behind an older one", []*wirepb.ControlDown{snapshot(5), delta(6), snapshot(7)}, func(d *wirepb.ControlDown) bool {
			return d.Snapshot.Revision == 7
		}},
		{"a host state and nothing after it", []*wirepb.ControlDown{state(wirepb.HostState_HOST_LEAVING), {}}, func(d *wirepb.ControlDown) bool {
			return d.HostState == wirepb.HostState_HOST_LEAVING
		}},
		{"entries, and a batch without any", []*wirepb.ControlDown{{Entries: []string{"a", "b"}}, {}}, func(d *wirepb.ControlDown) bool {
			return len(d.Entries) == 2
		}},
		{"permits and wishes add up", []*wirepb.ControlDown{{Permits: []*wirepb.Permit{{Id: "1"}}, WantState: true}, {Permits: []*wirepb.Permit{{Id: "2"}}}}, func(d *wirepb.ControlDown) bool {
			return len(d.Permits) == 2 && d.WantState
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			merged := &wirepb.ControlDown{}
			for _, d := range c.list {
				mergeDown(merged, d)
			}
			if !c.want(merged) {
				t.Errorf("merged to %v", merged)
			}
		})
	}
}
