package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/backing"
	"balsamsail/internal/membership"
	"balsamsail/internal/wire/wirepb"
)

// testStart is the time at which the tests begin.
var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engineStatus(change func(*wirepb.Status)) *wirepb.Status {
	s := &wirepb.Status{
		Endpoint:             "engine-1",
		Kind:                 KindEngine,
		FailureDomain:        "north",
		Labels:               map[string]string{"pool": "a"},
		Ready:                true,
		MemoryBytes:          100,
		MemoryReservedBytes:  40,
		DeclarationsRevision: 7,
		Load:                 &wirepb.Load{Running: 2, Queued: 1},
		Replicas:             []*wirepb.Replica{{Model: "m@1", State: wirepb.ReplicaState_LOADED, Running: 2, Queued: 1, Revision: 5}},
		Incarnation:          9,
		Cached:               []string{"m@1"},
		OperatorAddress:      "127.0.0.1:9",
	}
	if change != nil {
		change(s)
	}
	return s
}

// An entry must be notified at once when an endpoint leaves, changes its readiness or holds something else, but not of
// each request: at ten requests a second that caused fourteen batches a second to every entry.
func TestStatusNews(t *testing.T) {
	cases := []struct {
		name   string
		change func(*wirepb.Status)
		want   statusChange
	}{
		{"nothing", nil, changeNone},
		{"a request waits", func(s *wirepb.Status) { s.Load.Queued++ }, changeLoad},
		{"a request waits for a model", func(s *wirepb.Status) { s.Replicas[0].Queued++ }, changeLoad},
		{"a model has become idle", func(s *wirepb.Status) { s.Replicas[0].IdleMillis = 3 }, changeLoad},
		{"leaving", func(s *wirepb.Status) { s.Leaving = true }, changeState},
		{"not ready", func(s *wirepb.Status) { s.Ready = false }, changeState},
		{"new declarations", func(s *wirepb.Status) { s.DeclarationsRevision++ }, changeState},
		{"memory reserved", func(s *wirepb.Status) { s.MemoryReservedBytes++ }, changeState},
		{"memory size changed", func(s *wirepb.Status) { s.MemoryBytes++ }, changeState},
		{"a load in flight", func(s *wirepb.Status) { s.LoadsInFlight++ }, changeState},
		{"an adapter in flight", func(s *wirepb.Status) { s.AdaptersInFlight++ }, changeState},
		{"a checkpoint cached", func(s *wirepb.Status) { s.Cached = append(s.Cached, "n@1") }, changeState},
		{"a replica unloads", func(s *wirepb.Status) { s.Replicas[0].State = wirepb.ReplicaState_UNLOADING }, changeState},
		{"an adapter loaded", func(s *wirepb.Status) { s.Replicas[0].Adapters = []string{"a"} }, changeState},
		{"a newer grant", func(s *wirepb.Status) { s.Replicas[0].Revision++ }, changeState},
		{"a replica gone", func(s *wirepb.Status) { s.Replicas = nil }, changeState},
		{"another replica", func(s *wirepb.Status) { s.Replicas[0].Model = "n@1" }, changeState},
		{"load and state", func(s *wirepb.Status) { s.Load.Queued++; s.Replicas[0].Revision++ }, changeState},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sent sentStatus
			if got := sent.compare(engineStatus(nil)); got != changeState {
				t.Errorf("before the first status was sent: %v", got)
			}
			sent.delta(engineStatus(nil))
			if got := sent.compare(engineStatus(c.change)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A batch that carries only load is delayed to merge several changes; any other change or pending message sends it at
// once.
func TestBatchPatience(t *testing.T) {
	cases := []struct {
		name   string
		change func(*wirepb.Status)
		queue  func(*wirepb.ControlUp)
		after  time.Duration
		want   time.Duration
		due    bool
	}{
		{name: "nothing new"},
		{name: "load just after a batch", change: func(s *wirepb.Status) { s.Load.Running++ }, after: 50 * time.Millisecond, want: loadReportInterval - 50*time.Millisecond, due: true},
		{name: "load long after a batch", change: func(s *wirepb.Status) { s.Load.Running++ }, after: time.Second, due: true},
		{name: "state just after a batch", change: func(s *wirepb.Status) { s.Leaving = true }, due: true},
		{name: "a release", queue: func(up *wirepb.ControlUp) { up.Releases = []*wirepb.SlotRelease{{Model: "m@1"}} }, due: true},
		{name: "a permit asked for", queue: func(up *wirepb.ControlUp) { up.PermitRequests = []*wirepb.PermitRequest{{Id: "1"}} }, due: true},
		{name: "a permit done", queue: func(up *wirepb.ControlUp) { up.PermitsDone = []string{"1"} }, due: true},
		{name: "a slot wanted", queue: func(up *wirepb.ControlUp) { up.Wanted = []*wirepb.SlotWanted{{Model: "m@1"}} }, due: true},
		{name: "a snapshot wanted", queue: func(up *wirepb.ControlUp) { up.WantSnapshot = true }, due: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newControlStream(&wirepb.StreamHeader{Entry: "entry-1"})
			s.sent.delta(engineStatus(nil))
			s.sentAt = testStart
			s.acknowledge(3)
			if c.queue != nil {
				s.enqueue(c.queue)
			}
			wait, due := s.sendDelay(engineStatus(c.change), testStart.Add(c.after))
			if wait != c.want || due != c.due {
				t.Errorf("wait %v, due %v; want %v, %v", wait, due, c.want, c.due)
			}
		})
	}
}

// An entry works with the accumulated status changes. If a batch omitted a field that had changed, the entry would
// route to a replica that is gone, or ignore one that exists, until the agent reconnects. After any sequence of random
// statuses the entry must hold the last one completely.
func TestChangeReportsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	view := membership.NewView()
	view.ApplyHosts([]backing.Host{{ID: "h", Role: backing.RoleEndpoint, State: backing.HostLive, Endpoint: "engine-1"}}, 1)
	var sent sentStatus
	for step := range 5000 {
		status := randomStatus(random)
		whole := proto.CloneOf(status)
		if random.IntN(50) == 0 {
			sent = sentStatus{}
			view.SetDisconnected("engine-1")
		}
		update := proto.CloneOf(sent.delta(status))
		if !view.ApplyReport(testStart.Add(time.Duration(step)*time.Second), "engine-1", update) {
			t.Fatalf("step %d: the report was dropped", step)
		}
		endpoint, _ := view.Endpoint("engine-1")
		if problem := difference(endpoint, whole); problem != "" {
			t.Fatalf("step %d: %s; sent %v, agent %v", step, problem, update, whole)
		}
	}
}

// difference describes how an entry's view differs from the agent's status.
func difference(e *membership.Endpoint, whole *wirepb.Status) string {
	held := proto.CloneOf(e.Status)
	held.Full, held.Replicas = false, nil
	want := proto.CloneOf(whole)
	want.Replicas = nil
	if !proto.Equal(held, want) {
		return fmt.Sprintf("the entry holds %v", held)
	}
	if len(e.Replicas) != len(whole.Replicas) {
		return fmt.Sprintf("the entry holds %d replicas", len(e.Replicas))
	}
	for _, r := range whole.Replicas {
		if compareReplica(e.Replicas[r.Model], r) != changeNone {
			return fmt.Sprintf("the entry holds %v", e.Replicas[r.Model])
		}
	}
	return ""
}

func randomStatus(random *rand.Rand) *wirepb.Status {
	return engineStatus(func(s *wirepb.Status) {
		s.Ready = random.IntN(4) > 0
		s.Leaving = random.IntN(10) == 0
		s.MemoryBytes = int64(100 * random.IntN(2))
		s.MemoryReservedBytes = int64(random.IntN(3))
		s.DeclarationsRevision = uint64(random.IntN(3))
		s.LoadsInFlight = int32(random.IntN(2))
		s.Load = &wirepb.Load{Running: int32(random.IntN(3))}
		s.Cached = nil
		s.Replicas = nil
		for i := range 4 {
			if random.IntN(5) == 0 {
				s.Cached = append(s.Cached, fmt.Sprintf("m%d@1", i))
			}
			if random.IntN(2) == 0 {
				s.Replicas = append(s.Replicas, randomReplica(random, i))
			}
		}
	})
}

func randomReplica(random *rand.Rand, i int) *wirepb.Replica {
	r := &wirepb.Replica{
		Model:      fmt.Sprintf("m%d@1", i),
		State:      wirepb.ReplicaState(random.IntN(5)),
		Running:    int32(random.IntN(2)),
		IdleMillis: int64(random.IntN(2)),
		Revision:   uint64(1 + random.IntN(3)),
	}
	if random.IntN(3) == 0 {
		r.Adapters = []string{"a"}
	}
	return r
}
