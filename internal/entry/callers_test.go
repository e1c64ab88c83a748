package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/process"
	"balsamsail/internal/wire/wirepb"
)

// inFlight is how many requests hold a place at the entry.
func (s *site) inFlight() int {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.entry.limiter.InFlight()
}

// What a caller asks for reaches the endpoint as it was asked, and nothing of what concerns this system or one connection
// only does.
func TestOfferOfACall(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].answers(func(x *exchangeStream) { x.whole("") })
	cases := []struct {
		name string
		call call
		want func(o *wirepb.Offer) bool
	}{
		{"path and query", call{path: "/ledger/a%2Fb//c?d=%20"}, func(o *wirepb.Offer) bool { return o.Path == "/a%2Fb//c?d=%20" }},
		{"two slashes", call{path: "/ledger//n"}, func(o *wirepb.Offer) bool { return o.Path == "//n" }},
		{"an escaped prefix", call{path: "/led%67er/n%20m"}, func(o *wirepb.Offer) bool { return o.Path == "/n%20m" }},
		{"a call that may be repeated", call{method: "PUT"}, func(o *wirepb.Offer) bool { return !o.TwoStep && o.Method == "PUT" }},
		{"one that may not", call{method: post}, func(o *wirepb.Offer) bool { return o.TwoStep }},
		{"any method", call{method: "PROPFIND"}, func(o *wirepb.Offer) bool { return o.TwoStep && o.Method == "PROPFIND" }},
		{"a body", call{method: post, body: "notice"}, func(o *wirepb.Offer) bool { return string(o.Body) == "notice" && o.BodyLength == 6 && o.BodyDone }},
		{"no body", call{}, func(o *wirepb.Offer) bool { return len(o.Body) == 0 && o.BodyLength == 0 && o.BodyDone }},
		{"the declared deadline", call{}, func(o *wirepb.Offer) bool { return leftOf(o) > 4*time.Second && leftOf(o) <= 5*time.Second }},
		{"its own deadline", call{header: http.Header{headerDeadline: {"60000"}}}, func(o *wirepb.Offer) bool { return leftOf(o) > 50*time.Second && leftOf(o) <= time.Minute }},
		{"interactive", call{}, func(o *wirepb.Offer) bool { return o.Class == wirepb.Class_INTERACTIVE }},
		{"batch", call{header: http.Header{headerClass: {"batch"}}}, func(o *wirepb.Offer) bool { return o.Class == wirepb.Class_BATCH }},
		{"header fields", call{header: http.Header{"X-Token": {"a", "b"}, "Te": {"x"}, headerRequestID: {"mine"}, headerDeadline: {"1000"}, "Connection": {"X-Drop"}}}, func(o *wirepb.Offer) bool {
			var kept []string
			for _, h := range o.Headers {
				kept = append(kept, h.Name)
			}
			text := strings.Join(kept, " ")
			return strings.Count(text, "X-Token") == 2 && !strings.Contains(text, "Te ") && !strings.Contains(text, headerRequestID) && !strings.Contains(text, headerDeadline)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := s.send(t.Context(), c.call); got.status != http.StatusOK {
				t.Fatalf("got %s", got.text())
			}
			offers := s.agents[0].offered()
			if o := offers[len(offers)-1]; !c.want(o) {
				t.Errorf("offered %v", o)
			}
		})
	}
}

func leftOf(o *wirepb.Offer) time.Duration { return time.Duration(o.TimeLeftMicros) * time.Microsecond }

