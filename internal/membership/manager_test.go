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

// openRequest opens a request stream and returns the manager's and the agent's end of it.
func openRequest(t *testing.T, m *Manager, a *fakeAgent) (*wire.Stream, *wire.Stream) {
	t.Helper()
	var stream *wire.Stream
	eventually(t, "opening a request stream still fails", func() (opened bool) {
		var err error
		stream, err = m.Open("engine")
		return err == nil
	})
	return stream, receive(t, a.requests, "the agent did not get the request stream")
}

// checkStreamWorks checks that a request stream carries frames.
func checkStreamWorks(t *testing.T, local, remote *wire.Stream) {
	t.Helper()
	if err := remote.Write(&wirepb.FromAgent{RequestId: "r"}); err != nil {
		t.Fatal(err)
	}
	_ = local.SetReadDeadline(time.Now().Add(waitTimeout))
	if err := local.Read(&wirepb.FromAgent{}); err != nil {
		t.Fatalf("reading from the request stream: %v", err)
	}
}

// checkStreamEnds checks that a request stream ends.
func checkStreamEnds(t *testing.T, local *wire.Stream) {
	t.Helper()
	_ = local.SetReadDeadline(time.Now().Add(waitTimeout))
	if err := local.Read(&wirepb.FromAgent{}); errors.Is(err, wire.ErrTimeout) || err == nil {
		t.Fatalf("request stream is still open: got error %v", err)
	}
}

// An agent restarts: its connection is lost, and for a while it cannot be reached. The manager must retry until the
// agent is back, treat it as connected only after its full status report, and as lost once its stream has ended.
func TestManagerReconnects(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &fakeHostList{}, &recordingObserver{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, nil)
	control := agent.acceptControl()
	awaitEndpoint(t, m, "h1 live []")
	agent.report(control, fullStatus(1, "m@1"))
	awaitEndpoint(t, m, "h1 live connected [m@1]")
	local, remote := openRequest(t, m, agent)
	checkStreamWorks(t, local, remote)
	agent.stop()
	checkStreamEnds(t, local)
	awaitEndpoint(t, m, "h1 live [m@1]")
	seen.waitFor(t, "lost", 1)
	restarted := newAgent(t, agent.address)
	control = restarted.acceptControl()
	restarted.report(control, changeStatus())
	restarted.report(control, fullStatus(2, "n@1"))
	awaitEndpoint(t, m, "h1 live connected [n@1]")
	seen.waitFor(t, "connected", 2)
	if _, err := m.Open("other"); !errors.Is(err, ErrNotConnected) {
		t.Errorf("opening a stream to an unknown endpoint: got error %v", err)
	}
}

// An agent freezes, or its network drops what it sends, and its connection stays open without traffic. The agent must
// count as lost after the silence limit, and its requests must end.
func TestManagerGivesUpASilentAgent(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &fakeHostList{}, &recordingObserver{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, func(o *Options) { o.SilenceLimit = 100 * time.Millisecond })
	agent.report(agent.acceptControl(), fullStatus(1))
	local, _ := openRequest(t, m, agent)
	seen.waitFor(t, "reported 1", 1)
	checkStreamEnds(t, local)
	seen.waitFor(t, "lost", 1)
	agent.acceptControl()
}

