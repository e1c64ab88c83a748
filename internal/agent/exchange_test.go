package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
	"balsamsail/internal/standin/service"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// A penalty notice is offered to a plain service's agent, and something goes wrong at one of its stages. What the agent
// says last must agree with what the service really ran, and the place at the service must be free again at once for the
// next call.
func TestExchangeEnds(t *testing.T) {
	chance := control.Chance{Next: 1}
	cases := []struct {
		name   string
		offer  func(*wirepb.Offer)
		faults service.Faults
		commit time.Duration
		run    func(x *exchangeScript)
		want   string
		// ran is how often the service ran the call.
		ran int
	}{
		{name: "answered", run: func(*exchangeScript) {}, want: endTrailer, ran: 1},
		{name: "committed and answered", offer: twoStep, run: func(x *exchangeScript) {
			x.await("ready")
			x.commit()
		}, want: endTrailer, ran: 1},
		{name: "no commit comes", offer: twoStep, commit: time.Millisecond, run: func(*exchangeScript) {}, want: "CANCELLED"},
		{name: "withdrawn instead of committed", offer: twoStep, run: func(x *exchangeScript) {
			x.await("ready")
			x.cancel()
		}, want: "CANCELLED"},
		{name: "withdrawn at once", offer: twoStep, run: func(x *exchangeScript) { x.cancel() }, want: "CANCELLED"},
		{name: "the entry is lost before the commit", offer: twoStep, run: func(x *exchangeScript) {
			x.await("ready")
			_ = x.stream.Close()
		}, want: ""},
		{name: "a commit of another request", offer: twoStep, run: func(x *exchangeScript) {
			x.await("ready")
			id := x.id
			x.id = "other"
			x.commit()
			x.id = id
		}, want: ""},
		{name: "committed and withdrawn", offer: twoStep, run: func(x *exchangeScript) {
			x.await("ready")
			x.commit()
			x.cancel()
		}, want: endTrailer, ran: 1},
		{name: "committed twice", offer: twoStep, run: func(x *exchangeScript) {
			x.await("ready")
			x.commit()
			x.commit()
		}, want: endTrailer, ran: 1},
		{name: "too late when it came", offer: func(o *wirepb.Offer) { o.TimeLeftMicros = -1 }, run: func(*exchangeScript) {}, want: "DEADLINE"},
		{name: "for a model", offer: func(o *wirepb.Offer) { o.Service, o.Model = "", "m@1" }, run: func(*exchangeScript) {}, want: "UNKNOWN_TARGET"},
		{name: "a body that needs no more frames gets one", run: func(x *exchangeScript) { x.chunk([]byte("more"), true) }, want: endTrailer, ran: 1},
		{name: "the body is cut", offer: upload(1000), run: func(x *exchangeScript) {
			x.await("ready")
			x.chunk([]byte("half"), false)
			x.cancel()
		}, want: "WITHDRAWN"},
		{name: "the body is cut while the answer comes", offer: func(o *wirepb.Offer) { upload(1000)(o); o.Path = "/echo" }, run: func(x *exchangeScript) {
			x.await("ready")
			x.chunk([]byte("half"), false)
			x.await("body")
			x.cancel()
		}, want: "WITHDRAWN unclear", ran: 1},
		{name: "the body of a committed call is cut", offer: func(o *wirepb.Offer) { upload(-1)(o); twoStep(o) }, run: func(x *exchangeScript) {
			x.await("ready")
			x.commit()
			x.chunk([]byte("half"), false)
			x.cancel()
		}, want: "WITHDRAWN"},
		{name: "the entry is lost within the body of a committed call", offer: func(o *wirepb.Offer) { upload(-1)(o); twoStep(o) }, run: func(x *exchangeScript) {
			x.await("ready")
			x.commit()
			x.chunk([]byte("half"), false)
			_ = x.stream.Close()
		}},
		{name: "the service breaks off before it runs", faults: service.Faults{CutBefore: chance}, run: func(*exchangeScript) {}, want: "ENDPOINT_BROKE unclear"},
		{name: "the service breaks off after it ran", faults: service.Faults{CutAfter: chance}, run: func(*exchangeScript) {}, want: "ENDPOINT_BROKE unclear", ran: 1},
		{name: "the service refuses: its answer is passed on", faults: service.Faults{Refuse: true}, run: func(*exchangeScript) {}, want: endTrailer},
		{name: "the deadline passes in the service", offer: func(o *wirepb.Offer) { o.TimeLeftMicros = 50_000 }, faults: service.Faults{HangBefore: chance},
			run: func(*exchangeScript) {}, want: "ENDPOINT_TIMEOUT unclear"},
		{name: "the deadline of a committed call passes in the service", offer: func(o *wirepb.Offer) { twoStep(o); o.TimeLeftMicros = 200_000 },
			faults: service.Faults{HangAfter: chance}, run: func(x *exchangeScript) {
				x.await("ready")
				x.commit()
			}, want: "ENDPOINT_TIMEOUT unclear", ran: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			standin := service.New(service.Options{})
			site := httptest.NewServer(standin.Handler())
			defer site.Close()
			a := startAgent(t, agentSettings{url: site.URL, options: Options{CommitTimeout: c.commit}})
			entry := dialAgent(t, a)
			standin.Faults().Update(func(f *service.Faults) { *f = c.faults })
			x := entry.offer("r-1", post(c.offer))
			c.run(x)
			if got := x.end(); !strings.HasPrefix(got, c.want) {
				t.Errorf("ended with %s, want %s", got, c.want)
			}
			standin.Faults().Update(func(f *service.Faults) { *f = service.Faults{} })
			next := entry.offer("r-2", post(func(o *wirepb.Offer) { o.Path = "/next?marker=next" }))
			if got := next.end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
			if got := standin.Truth().Executions - 1; got != c.ran {
				t.Errorf("ran %d times, want %d", got, c.ran)
			}
		})
	}
}

