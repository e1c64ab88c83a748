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

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
	"balsamsail/internal/standin/service"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// A call to a plain service fails at one of its stages. The last frame from the agent must agree with what the service
// really ran, and the service's concurrency must be available again at once for the next call.
func TestExchangeEnds(t *testing.T) {
	chance := control.Chance{Next: 1}
	cases := []struct {
		name   string
		offer  func(*wirepb.Offer)
		faults service.Faults
		commit time.Duration
		run    func(x *entryExchange)
		want   string
		// ran is how often the service ran the call.
		ran int
	}{
		{name: "answered", run: func(*entryExchange) {}, want: endTrailer, ran: 1},
		{name: "committed and answered", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			x.commit()
		}, want: endTrailer, ran: 1},
		{name: "no commit arrives", offer: twoStep, commit: time.Millisecond, run: func(*entryExchange) {}, want: "CANCELLED"},
		{name: "withdrawn instead of committed", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			x.cancel()
		}, want: "CANCELLED"},
		{name: "withdrawn at once", offer: twoStep, run: func(x *entryExchange) { x.cancel() }, want: "CANCELLED"},
		{name: "the entry is lost before the commit", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			_ = x.stream.Close()
		}, want: ""},
		{name: "a commit of another request", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			id := x.id
			x.id = "other"
			x.commit()
			x.id = id
		}, want: ""},
		{name: "committed and withdrawn", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			x.commit()
			x.cancel()
		}, want: endTrailer, ran: 1},
		{name: "withdrawn unless started, before the commit", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			x.withdraw()
		}, want: "CANCELLED"},
		{name: "withdrawn unless started, after the commit", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			x.commit()
			x.withdraw()
		}, want: endTrailer, ran: 1},
		{name: "withdrawn unless started, while the answer is relayed", offer: func(o *wirepb.Offer) { upload(1000)(o); o.Path = "/echo" }, run: func(x *entryExchange) {
			x.await("ready")
			x.chunk([]byte("half"), false)
			x.await("body")
			x.withdraw()
			x.chunk(make([]byte, 996), true)
		}, want: endTrailer, ran: 1},
		{name: "committed twice", offer: twoStep, run: func(x *entryExchange) {
			x.await("ready")
			x.commit()
			x.commit()
		}, want: endTrailer, ran: 1},
		{name: "deadline passed on arrival", offer: func(o *wirepb.Offer) { o.TimeLeftMicros = -1 }, run: func(*entryExchange) {}, want: "DEADLINE"},
		{name: "for a model", offer: func(o *wirepb.Offer) { o.Service, o.Model = "", "m@1" }, run: func(*entryExchange) {}, want: "UNKNOWN_TARGET"},
		{name: "an extra frame after the complete body", run: func(x *entryExchange) { x.chunk([]byte("more"), true) }, want: endTrailer, ran: 1},
		{name: "the body is cut", offer: upload(1000), run: func(x *entryExchange) {
			x.await("ready")
			x.chunk([]byte("half"), false)
			x.cancel()
		}, want: "WITHDRAWN"},
		{name: "the body is cut while the answer is relayed", offer: func(o *wirepb.Offer) { upload(1000)(o); o.Path = "/echo" }, run: func(x *entryExchange) {
			x.await("ready")
			x.chunk([]byte("half"), false)
			x.await("body")
			x.cancel()
		}, want: "WITHDRAWN unclear", ran: 1},
		{name: "the body of a committed call is cut", offer: func(o *wirepb.Offer) { upload(-1)(o); twoStep(o) }, run: func(x *entryExchange) {
			x.await("ready")
			x.commit()
			x.chunk([]byte("half"), false)
			x.cancel()
		}, want: "WITHDRAWN"},
		{name: "the entry is lost within the body of a committed call", offer: func(o *wirepb.Offer) { upload(-1)(o); twoStep(o) }, run: func(x *entryExchange) {
			x.await("ready")
			x.commit()
			x.chunk([]byte("half"), false)
			_ = x.stream.Close()
		}},
		{name: "the service breaks off before it runs", faults: service.Faults{CutBefore: chance}, run: func(*entryExchange) {}, want: "ENDPOINT_BROKE unclear"},
		{name: "the service breaks off after it ran", faults: service.Faults{CutAfter: chance}, run: func(*entryExchange) {}, want: "ENDPOINT_BROKE unclear", ran: 1},
		{name: "the service refuses and its answer is relayed", faults: service.Faults{Refuse: true}, run: func(*entryExchange) {}, want: endTrailer},
		{name: "the deadline passes in the service", offer: func(o *wirepb.Offer) { o.TimeLeftMicros = 50_000 }, faults: service.Faults{HangBefore: chance},
			run: func(*entryExchange) {}, want: "ENDPOINT_TIMEOUT unclear"},
		{name: "the deadline of a committed call passes in the service", offer: func(o *wirepb.Offer) { twoStep(o); o.TimeLeftMicros = 200_000 },
			faults: service.Faults{HangAfter: chance}, run: func(x *entryExchange) {
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

// A call to a service that cannot be connected to certainly was not run.
func TestUnreachableServiceDidNotRun(t *testing.T) {
	up := atomic.Bool{}
	up.Store(true)
	caller := callerFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == endpoint.PathReport && up.Load() {
			return newResponse(http.StatusOK, http.NoBody), nil
		}
		return nil, endpoint.ErrUnreachable
	})
	a := startAgent(t, agentSettings{caller: caller})
	entry := dialAgent(t, a)
	if got := entry.offer("r", post(nil)).end(); got != "ENDPOINT_BROKE clean" {
		t.Errorf("ended with %s", got)
	}
	up.Store(false)
	eventually(t, "the agent accepts calls for a service that is down", func() bool {
		return entry.offer("r", post(nil)).end() == "ENDPOINT_UNREACHABLE"
	})
}