// A host is terminated or replaced. Requests on a host that is only leaving must continue, also when its replacement is
// already listed. Late reports of the old host's agent must not be merged into the state of the replacement: it would
// get requests because of another agent's status, and lose slots that the other agent released.
func TestManagerReplacesHosts(t *testing.T) {
	cases := []struct {
		name string
		// list returns the next host list, given the agents of the old and the new host.
		list func(old, next *fakeAgent) []backing.Host
		// requestsEnd is set when the requests of the old host must end.
		requestsEnd bool
		want        string
	}{
		{"gone", func(old, _ *fakeAgent) []backing.Host { return []backing.Host{old.host("h1", goneHost)} }, true, "h1 gone leaving gone [m@1]"},
		{"not listed", func(_, _ *fakeAgent) []backing.Host { return nil }, true, "h1  leaving gone [m@1]"},
		{"leaving", func(old, _ *fakeAgent) []backing.Host { return []backing.Host{old.host("h1", leavingHost)} }, false, "h1 leaving connected leaving [m@1]"},
		{"replaced", func(_, next *fakeAgent) []backing.Host { return []backing.Host{next.host("h2", live)} }, true, "h2 live connected [n@1]"},
		{"replaced, the old host listed as gone", func(old, next *fakeAgent) []backing.Host {
			return []backing.Host{old.host("h1", goneHost), next.host("h2", live)}
		}, true, "h2 live connected [n@1]"},
		{"replaced while the old host leaves", func(old, next *fakeAgent) []backing.Host {
			return []backing.Host{next.host("h2", live), old.host("h1", leavingHost)}
		}, false, "h2 live connected [n@1]"},
		{"listed at another address", func(_, next *fakeAgent) []backing.Host { return []backing.Host{next.host("h1", live)} }, false, "h1 live connected [n@1]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			old, next := newAgent(t, ""), newAgent(t, "")
			list, seen := &fakeHostList{}, &recordingObserver{}
			list.set(old.host("h1", live))
			m := startManager(t, list, seen, nil)
			control := old.acceptControl()
			old.report(control, fullStatus(1, "m@1"))
			awaitEndpoint(t, m, "h1 live connected [m@1]")
			local, remote := openRequest(t, m, old)
			hosts := c.list(old, next)
			list.set(hosts...)
			list.waitForReread(t)
			if len(hosts) > 0 && hosts[0].Address == next.address || len(hosts) > 1 {
				next.report(next.acceptControl(), fullStatus(2, "n@1"))
			}
			awaitEndpoint(t, m, c.want)
			before := seen.count("reported 1")
			_ = control.Write(&wirepb.ControlUp{Status: fullStatus(1, "late@1")})
			if c.requestsEnd {
				checkStreamEnds(t, local)
			} else {
				checkStreamWorks(t, local, remote)
			}
			if c.name == "leaving" {
				return
			}
			list.waitForReread(t)
			awaitEndpoint(t, m, c.want)
			if after := seen.count("reported 1"); after != before {
				t.Errorf("the observer got %d late reports", after-before)
			}
			if seen.count("lost") != 1 {
				t.Errorf("the observer got %d lost events, want 1", seen.count("lost"))
			}
			list.set(next.host("h2", live))
			list.waitForReread(t)
			checkStreamEnds(t, local)
		})
	}
}

// The agent of a replaced host has finished its last request and exits. The manager must not reconnect to it while its
// host is still listed.
func TestManagerForgetsAReplacedHost(t *testing.T) {
	old, next := newAgent(t, ""), newAgent(t, "")
	list, seen := &fakeHostList{}, &recordingObserver{}
	list.set(old.host("h1", live))
	m := startManager(t, list, seen, nil)
	old.report(old.acceptControl(), fullStatus(1))
	retired := func() int {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.retired)
	}
	list.set(old.host("h1", leavingHost), next.host("h2", live))
	next.acceptControl()
	if n := retired(); n != 1 {
		t.Fatalf("%d links to replaced hosts, want 1", n)
	}
	old.stop()
	eventually(t, "the link to the replaced host is kept after its connection ended", func() bool { return retired() == 0 })
}

// The host list is unavailable, at the start or later. The last list must stay in effect, and Listed must not be closed
// before the first successful read.
func TestManagerOutlivesAnOutageOfTheList(t *testing.T) {
	agent := newAgent(t, "")
	list := &fakeHostList{}
	list.fail()
	m := startManager(t, list, nil, nil)
	list.waitForReread(t)
	select {
	case <-m.Listed():
		t.Fatal("Listed is closed before the list was read")
	default:
	}
	list.set(agent.host("h1", live), backing.Host{ID: "e2", Role: backing.RoleEntry, State: live})
	agent.report(agent.acceptControl(), fullStatus(1, "m@1"))
	awaitEndpoint(t, m, "h1 live connected [m@1]")
	receive(t, m.Listed(), "Listed is not closed after the list was read")
	list.fail()
	list.waitForReread(t)
	awaitEndpoint(t, m, "h1 live connected [m@1]")
	if len(m.Entries()) != 1 {
		t.Errorf("got entries %v, want 1", m.Entries())
	}
}