// A service without a connection to it certainly ran nothing.
func TestUnreachableServiceDidNotRun(t *testing.T) {
	up := atomic.Bool{}
	up.Store(true)
	caller := callerFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == endpoint.PathReport && up.Load() {
			return answer(http.StatusOK, http.NoBody), nil
		}
		return nil, endpoint.ErrUnreachable
	})
	a := startAgent(t, agentSettings{caller: caller})
	entry := dialAgent(t, a)
	if got := entry.offer("r", post(nil)).end(); got != "ENDPOINT_BROKE clean" {
		t.Errorf("ended with %s", got)
	}
	up.Store(false)
	eventually(t, "the agent takes calls for a service that is down", func() bool {
		return entry.offer("r", post(nil)).end() == "ENDPOINT_UNREACHABLE"
	})
}

// watchedService answers with size bytes after its first ones went out and the gate opened, and notes how its calls end.
type watchedService struct {
	size       int
	gate       chan struct{}
	begun      chan struct{}
	whole, cut atomic.Int32
}

func (s *watchedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == endpoint.PathReport {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write([]byte("begun "))
	_ = http.NewResponseController(w).Flush()
	s.begun <- struct{}{}
	select {
	case <-s.gate:
	case <-r.Context().Done():
		s.cut.Add(1)
		return
	}
	if _, err := io.CopyN(w, zeros{}, int64(s.size)); err != nil || r.Context().Err() != nil {
		s.cut.Add(1)
		return
	}
	s.whole.Add(1)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func newWatchedService(size int) *watchedService {
	return &watchedService{size: size, gate: make(chan struct{}), begun: make(chan struct{}, 16)}
}

// An entry dies while a slot confirmation runs at the service. The call was committed:
// cutting it would leave the service at whatever point it had reached and nobody could tell which. It must run to its end,
// however long its answer is, though nobody reads it.
func TestCommittedCallRunsToItsEnd(t *testing.T) {
	const long = 4 << 20
	cases := []struct {
		name string
		size int
		lose func(e *scriptedEntry, x *exchangeScript)
	}{
		{"the stream closes", 10, func(_ *scriptedEntry, x *exchangeScript) { _ = x.stream.Close() }},
		{"the stream closes, a long answer", long, func(_ *scriptedEntry, x *exchangeScript) { _ = x.stream.Close() }},
		{"the entry dies, a long answer", long, func(e *scriptedEntry, _ *exchangeScript) { _ = e.session.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newWatchedService(c.size)
			a := startAgent(t, agentSettings{url: newService(t, s.ServeHTTP)})
			entry := dialAgent(t, a)
			x := entry.offer("r-1", post(twoStep))
			x.await("ready")
			x.commit()
			<-s.begun
			c.lose(entry, x)
			close(s.gate)
			eventually(t, "the call does not end", func() bool { return s.whole.Load()+s.cut.Load() == 1 })
			if s.cut.Load() != 0 {
				t.Error("the call was cut")
			}
			if got := dialAgent(t, a).offer("r-2", post(nil)).end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
		})
	}
}

// A caller goes away in the middle of a call that may be repeated. Its work must stop at the endpoint and its place be free
// for the next caller at once.
func TestAbandonedCallFreesItsPlace(t *testing.T) {
	cases := []struct {
		name    string
		abandon func(e *scriptedEntry, x *exchangeScript)
	}{
		{"withdrawn", func(_ *scriptedEntry, x *exchangeScript) {
			x.cancel()
			x.await("WITHDRAWN unclear")
		}},
		{"the stream closes", func(_ *scriptedEntry, x *exchangeScript) { _ = x.stream.Close() }},
		{"the entry dies", func(e *scriptedEntry, _ *exchangeScript) { _ = e.session.Close() }},
		{"a frame of another request", func(_ *scriptedEntry, x *exchangeScript) { x.id = "other"; x.commit() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newWatchedService(10)
			a := startAgent(t, agentSettings{url: newService(t, s.ServeHTTP)})
			entry := dialAgent(t, a)
			x := entry.offer("r-1", post(nil))
			<-s.begun
			c.abandon(entry, x)
			next := dialAgent(t, a).offer("r-2", post(nil))
			within(t, s.begun, "the place is not free")
			// The agent's place is free as soon as it has closed its connection; the service sees that a moment later, and must
			// see it while it is still held at the gate: let through before, it would end the abandoned call whole.
			eventually(t, "the abandoned call is not cut", func() bool { return s.cut.Load() == 1 })
			close(s.gate)
			if got := next.end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
			if s.cut.Load() != 1 {
				t.Errorf("%d calls were cut", s.cut.Load())
			}
		})
	}
}

// endlessBody is an answer that never ends; it tells of each part that is read.
type endlessBody struct{ parts chan int }

func (b endlessBody) Read(p []byte) (int, error) {
	b.parts <- len(p)
	return len(p), nil
}

// A caller stops reading a long answer; its entry withdraws the request or closes its stream, and takes no more frames. The
// agent's answer waits for room that never comes: the place at the engine was held for the minute after which the session
// library gives such a stream up.
func TestUnreadAnswerFreesItsPlace(t *testing.T) {
	// windowParts are the parts that a stream takes without a reader; the next one waits.
	const windowParts = 256<<10/wire.ChunkBytes - 1
	cases := []struct {
		name    string
		abandon func(x *exchangeScript)
	}{
		{"withdrawn", func(x *exchangeScript) { x.cancel() }},
		{"the stream closes", func(x *exchangeScript) { _ = x.stream.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body := endlessBody{parts: make(chan int, 1024)}
			caller := callerFunc(func(r *http.Request) (*http.Response, error) {
				if r.URL.Path != "/endless" {
					return answer(http.StatusOK, http.NoBody), nil
				}
				return answer(http.StatusOK, body), nil
			})
			a := startAgent(t, agentSettings{caller: caller})
			entry := dialAgent(t, a)
			x := entry.offer("r-1", post(func(o *wirepb.Offer) { o.Path = "/endless" }))
			for range windowParts + 1 {
				within(t, body.parts, "the answer does not fill the window")
			}
			c.abandon(x)
			if got := entry.offer("r-2", post(nil)).end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
		})
	}
}

// A photograph of 8 MiB goes to a service that takes it slowly. The agent must slow the caller down, not keep the body.
func TestLargeBodyIsNotKept(t *testing.T) {
	const (
		size = 8 << 20
		// held is what may be on its way: the window of a stream, a frame here, one there, and one being read.
		held = 256<<10 + 4*wire.ChunkBytes
	)
	var sent atomic.Int64
	read := int64(0)
	worst := int64(0)
	sum := byte(0)
	caller := callerFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == endpoint.PathReport {
			return answer(http.StatusOK, http.NoBody), nil
		}
		buffer := make([]byte, 4<<10)
		for {
			n, err := r.Body.Read(buffer)
			read += int64(n)
			worst = max(worst, sent.Load()-read)
			for _, b := range buffer[:n] {
				sum += b
			}
			if err == io.EOF {
				return answer(http.StatusOK, strings.NewReader(fmt.Sprint(read))), nil
			}
			if err != nil {
				return nil, err
			}
			// The service is slower than the caller now and then, and lets it run ahead as far as it can.
			if read%(1<<20) < int64(n) {
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
	a := startAgent(t, agentSettings{caller: caller})
	x := dialAgent(t, a).offer("r", post(upload(size)))
	x.await("ready")
	data := bytes.Repeat([]byte{1}, wire.ChunkBytes)
	for n := 0; n < size; n += len(data) {
		x.chunk(data, n+len(data) == size)
		sent.Add(int64(len(data)))
	}
	if got := x.end(); got != endTrailer || string(x.body) != fmt.Sprint(size) || sum != 0 {
		t.Fatalf("ended with %s, %q, sum %d", got, x.body, sum)
	}
	if worst > held {
		t.Errorf("%d bytes were on their way, at most %d may be", worst, held)
	}
	if worst < 128<<10 {
		t.Errorf("only %d bytes were ever on their way: the bound was not tried", worst)
	}
}

// A body frame that nobody takes must not hold up the end of its exchange, whatever the peer sends: a reader that waits
// for room that never comes would be a goroutine lost for each such request.
func TestBodyReader(t *testing.T) {
	b := newBodyReader([]byte("first"), true)
	_ = b.Close()
	added := make(chan struct{})
	go func() {
		b.add([]byte("behind the end"), true)
		close(added)
	}()
	select {
	case <-added:
	case <-time.After(patience):
		t.Fatal("a frame behind the end waits for ever")
	}
	if got, err := io.ReadAll(b); err != nil || string(got) != "first" {
		t.Errorf("%q, %v", got, err)
	}
	cut := newBodyReader([]byte("half"), false)
	cut.fail(errWithdrawn)
	if got, err := io.ReadAll(cut); err != errWithdrawn || string(got) != "half" {
		t.Errorf("a cut body reads as %q, %v", got, err)
	}
}

// An engine that dies politely ends the stream of an answer as if it were whole; a service or an engine answers another
// request. Neither may reach the entry with a trailer, which says that the answer is whole and the request's own.
func TestWrongAnswers(t *testing.T) {
	// The agent takes the offer for a service that it has, and checks the answer as a model's.
	stream := func(o *wirepb.Offer) { o.Model, o.Stream = "m@1", true }
	events := func(parts ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
			for _, p := range parts {
				_, _ = io.WriteString(w, p)
			}
		}
	}
	cases := []struct {
		name   string
		offer  func(*wirepb.Offer)
		handle http.HandlerFunc
		echoes bool
		want   string
	}{
		{"a whole stream", stream, events("data: 1\n\n", "data: [DONE]\n\n"), false, endTrailer},
		{"a stream whose end is split", stream, events("data: 1\n\ndata: [DO", "NE]\n\n"), false, endTrailer},
		{"a stream without its end", stream, events("data: 1\n\n"), false, "WRONG_ANSWER unclear"},
		{"the end's words far before the end", stream, events("data: [DONE]\n\n", strings.Repeat("data: 1\n\n", 20)), false, "WRONG_ANSWER unclear"},
		{"an empty stream", stream, events(), false, "WRONG_ANSWER unclear"},
		{"a plain service's stream may end as it likes", nil, events("data: 1\n\n"), false, endTrailer},
		{"cut within its length", nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}, false, "ENDPOINT_BROKE unclear"},
		{"another request's answer", nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderRequestID, "other")
		}, true, "WRONG_ANSWER unclear"},
		{"an answer that does not say whose it is", nil, func(http.ResponseWriter, *http.Request) {}, true, "WRONG_ANSWER unclear"},
		{"the engine is busy", stream, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, false, "ENDPOINT_REFUSED clean"},
		{"the engine finds the request wrong", stream, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, false, endTrailer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := newService(t, c.handle)
			caller, err := endpoint.NewHTTPCaller(url, endpoint.CallerOptions{EchoesRequestID: c.echoes, FreshConnections: true})
			if err != nil {
				t.Fatal(err)
			}
			a := startAgent(t, agentSettings{caller: probed{caller}})
			if got := dialAgent(t, a).offer("r", post(c.offer)).end(); got != c.want {
				t.Errorf("ended with %s, want %s", got, c.want)
			}
		})
	}
}