// What can't be served is refused as not run before it reaches an endpoint.
func TestRefusedAtTheEntry(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	chat := func(body string) call { return call{method: post, path: pathChat, body: body} }
	cases := []struct {
		name string
		call call
		want string
	}{
		{"no service", call{path: "/nowhere"}, "404 not_found not_run"},
		{"a deadline that is no number", call{header: http.Header{headerDeadline: {"soon"}}}, "400 bad_request not_run"},
		{"a deadline that has passed", call{header: http.Header{headerDeadline: {"0"}}}, "400 bad_request not_run"},
		{"a deadline beyond all bounds", call{header: http.Header{headerDeadline: {"3600001"}}}, "400 bad_request not_run"},
		{"an unknown class", call{header: http.Header{headerClass: {"urgent"}}}, "400 bad_request not_run"},
		{"a chat that is none", chat("{"), "400 bad_request not_run"},
		{"a chat without a model", chat("{}"), "400 bad_request not_run"},
		{"a model that is not declared", chat(`{"model":"nobody"}`), "404 model_not_found not_run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := s.send(t.Context(), c.call)
			if got.text() != c.want {
				t.Errorf("got %s, want %s", got.text(), c.want)
			}
			checkReply(t, got)
		})
	}
	if n := len(s.agents[0].offered()); n != 0 {
		t.Errorf("%d offers", n)
	}
}

// More requests come than the entry may have in flight. Those beyond are refused at once, with a time to come back; batch
// requests leave the interactive ones their part, and a place is free again after each request however it ended.
func TestOverload(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1, change: func(o *Options) { o.Limiter = admission.LimiterOptions{MaxInFlight: 2, MaxBatch: 1} }})
	end := make(chan struct{})
	s.agents[0].answers(func(x *exchangeStream) {
		<-end
		x.whole("answer")
	})
	batch := call{header: http.Header{headerClass: {"batch"}}}
	first := s.sending(t.Context(), batch)
	eventually(t, "not in flight", func() bool { return s.inFlight() == 1 })
	if got := s.send(t.Context(), batch); got.text() != "429 overloaded not_run" {
		t.Errorf("a second batch request: %s", got.text())
	}
	ctx, leave := context.WithCancel(t.Context())
	second := s.sending(ctx, call{})
	eventually(t, "not in flight", func() bool { return s.inFlight() == 2 })
	got := s.send(t.Context(), call{})
	if got.text() != "429 overloaded not_run" {
		t.Errorf("a third request: %s", got.text())
	}
	checkReply(t, got)
	leave()
	within(t, second, "the caller waits on")
	eventually(t, "the place of a caller that left is held", func() bool { return s.inFlight() == 1 })
	close(end)
	within(t, first, "no answer")
	if got := s.send(t.Context(), batch); got.text() != "200 answer" {
		t.Errorf("afterwards: %s", got.text())
	}
}

// A caller goes away at one of the stages of its request. The endpoint must be told, unless the call was committed and may
// run only once; nothing of the request may stay behind, and no other endpoint may begin it.
func TestCallerLeaves(t *testing.T) {
	cases := []struct {
		name, method string
		before       func(x *exchangeStream)
		// cancelled is set when the agent must hear that the request is withdrawn.
		cancelled bool
	}{
		{"in the queue", get, (*exchangeStream).accepted, true},
		{"before it was accepted", get, func(*exchangeStream) {}, true},
		{"while it runs", get, func(x *exchangeStream) { x.accepted(); x.ready() }, true},
		{"after the head", get, func(x *exchangeStream) { x.head(200) }, true},
		{"within a streamed answer", get, func(x *exchangeStream) { x.head(200, eventStream); x.body("data") }, true},
		{"two steps, in the queue", post, (*exchangeStream).accepted, true},
		{"two steps, after the commit", post, func(x *exchangeStream) { x.committed() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 2})
			there, told := make(chan struct{}, 2), make(chan *wirepb.ToAgent, 2)
			for _, a := range s.agents {
				a.answers(func(x *exchangeStream) {
					c.before(x)
					there <- struct{}{}
					frame := x.next()
					if frame.GetCommit() != nil {
						frame = x.next()
					}
					told <- frame
					x.failed(false)
				})
			}
			ctx, leave := context.WithCancel(t.Context())
			got := s.sending(ctx, call{method: c.method})
			within(t, there, "no offer")
			leave()
			within(t, got, "the caller waits on")
			eventually(t, "a place is held", func() bool { return s.inFlight() == 0 })
			if c.cancelled {
				if frame := within(t, told, "the agent hears nothing"); frame.GetCancel() == nil {
					t.Errorf("the agent got %v", frame)
				}
			} else {
				select {
				case frame := <-told:
					t.Errorf("the agent got %v", frame)
				case <-time.After(50 * time.Millisecond):
				}
			}
			if n := len(s.agents[0].offered()) + len(s.agents[1].offered()); n != 1 {
				t.Errorf("%d offers", n)
			}
		})
	}
}