// gatedService sends the start of its answer, waits for the gate to open and sends size more bytes. It counts how its
// calls end.
type gatedService struct {
	size               int
	gate               chan struct{}
	begun              chan struct{}
	completed, aborted atomic.Int32
}

func (s *gatedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		s.aborted.Add(1)
		return
	}
	if _, err := io.CopyN(w, zeroReader{}, int64(s.size)); err != nil || r.Context().Err() != nil {
		s.aborted.Add(1)
		return
	}
	s.completed.Add(1)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func newGatedService(size int) *gatedService {
	return &gatedService{size: size, gate: make(chan struct{}), begun: make(chan struct{}, 16)}
}

// An entry disconnects while a committed call runs at the service. Aborting the call would leave it at an unknown
// point, so it must run to its end, however long its answer is, although nobody reads the answer.
func TestCommittedCallRunsToItsEnd(t *testing.T) {
	const long = 4 << 20
	cases := []struct {
		name string
		size int
		lose func(e *fakeEntry, x *entryExchange)
	}{
		{"the stream closes", 10, func(_ *fakeEntry, x *entryExchange) { _ = x.stream.Close() }},
		{"the stream closes, a long answer", long, func(_ *fakeEntry, x *entryExchange) { _ = x.stream.Close() }},
		{"the entry dies, a long answer", long, func(e *fakeEntry, _ *entryExchange) { _ = e.session.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newGatedService(c.size)
			a := startAgent(t, agentSettings{url: newService(t, s.ServeHTTP)})
			entry := dialAgent(t, a)
			x := entry.offer("r-1", post(twoStep))
			x.await("ready")
			x.commit()
			<-s.begun
			c.lose(entry, x)
			close(s.gate)
			eventually(t, "the call does not end", func() bool { return s.completed.Load()+s.aborted.Load() == 1 })
			if s.aborted.Load() != 0 {
				t.Error("the call was aborted")
			}
			if got := dialAgent(t, a).offer("r-2", post(nil)).end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
		})
	}
}

// The caller of a repeatable call disconnects. The call must be aborted at the endpoint, and its concurrency must be
// available at once for the next caller.
func TestAbandonedCallFreesItsPlace(t *testing.T) {
	cases := []struct {
		name    string
		abandon func(e *fakeEntry, x *entryExchange)
	}{
		{"withdrawn", func(_ *fakeEntry, x *entryExchange) {
			x.cancel()
			x.await("WITHDRAWN unclear")
		}},
		{"the stream closes", func(_ *fakeEntry, x *entryExchange) { _ = x.stream.Close() }},
		{"the entry dies", func(e *fakeEntry, _ *entryExchange) { _ = e.session.Close() }},
		{"a frame of another request", func(_ *fakeEntry, x *entryExchange) { x.id = "other"; x.commit() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newGatedService(10)
			a := startAgent(t, agentSettings{url: newService(t, s.ServeHTTP)})
			entry := dialAgent(t, a)
			x := entry.offer("r-1", post(nil))
			<-s.begun
			c.abandon(entry, x)
			next := dialAgent(t, a).offer("r-2", post(nil))
			receive(t, s.begun, "the next call does not start")
			// The agent frees the concurrency as soon as it has closed its connection. The service notices that
			// slightly later and must do so while it still waits at the gate, otherwise it would complete the abandoned
			// call.
			eventually(t, "the abandoned call is not aborted", func() bool { return s.aborted.Load() == 1 })
			close(s.gate)
			if got := next.end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
			if s.aborted.Load() != 1 {
				t.Errorf("%d calls were aborted, want 1", s.aborted.Load())
			}
		})
	}
}

