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

// begin is the time at which the tests begin.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

// What an entry is told must follow at once when an endpoint leaves, is ready or holds something else, and must not follow
// each request: at ten requests a second that was fourteen batches a second to every entry.
func TestStatusNews(t *testing.T) {
	cases := []struct {
		name   string
		change func(*wirepb.Status)
		want   news
	}{
		{"nothing", nil, newsNone},
		{"a request waits", func(s *wirepb.Status) { s.Load.Queued++ }, newsLoad},
		{"a request waits for a model", func(s *wirepb.Status) { s.Replicas[0].Queued++ }, newsLoad},
		{"a model has become idle", func(s *wirepb.Status) { s.Replicas[0].IdleMillis = 3 }, newsLoad},
		{"leaving", func(s *wirepb.Status) { s.Leaving = true }, newsState},
		{"not ready", func(s *wirepb.Status) { s.Ready = false }, newsState},
		{"new declarations", func(s *wirepb.Status) { s.DeclarationsRevision++ }, newsState},
		{"memory reserved", func(s *wirepb.Status) { s.MemoryReservedBytes++ }, newsState},
		{"memory known", func(s *wirepb.Status) { s.MemoryBytes++ }, newsState},
		{"a load in flight", func(s *wirepb.Status) { s.LoadsInFlight++ }, newsState},
		{"an adapter in flight", func(s *wirepb.Status) { s.AdaptersInFlight++ }, newsState},
		{"a checkpoint cached", func(s *wirepb.Status) { s.Cached = append(s.Cached, "n@1") }, newsState},
		{"a replica unloads", func(s *wirepb.Status) { s.Replicas[0].State = wirepb.ReplicaState_UNLOADING }, newsState},
		{"an adapter loaded", func(s *wirepb.Status) { s.Replicas[0].Adapters = []string{"a"} }, newsState},
		{"a newer grant", func(s *wirepb.Status) { s.Replicas[0].Revision++ }, newsState},
		{"a replica gone", func(s *wirepb.Status) { s.Replicas = nil }, newsState},
		{"another replica", func(s *wirepb.Status) { s.Replicas[0].Model = "n@1" }, newsState},
		{"load and state", func(s *wirepb.Status) { s.Load.Queued++; s.Replicas[0].Revision++ }, newsState},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var memo statusMemo
			if got := memo.compare(engineStatus(nil)); got != newsState {
				t.Errorf("before anything was told: %v", got)
			}
			memo.change(engineStatus(nil))
			if got := memo.compare(engineStatus(c.change)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A batch that tells only of load waits for more of its kind; whatever else is queued or changed makes it leave at once.
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
			s.sent.change(engineStatus(nil))
			s.sentAt = begin
			s.acknowledge(3)
			if c.queue != nil {
				s.queue(c.queue)
			}
			wait, due := s.patience(engineStatus(c.change), begin.Add(c.after))
			if wait != c.want || due != c.due {
				t.Errorf("wait %v, due %v; want %v, %v", wait, due, c.want, c.due)
			}
		})
	}
}

// An entry works with what change reports add up to. If a report left out something that had changed, the entry would go
// on routing to a replica that is gone, or pass over one that is there, until the agent connects anew. Random statuses in
// a row must leave the entry with the last one, whole.
func TestChangeReportsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	view := membership.NewView()
	view.HostsRead([]backing.Host{{ID: "h", Role: backing.RoleEndpoint, State: backing.HostLive, Endpoint: "engine-1"}}, 1)
	var memo statusMemo
	for step := range 5000 {
		status := randomStatus(random)
		whole := proto.CloneOf(status)
		if random.IntN(50) == 0 {
			memo = statusMemo{}
			view.Lost("engine-1")
		}
		told := proto.CloneOf(memo.change(status))
		if !view.Reported(begin.Add(time.Duration(step)*time.Second), "engine-1", told) {
			t.Fatalf("step %d: the report was dropped", step)
		}
		endpoint, _ := view.Endpoint("engine-1")
		if problem := difference(endpoint, whole); problem != "" {
			t.Fatalf("step %d: %s; told %v, agent %v", step, problem, told, whole)
		}
	}
}

// difference says where an entry's view differs from the agent's status.
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
		if replicaNews(e.Replicas[r.Model], r) != newsNone {
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