// A caller stops reading a long answer. Its request ends after the stall limit in place of holding the endpoint's place for
// the longest time of an answer; a caller that reads on gets the rest of its answer, however late.
func TestSlowReader(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	const parts = 2000
	s.agents[0].answers(func(x *exchangeStream) {
		x.head(200, eventStream)
		for range parts {
			x.body(strings.Repeat("x", 10<<10))
		}
		x.trailer()
	})
	conn := s.raw("GET /ledger/n" + lengthHeader(0))
	eventually(t, "not in flight", func() bool { return s.inFlight() == 1 })
	time.Sleep(50 * time.Millisecond)
	if s.inFlight() != 1 {
		t.Error("a slow caller was cut at once")
	}
	// The other callers' answers do not wait for it.
	s.agents[0].answers(func(x *exchangeStream) { x.whole("beside") })
	if got := s.send(t.Context(), call{}); got.text() != "200 beside" {
		t.Errorf("beside: %s", got.text())
	}
	if got := rawReply(t, conn); got.cut || len(got.body) != parts*(10<<10) {
		t.Errorf("cut %v, %d bytes", got.cut, len(got.body))
	}
}

// An entry is stopped by plan. Its readiness fails first, while it still takes requests; what is in flight is finished.
func TestEntryDrains(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	end := make(chan struct{})
	s.agents[0].answers(func(x *exchangeStream) {
		x.head(200, eventStream)
		x.body("begun ")
		<-end
		x.body("ended")
		x.trailer()
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- process.Serve(ctx, listener, s.entry.Handler(), process.ServeOptions{
			LameDuck: 300 * time.Millisecond, DrainTimeout: patience, OnStop: s.entry.StartDrain,
		})
	}()
	ask := func(body string) <-chan reply {
		got := make(chan reply, 1)
		go func() {
			response, err := http.Post("http://"+listener.Addr().String()+"/ledger/n", "text/plain", strings.NewReader(body))
			if err != nil {
				got <- reply{cut: true}
				return
			}
			got <- readReply(response)
		}()
		return got
	}
	defer http.DefaultClient.CloseIdleConnections()
	first := ask("first")
	eventually(t, "not in flight", func() bool { return s.inFlight() == 1 })
	stop()
	eventually(t, "its readiness does not fail", func() bool { return len(s.entry.Ready()) > 0 })
	second := ask("second")
	eventually(t, "a request in the lame-duck time is not taken", func() bool { return s.inFlight() == 2 })
	select {
	case err := <-ended:
		t.Fatalf("ended with requests in flight: %v", err)
	case <-time.After(400 * time.Millisecond):
	}
	close(end)
	for i, got := range []<-chan reply{first, second} {
		if r := within(t, got, "no answer"); r.text() != "200 begun ended" {
			t.Errorf("request %d: %s", i, r.text())
		}
	}
	if err := within(t, ended, "the entry does not end"); err != nil {
		t.Error(err)
	}
}

// chatSite has two engines that both may hold the model "narrator".
func chatSite(t *testing.T) *site {
	t.Helper()
	model := &pb.Model{Name: "narrator", Versions: []string{"1"}, DefaultVersion: "1", EngineSelector: "kind=engine", MemoryBytes: 40,
		KvFloorBytes: 1, MinReplicas: 2, MaxReplicas: 2, MaxConcurrency: 8, LoadMillis: 10}
	s := newSite(t, siteOptions{agents: 2, kind: kindEngine, objects: []*pb.Object{declarations.ModelObject(model)}})
	eventually(t, "the model has no slots", func() bool {
		list := s.entry.candidates(admission.Target{Model: "narrator@1"})
		return len(list) == 2 && list[0].Reachable && list[1].Reachable
	})
	return s
}

// An inspector's photograph goes along with a chat, and the engine that got it breaks, or is busy. The entry holds the
// whole body and must ask the other engine; it took the body for one that can be sent once only, as a streamed one is.
func TestLargeChatIsTriedAgain(t *testing.T) {
	const size = 1 << 20
	chat := call{method: post, path: pathChat, body: fmt.Sprintf(`{"model":"narrator","photo":%q}`, strings.Repeat("x", size))}
	cases := []struct {
		name  string
		first func(x *exchangeStream)
	}{
		{"broken after the upload", func(x *exchangeStream) { x.ready(); x.upload() }},
		{"broken within the upload", func(x *exchangeStream) { x.ready(); x.next() }},
		{"busy", func(x *exchangeStream) {
			x.ready()
			x.upload()
			f := &wirepb.Failed{Reason: wirepb.FailureReason_ENDPOINT_REFUSED}
			x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Failed{Failed: f}})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := chatSite(t)
			turn := make(chan struct{}, 1)
			turn <- struct{}{}
			for _, a := range s.agents {
				a.answers(func(x *exchangeStream) {
					select {
					case <-turn:
						c.first(x)
						return
					default:
					}
					x.ready()
					body, whole := x.upload()
					x.head(200)
					x.body(fmt.Sprint(whole, " ", strings.Count(body, "x") >= size, " ", strings.Contains(body, `"model":"narrator@1"`)))
					x.trailer()
				})
			}
			if got := s.send(t.Context(), chat); got.text() != "200 true true true" {
				t.Errorf("got %s", got.text())
			}
		})
	}
}