// probed answers the probes of a service itself.
type probed struct{ endpoint.Caller }

func (p probed) Call(r *http.Request) (*http.Response, error) {
	if r.URL.Path == endpoint.PathReport {
		return answer(http.StatusOK, http.NoBody), nil
	}
	return p.Caller.Call(r)
}

// What is no offer must not hold a stream or be taken for one.
func TestNoOffer(t *testing.T) {
	a := startAgent(t, agentSettings{url: newService(t, func(http.ResponseWriter, *http.Request) {})})
	entry := dialAgent(t, a)
	cases := []struct {
		name  string
		kind  wirepb.StreamKind
		first *wirepb.ToAgent
	}{
		{"a commit first", wirepb.StreamKind_REQUEST, &wirepb.ToAgent{RequestId: "r", Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}}},
		{"an empty frame", wirepb.StreamKind_REQUEST, &wirepb.ToAgent{}},
		{"nothing", wirepb.StreamKind_REQUEST, nil},
		{"an unknown kind of stream", wirepb.StreamKind(9), &wirepb.ToAgent{RequestId: "r", Frame: &wirepb.ToAgent_Offer{Offer: post(nil)}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := &exchangeScript{t: t, stream: entry.open(c.kind)}
			if c.first != nil {
				if err := x.stream.Write(c.first); err != nil {
					t.Fatal(err)
				}
			}
			if got := x.end(); got != "" {
				t.Errorf("answered with %s", got)
			}
		})
	}
	if got := entry.offer("r", post(nil)).end(); got != endTrailer {
		t.Errorf("the next call ended with %s", got)
	}
}

