package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/standin/engine"
	"balsamsail/internal/wire/wirepb"
)

// An agent is stopped by plan with answers under way, one waiting for its commit, and offers of entries that have not
// heard of it still coming. What runs, or may be committed any moment, is finished; what waits or comes is refused as not
// run; and the agent's end comes by itself after the last answer.
func TestDrain(t *testing.T) {
	s := newWatchedService(10)
	a := startAgent(t, agentSettings{options: Options{Capacity: 2}, url: newService(t, s.ServeHTTP)})
	entry := dialAgent(t, a)
	running := entry.offer("running", post(nil))
	<-s.begun
	ready := entry.offer("ready", post(twoStep))
	ready.await("ready")
	waiting := entry.offer("waiting", post(nil))
	waiting.await("accepted")
	ended := make(chan error, 1)
	go func() { ended <- a.stop() }()
	if got := waiting.end(); got != "LEAVING" {
		t.Errorf("what waited ended with %s", got)
	}
	for range 10 {
		if got := entry.offer("late", post(nil)).end(); got != "LEAVING" {
			t.Errorf("an offer in the drain ended with %s", got)
		}
	}
	ready.commit()
	<-s.begun
	select {
	case err := <-ended:
		t.Fatalf("ended with requests running: %v", err)
	default:
	}
	close(s.gate)
	if got, also := running.end(), ready.end(); got != endTrailer || also != endTrailer {
		t.Errorf("what ran ended with %s and %s", got, also)
	}
	if err := within(t, ended, "the agent does not end"); err != nil {
		t.Error(err)
	}
	if s.whole.Load() != 2 || s.cut.Load() != 0 {
		t.Errorf("%d whole, %d cut", s.whole.Load(), s.cut.Load())
	}
}

// A service hangs in a call, committed or not, when its agent is stopped. The stop may wait for the call for the time to
// drain and no longer: the agent waited on for the longest time of an answer, an hour, and its host was taken away under it.
func TestDrainTimeout(t *testing.T) {
	cases := []struct {
		name  string
		offer func(*wirepb.Offer)
	}{{"repeatable", nil}, {"committed", twoStep}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newWatchedService(10)
			a := startAgent(t, agentSettings{
				options: Options{DrainTimeout: 20 * time.Millisecond, MaxAnswer: time.Hour},
				url:     newService(t, s.ServeHTTP),
			})
			x := dialAgent(t, a).offer("hanging", post(c.offer))
			if c.offer != nil {
				x.await("ready")
				x.commit()
			}
			<-s.begun
			if err := a.stop(); !errors.Is(err, ErrDrainTimeout) {
				t.Errorf("got %v, want ErrDrainTimeout", err)
			}
		})
	}
}

// standinEngine is a quick engine with a stand-in's truth.
func standinEngine(t *testing.T) (*engine.Server, string) {
	t.Helper()
	const quick = time.Millisecond
	s := engine.New(engine.Options{
		MemoryBytes: 100, KVBytes: 1, LoadFromMemory: quick, LoadFromDisk: quick, LoadFromStore: quick, LoadAdapter: quick, Unload: quick,
		FirstToken: -1, BetweenTokens: -1, Fencing: engine.FencingIgnores,
	})
	site := httptest.NewServer(s.Handler())
	t.Cleanup(site.Close)
	return s, site.URL
}

func loads(s *engine.Server) int {
	n := 0
	for _, h := range s.Truth().History {
		if h.Kind == engine.HistoryLoadStarted {
			n++
		}
	}
	return n
}

// chat is an offer of a chat completion of the model "m@1".
func chat(o *wirepb.Offer) {
	o.Service, o.Model, o.Method, o.Path = "", "m@1", http.MethodPost, "/v1/chat/completions"
	o.Body = []byte(`{"model":"m@1","messages":[{"role":"user","content":"how long"}]}`)
	o.BodyLength = int64(len(o.Body))
}

// offerUntil offers chats until one ends as wanted; others must be refused.
func (e *scriptedEntry) offerUntil(wanted string) {
	e.t.Helper()
	eventually(e.t, "no chat ends with "+wanted, func() bool { return e.offer("chat", post(chat)).end() == wanted })
}

// An agent starts anew in an outage of the table, beside an engine that lives on. What the engine holds and a peer tells
// a grant of is served; nothing is loaded, because a pushed row may be older than a release that the former agent
// confirmed. After the outage all is as ever.
func TestAgentRestartInAnOutage(t *testing.T) {
	standin, url := standinEngine(t)
	table := &grantTable{models: []string{"m@1"}}
	state := &wirepb.ControlDown{Sequence: 1, Snapshot: snapshot(), Rows: table.rows()}

	table.down.Store(true)
	first := startAgent(t, agentSettings{kind: KindEngine, url: url, table: table, unready: true})
	entry := dialAgent(t, first)
	if got := entry.offer("chat", post(chat)).end(); got != "NOT_READY" {
		t.Errorf("before anything is known: %s", got)
	}
	control := entry.control(state)
	entry.offerUntil("NOT_READY")
	time.Sleep(50 * time.Millisecond)
	if n := loads(standin); n != 0 {
		t.Errorf("%d loads in the outage", n)
	}
	table.down.Store(false)
	first.awaitReady()
	entry.offerUntil(endTrailer)
	_ = control.Close()
	if err := first.stop(); err != nil {
		t.Fatal(err)
	}

	table.down.Store(true)
	second := startAgent(t, agentSettings{kind: KindEngine, url: url, table: table, unready: true})
	entry = dialAgent(t, second)
	entry.control(state)
	second.awaitReady()
	if got := entry.offer("chat", post(chat)).end(); got != endTrailer {
		t.Errorf("a loaded model in the outage: %s", got)
	}
	if n := loads(standin); n != 1 {
		t.Errorf("%d loads in all", n)
	}
}

// An engine answers a request with the text of another one's. The caller must get an error, not somebody else's advisory.
func TestCrossedAnswerOfAnEngine(t *testing.T) {
	standin, url := standinEngine(t)
	table := &grantTable{models: []string{"m@1"}}
	caller := echoing(t, url)
	a := startAgent(t, agentSettings{kind: KindEngine, url: url, caller: caller, table: table})
	entry := dialAgent(t, a)
	entry.control(&wirepb.ControlDown{Sequence: 1, Snapshot: snapshot()})
	entry.offerUntil(endTrailer)
	standin.Faults().Update(func(f *engine.Faults) { f.Cross.Next = 1 })
	if got := entry.offer("crossed", post(chat)).end(); got != "WRONG_ANSWER unclear" {
		t.Errorf("ended with %s", got)
	}
	standin.Faults().Update(func(f *engine.Faults) { f.Refuse = true })
	if got := entry.offer("busy", post(chat)).end(); got != "ENDPOINT_REFUSED clean" {
		t.Errorf("a busy engine: ended with %s", got)
	}
}