// A streamed chat passes on each part as it comes, goes on past the deadline that its first part met, and ends cleanly only
// with its trailer.
func TestStreamedChat(t *testing.T) {
	s := chatSite(t)
	proceed := make(chan struct{})
	for _, a := range s.agents {
		a.answers(func(x *exchangeStream) {
			if !x.offer.Stream || x.offer.Model != "narrator@1" {
				return
			}
			x.head(200, eventStream)
			x.body("data: 1\n\n")
			<-proceed
			x.body("data: [DONE]\n\n")
			x.trailer()
		})
	}
	const left = 300 * time.Millisecond
	began := time.Now()
	request, err := http.NewRequestWithContext(t.Context(), post, s.callers.URL+pathChat, strings.NewReader(`{"model":"narrator","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerDeadline, fmt.Sprint(left.Milliseconds()))
	response, err := s.callers.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	part := make([]byte, len("data: 1\n\n"))
	if _, err := io.ReadFull(response.Body, part); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(began.Add(left + 50*time.Millisecond)))
	close(proceed)
	rest, err := io.ReadAll(response.Body)
	if err != nil || string(part)+string(rest) != "data: 1\n\ndata: [DONE]\n\n" {
		t.Errorf("%q, then %q, %v", part, rest, err)
	}
}

// A host is listed as leaving between its agent's connection and its first report. The agent was told that it is live, the
// list's change found it not connected yet, and the list does not change again: it must be told with its report.
func TestLeavingIsToldWithTheReport(t *testing.T) {
	agent := newScriptedAgent(t)
	e, server := startEntryAt(t, agent.address)
	control := <-agent.stream
	first := &wirepb.ControlDown{}
	if err := control.Read(first); err != nil || first.HostState != wirepb.HostState_LIVE {
		t.Fatalf("%v, %v", first, err)
	}
	server.PutHost(backing.Host{ID: "host-1", Role: backing.RoleEndpoint, State: backing.HostLeaving, Address: agent.address, Endpoint: "engine-1"})
	eventually(t, "the list is not read", func() bool {
		ep := e.members.Endpoint("engine-1")
		return ep != nil && ep.Leaving
	})
	if err := control.Write(&wirepb.ControlUp{Status: &wirepb.Status{Full: true, Kind: kindEngine, Ready: true}}); err != nil {
		t.Fatal(err)
	}
	until(t, control, func(down *wirepb.ControlDown) bool { return down.HostState == wirepb.HostState_HOST_LEAVING })
}