// A call reaches the service as the caller made it: a path that begins with two slashes is no host's name, a body whose
// length is known is told with it, and the identifier is the request's own.
func TestServiceGetsTheCall(t *testing.T) {
	type call struct {
		uri, id, priority, token string
		length                   int64
	}
	calls := make(chan call, 1)
	a := startAgent(t, agentSettings{url: newService(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != endpoint.PathReport {
			h := r.Header
			calls <- call{r.RequestURI, h.Get(endpoint.HeaderRequestID), h.Get(endpoint.HeaderPriority), h.Get("X-Token"), r.ContentLength}
		}
	})})
	entry := dialAgent(t, a)
	cases := []struct {
		name   string
		change func(*wirepb.Offer)
		want   call
	}{
		{"path and query", func(o *wirepb.Offer) { o.Path = "/a%2Fb//c/?d=%20;e" }, call{uri: "/a%2Fb//c/?d=%20;e", length: 2}},
		{"two slashes", func(o *wirepb.Offer) { o.Path = "//other/a" }, call{uri: "//other/a", length: 2}},
		{"batch", func(o *wirepb.Offer) { o.Class = wirepb.Class_BATCH }, call{uri: "/notice?marker=m", length: 2, priority: "batch"}},
		{"no body", func(o *wirepb.Offer) { o.Body, o.BodyLength = nil, 0 }, call{uri: "/notice?marker=m"}},
		{"a length that is not known", func(o *wirepb.Offer) { o.BodyLength = -1 }, call{uri: "/notice?marker=m", length: -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			offer := post(c.change)
			offer.Headers = []*wirepb.Header{{Name: "X-Token", Value: "t"}, {Name: endpoint.HeaderRequestID, Value: "the caller's"}}
			if got := entry.offer("r", offer).end(); got != endTrailer {
				t.Fatalf("ended with %s", got)
			}
			c.want.id, c.want.token = "r", "t"
			if c.want.priority == "" {
				c.want.priority = "interactive"
			}
			if got := <-calls; got != c.want {
				t.Errorf("the service got %+v, want %+v", got, c.want)
			}
		})
	}
	if got := entry.offer("r", post(func(o *wirepb.Offer) { o.Path = "no path" })).end(); got != "BODY_BROKE clean" {
		t.Errorf("without a path: ended with %s", got)
	}
}