// endlessBody is an answer that never ends; it reports each read.
type endlessBody struct{ parts chan int }

func (b endlessBody) Read(p []byte) (int, error) {
	b.parts <- len(p)
	return len(p), nil
}

// A caller stops reading a long answer, and its entry withdraws the request or closes its stream and reads no more
// frames. The agent's write blocks on the full flow-control window. It must be unblocked; otherwise the concurrency at
// the engine is held for a minute, until the session library closes the stream.
func TestUnreadAnswerFreesItsPlace(t *testing.T) {
	// windowParts is how many parts a stream accepts without a reader; the next write blocks.
	const windowParts = 256<<10/wire.ChunkBytes - 1
	cases := []struct {
		name    string
		abandon func(x *entryExchange)
	}{
		{"withdrawn", func(x *entryExchange) { x.cancel() }},
		{"the stream closes", func(x *entryExchange) { _ = x.stream.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body := endlessBody{parts: make(chan int, 1024)}
			caller := callerFunc(func(r *http.Request) (*http.Response, error) {
				if r.URL.Path != "/endless" {
					return newResponse(http.StatusOK, http.NoBody), nil
				}
				return newResponse(http.StatusOK, body), nil
			})
			a := startAgent(t, agentSettings{caller: caller})
			entry := dialAgent(t, a)
			x := entry.offer("r-1", post(func(o *wirepb.Offer) { o.Path = "/endless" }))
			for range windowParts + 1 {
				receive(t, body.parts, "the answer does not fill the flow-control window")
			}
			c.abandon(x)
			if got := entry.offer("r-2", post(nil)).end(); got != endTrailer {
				t.Errorf("the next call ended with %s", got)
			}
		})
	}
}

// A body of 8 MiB goes to a service that reads slowly. The agent must apply backpressure to the caller instead of
// buffering the body.
func TestLargeBodyIsNotKept(t *testing.T) {
	const (
		size = 8 << 20
		// maxInTransit is the most that may be in transit: the window of a stream, a frame at either end, and one being
		// read.
		maxInTransit = 256<<10 + 4*wire.ChunkBytes
	)
	var sent atomic.Int64
	read := int64(0)
	worst := int64(0)
	sum := byte(0)
	caller := callerFunc(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path == endpoint.PathReport {
			return newResponse(http.StatusOK, http.NoBody), nil
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
				return newResponse(http.StatusOK, strings.NewReader(fmt.Sprint(read))), nil
			}
			if err != nil {
				return nil, err
			}
			// The service pauses now and then, so that the caller gets ahead as far as it can.
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
	if worst > maxInTransit {
		t.Errorf("%d bytes were in transit, want at most %d", worst, maxInTransit)
	}
	if worst < 128<<10 {
		t.Errorf("at most %d bytes were in transit: the limit was not exercised", worst)
	}
}

// A body frame that is never read must not block the end of its exchange, whatever the peer sends: a frame reader that
// waits forever for space would leak a goroutine for each such request.
func TestBodyReader(t *testing.T) {
	b := newBodyReader([]byte("first"), true)
	_ = b.Close()
	added := make(chan struct{})
	go func() {
		b.add([]byte("after the end"), true)
		close(added)
	}()
	select {
	case <-added:
	case <-time.After(testTimeout):
		t.Fatal("adding a frame after the end of the body blocks")
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

// An engine that shuts down gracefully may end a streamed answer early without an error, and a service or an engine may
// answer another request. Neither may be followed by a trailer, which confirms that the answer is complete and belongs
// to the request.
func TestWrongAnswers(t *testing.T) {
	// The offer has the agent's service and a model as targets, so that the answer is checked as a model's.
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
		{"the end marker far before the end", stream, events("data: [DONE]\n\n", strings.Repeat("data: 1\n\n", 20)), false, "WRONG_ANSWER unclear"},
		{"an empty stream", stream, events(), false, "WRONG_ANSWER unclear"},
		{"a plain service's stream without an end marker", nil, events("data: 1\n\n"), false, endTrailer},
		{"a stream that ends inside its last event", stream, events("data: 1\n\n", "data: [DONE]\n"), false, "WRONG_ANSWER unclear"},
		{"a plain service's stream that ends inside an event", nil, events("data: 1\n\n", "data: 2"), false, "WRONG_ANSWER unclear"},
		{"a plain service's stream that ends before the blank line", nil, events("data: 1\n\n", "data: 2\n"), false, "WRONG_ANSWER unclear"},
		{"a plain service's stream with other line ends", nil, events("data: 1\r\n\r\n"), false, endTrailer},
		{"a plain service's stream without events", nil, events(), false, endTrailer},
		{"cut within its length", nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}, false, "ENDPOINT_BROKE unclear"},
		{"another request's answer", nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderRequestID, "other")
		}, true, "WRONG_ANSWER unclear"},
		{"an answer without a request identifier", nil, func(http.ResponseWriter, *http.Request) {}, true, "WRONG_ANSWER unclear"},
		{"the engine is busy", stream, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, false, "ENDPOINT_REFUSED clean"},
		{"the engine rejects the request as invalid", stream, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }, false, endTrailer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := newService(t, c.handle)
			caller, err := endpoint.NewHTTPCaller(url, endpoint.CallerOptions{EchoesRequestID: c.echoes, FreshConnections: true})
			if err != nil {
				t.Fatal(err)
			}
			a := startAgent(t, agentSettings{caller: probeAnswerer{caller}})
			if got := dialAgent(t, a).offer("r", post(c.offer)).end(); got != c.want {
				t.Errorf("ended with %s, want %s", got, c.want)
			}
		})
	}
}

