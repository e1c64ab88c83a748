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

// An agent is stopped with answers in progress, a request waiting for its commit, and new offers from entries that have
// not received its drain status yet. Requests that run or may still be committed must finish, waiting and new requests
// must be refused as not run, and the agent must stop after the last answer.
func TestDrain(t *testing.T) {
	s := newGatedService(10)
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
		t.Errorf("the waiting request ended with %s", got)
	}
	for range 10 {
		if got := entry.offer("late", post(nil)).end(); got != "LEAVING" {
			t.Errorf("an offer during the drain ended with %s", got)
		}
	}
	ready.commit()
	<-s.begun
	select {
	case err := <-ended:
		t.Fatalf("the agent stopped with requests running: %v", err)
	default:
	}
	close(s.gate)
	if got, also := running.end(), ready.end(); got != endTrailer || also != endTrailer {
		t.Errorf("the running and the committed request ended with %s and %s", got, also)
	}
	if err := receive(t, ended, "the agent does not stop"); err != nil {
		t.Error(err)
	}
	if s.completed.Load() != 2 || s.aborted.Load() != 0 {
		t.Errorf("%d calls completed, %d aborted, want 2 and 0", s.completed.Load(), s.aborted.Load())
	}
}

// A service hangs in a call, committed or not, when its agent is stopped. The stop must wait for the call for no longer
// than the drain timeout. It used to wait for the maximum duration of an answer, an hour, and the host was removed
// meanwhile.
func TestDrainTimeout(t *testing.T) {
	cases := []struct {
		name  string
		offer func(*wirepb.Offer)
	}{{"repeatable", nil}, {"committed", twoStep}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newGatedService(10)
			a := startAgent(t, agentSettings{
				options: Options{DrainTimeout: 20 * time.Millisecond, MaxCallDuration: time.Hour},
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

// standinEngine starts a fast simulated engine.
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

// chat makes an offer a chat completion of the model "m@1".
func chat(o *wirepb.Offer) {
	o.Service, o.Model, o.Method, o.Path = "", "m@1", http.MethodPost, "/v1/chat/completions"
	o.Body = []byte(`{"model":"m@1","messages":[{"role":"user","content":"how long"}]}`)
	o.BodyLength = int64(len(o.Body))
}

// offerUntil offers chats until one ends with the wanted result.
func (e *fakeEntry) offerUntil(wanted string) {
	e.t.Helper()
	eventually(e.t, "no chat ended with "+wanted, func() bool { return e.offer("chat", post(chat)).end() == wanted })
}

// An agent restarts during an outage of the table, beside an engine that kept running. Models that the engine holds and
// for which a peer sends a grant must be served. Nothing may be loaded, because a pushed row may be older than a
// release that the previous agent confirmed. After the outage the agent must work normally.
func TestAgentRestartInAnOutage(t *testing.T) {
	standin, url := standinEngine(t)
	table := &fakeTable{models: []string{"m@1"}}
	state := &wirepb.ControlDown{Sequence: 1, Snapshot: snapshot(), Rows: table.rows()}

	table.down.Store(true)
	first := startAgent(t, agentSettings{kind: KindEngine, url: url, table: table, startsUnready: true})
	entry := dialAgent(t, first)
	if got := entry.offer("chat", post(chat)).end(); got != "NOT_READY" {
		t.Errorf("a chat before the grants were received ended with %s", got)
	}
	control := entry.control(state)
	entry.offerUntil("NOT_READY")
	time.Sleep(50 * time.Millisecond)
	if n := loads(standin); n != 0 {
		t.Errorf("%d loads during the outage", n)
	}
	table.down.Store(false)
	first.awaitReady()
	entry.offerUntil(endTrailer)
	_ = control.Close()
	if err := first.stop(); err != nil {
		t.Fatal(err)
	}

	table.down.Store(true)
	second := startAgent(t, agentSettings{kind: KindEngine, url: url, table: table, startsUnready: true})
	entry = dialAgent(t, second)
	entry.control(state)
	second.awaitReady()
	if got := entry.offer("chat", post(chat)).end(); got != endTrailer {
		t.Errorf("a chat with a loaded model during the outage ended with %s", got)
	}
	if n := loads(standin); n != 1 {
		t.Errorf("%d loads in total, want 1", n)
	}
}

// An engine answers a request with the answer to another one. The caller must get an error instead of another caller's
// answer.
func TestCrossedAnswerOfAnEngine(t *testing.T) {
	standin, url := standinEngine(t)
	table := &fakeTable{models: []string{"m@1"}}
	caller := newEchoCheckingCaller(t, url)
	a := startAgent(t, agentSettings{kind: KindEngine, url: url, caller: caller, table: table})
	entry := dialAgent(t, a)
	entry.control(&wirepb.ControlDown{Sequence: 1, Snapshot: snapshot()})
	entry.offerUntil(endTrailer)
	standin.Faults().Update(func(f *engine.Faults) { f.SwapAnswer.Next = 1 })
	if got := entry.offer("crossed", post(chat)).end(); got != "WRONG_ANSWER unclear" {
		t.Errorf("ended with %s", got)
	}
	standin.Faults().Update(func(f *engine.Faults) { f.Refuse = true })
	if got := entry.offer("busy", post(chat)).end(); got != "ENDPOINT_REFUSED clean" {
		t.Errorf("a busy engine: ended with %s", got)
	}
}