// A deadline bounds the first bytes of a streamed answer and the whole of any other.
func TestDeadlineOfAnswers(t *testing.T) {
	const left = 300 * time.Millisecond
	cases := []struct {
		name   string
		stream bool
		want   string
	}{{"streamed", true, endTrailer}, {"not streamed", false, "ENDPOINT_TIMEOUT unclear"}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newWatchedService(10)
			a := startAgent(t, agentSettings{url: newService(t, s.ServeHTTP)})
			entry := dialAgent(t, a)
			offered := time.Now()
			x := entry.offer("r", post(func(o *wirepb.Offer) { o.Stream, o.TimeLeftMicros = c.stream, left.Microseconds() }))
			x.await("body")
			time.Sleep(time.Until(offered.Add(left + 50*time.Millisecond)))
			close(s.gate)
			if got := x.end(); got != c.want {
				t.Errorf("ended with %s, want %s", got, c.want)
			}
		})
	}
}

// Requests are withdrawn in the moment in which their turn comes. A turn that comes to a request that has just been taken
// back would be lost to all later ones.
func TestTurnThatComesWithTheWithdrawal(t *testing.T) {
	a := startAgent(t, agentSettings{url: newService(t, func(http.ResponseWriter, *http.Request) {})})
	entry := dialAgent(t, a)
	for i := range 200 {
		first := entry.offer(fmt.Sprint("first-", i), post(twoStep))
		first.await("ready")
		second := entry.offer(fmt.Sprint("second-", i), post(twoStep))
		second.await("accepted")
		first.cancel()
		second.cancel()
		if got, also := first.end(), second.end(); got != "CANCELLED" || also != "CANCELLED" {
			t.Fatalf("ended with %s and %s", got, also)
		}
	}
	if got := entry.offer("last", post(nil)).end(); got != endTrailer {
		t.Errorf("the next call ended with %s", got)
	}
}

// Two entries, or one entry twice, offer requests with one identifier. Each exchange gets its own answer.
func TestOneIdentifierTwice(t *testing.T) {
	a := startAgent(t, agentSettings{options: Options{Capacity: 8}, url: newService(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	entry := dialAgent(t, a)
	var all []*exchangeScript
	for i := range 8 {
		x := entry.offer("same", post(func(o *wirepb.Offer) { twoStep(o); o.Body, o.BodyLength = []byte{byte('0' + i)}, 1 }))
		all = append(all, x)
	}
	for i, x := range all {
		x.await("ready")
		x.commit()
		if got := x.end(); got != endTrailer || string(x.body) != fmt.Sprint(i) {
			t.Errorf("%d: %s with %q", i, got, x.body)
		}
	}
}