// An agent stops reading its control stream while the manager goes on sending. The queue is bounded: at the limit the
// connection must be closed, and the next one must not send the old batches.
func TestManagerEndsAStalledConnection(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &fakeHostList{}, &recordingObserver{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, nil)
	agent.acceptControl()
	seen.waitFor(t, "connected", 1)
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
	eventually(t, "the stalled connection was not closed", func() bool {
		m.Send("engine", large)
		if n := waiting(); n > maxPendingBatches {
			t.Fatalf("%d batches are queued, more than the limit", n)
		}
		return seen.count("lost") > 0
	})
	agent.acceptControl()
	if n := waiting(); n > 1 {
		t.Errorf("%d batches of the old connection are queued for the new one", n)
	}
}

// Messages sent within the batch delay are merged into one numbered batch, and heartbeats follow while there is nothing
// to send.
func TestManagerSendsBatches(t *testing.T) {
	agent := newAgent(t, "")
	list, seen := &fakeHostList{}, &recordingObserver{}
	list.set(agent.host("h1", live))
	m := startManager(t, list, seen, func(o *Options) { o.BatchDelay = 50 * time.Millisecond; o.HeartbeatInterval = time.Hour })
	control := agent.acceptControl()
	seen.waitFor(t, "connected", 1)
	for i := range 10 {
		m.Send("engine", &wirepb.ControlDown{Rows: []*replicaspb.Row{{Model: strconv.Itoa(i)}}})
	}
	m.Send("nobody", &wirepb.ControlDown{})
	_ = control.SetReadDeadline(time.Now().Add(waitTimeout))
	down := &wirepb.ControlDown{}
	if err := control.Read(down); err != nil || down.Sequence != 1 || len(down.Rows) != 10 || down.Clock == 0 {
		t.Fatalf("got batch %v, error %v", down, err)
	}
	idleManager := startManager(t, list, nil, nil)
	heartbeats := agent.acceptControl()
	_ = heartbeats.SetReadDeadline(time.Now().Add(waitTimeout))
	for i := range 3 {
		down := &wirepb.ControlDown{}
		if err := heartbeats.Read(down); err != nil || down.Sequence != uint64(i+1) {
			t.Fatalf("heartbeat %d: got %v, error %v", i, down, err)
		}
	}
	_ = idleManager
}

// Several goroutines queue batches, which are merged in any order. A snapshot that was queued after deltas with higher
// revisions must not discard them: the agent would stay at the old revision.
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
		{"a snapshot after newer deltas", []*wirepb.ControlDown{delta(6), snapshot(5)}, func(d *wirepb.ControlDown) bool {
			return d.Snapshot.Revision == 5 && len(d.Deltas) == 1
		}},
		{"an older snapshot after a newer one", []*wirepb.ControlDown{snapshot(6), snapshot(5)}, func(d *wirepb.ControlDown) bool {
			return d.Snapshot.Revision == 6
		}},
		{"a newer snapshot after an older one", []*wirepb.ControlDown{snapshot(5), delta(6), snapshot(7)}, func(d *wirepb.ControlDown) bool {
			return d.Snapshot.Revision == 7
		}},
		{"a host state, and a batch without one", []*wirepb.ControlDown{state(wirepb.HostState_HOST_LEAVING), {}}, func(d *wirepb.ControlDown) bool {
			return d.HostState == wirepb.HostState_HOST_LEAVING
		}},
		{"entries, and a batch without them", []*wirepb.ControlDown{{Entries: []string{"a", "b"}}, {}}, func(d *wirepb.ControlDown) bool {
			return len(d.Entries) == 2
		}},
		{"permits and state requests are combined", []*wirepb.ControlDown{{Permits: []*wirepb.Permit{{Id: "1"}}, WantState: true}, {Permits: []*wirepb.Permit{{Id: "2"}}}}, func(d *wirepb.ControlDown) bool {
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
				t.Errorf("got merged batch %v", merged)
			}
		})
	}
}