// probeAnswerer answers the health checks of a service itself.
type probeAnswerer struct{ endpoint.Caller }

func (p probeAnswerer) Call(r *http.Request) (*http.Response, error) {
	if r.URL.Path == endpoint.PathReport {
		return newResponse(http.StatusOK, http.NoBody), nil
	}
	return p.Caller.Call(r)
}

// A stream that does not start with an offer must be closed and not be handled as a request.
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
			x := &entryExchange{t: t, stream: entry.open(c.kind)}
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

// A call must reach the service unchanged: a path that begins with two slashes is not taken as a host name, a known
// body length is sent as the content length, and the request identifier is the offer's.
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

// The deadline applies to the first bytes of a streamed answer and to the end of any other.
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
			s := newGatedService(10)
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

// Requests are withdrawn at the moment they start. If a request that starts while it is being withdrawn did not free
// its concurrency, that would be lost to all later requests.
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

// Guards against starting a request whose withdrawal has arrived: its caller could not be told that it did not run.
func TestArrivedWithdrawalGoesBeforeTheTurn(t *testing.T) {
	var calls atomic.Int32
	a := startAgent(t, agentSettings{url: newService(t, func(_ http.ResponseWriter, r *http.Request) {
		// The agent's probes are no calls.
		if r.Method == http.MethodPost {
			calls.Add(1)
		}
	})})
	entry := dialAgent(t, a)
	for i := range 50 {
		offer := &wirepb.ToAgent{RequestId: fmt.Sprint("request-", i), Frame: &wirepb.ToAgent_Offer{Offer: post(nil)}}
		// What the exchange replies goes nowhere.
		stream := entry.open(wirepb.StreamKind_REQUEST)
		_ = stream.Close()
		x := a.newExchange(stream, offer)
		x.pending = newPendingRequest(admission.Request{ID: x.key, Target: x.target})
		x.pending.deliver(decision{})
		done := make(chan struct{})
		go x.postEvent(done, atmostonce.GotWithdrawal)
		time.Sleep(time.Millisecond)
		x.runEvents()
		close(done)
	}
	if n := calls.Load(); n > 0 {
		t.Errorf("%d of 50 withdrawn requests ran", n)
	}
}

// Two entries, or one entry twice, offer requests with the same identifier. Each exchange must get its own answer.
func TestOneIdentifierTwice(t *testing.T) {
	a := startAgent(t, agentSettings{options: Options{Capacity: 8}, url: newService(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})})
	entry := dialAgent(t, a)
	var all []*entryExchange
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
