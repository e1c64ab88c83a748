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

// inFlight returns how many requests are in flight at the entry.
func (s *site) inFlight() int {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.entry.limiter.InFlight()
}

// A call reaches the endpoint unchanged, without the header fields that are reserved or apply to a single connection.
func TestOfferOfACall(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	s.agents[0].setScript(func(x *fakeStream) { x.respond("") })
	cases := []struct {
		name string
		call call
		want func(o *wirepb.Offer) bool
	}{
		{"path and query", call{path: "/ledger/a%2Fb//c?d=%20"}, func(o *wirepb.Offer) bool { return o.Path == "/a%2Fb//c?d=%20" }},
		{"two slashes", call{path: "/ledger//n"}, func(o *wirepb.Offer) bool { return o.Path == "//n" }},
		{"an escaped prefix", call{path: "/led%67er/n%20m"}, func(o *wirepb.Offer) bool { return o.Path == "/n%20m" }},
		{"an idempotent call", call{method: "PUT"}, func(o *wirepb.Offer) bool { return !o.TwoStep && o.Method == "PUT" }},
		{"a call that is not idempotent", call{method: post}, func(o *wirepb.Offer) bool { return o.TwoStep }},
		{"any method", call{method: "PROPFIND"}, func(o *wirepb.Offer) bool { return o.TwoStep && o.Method == "PROPFIND" }},
		{"a body", call{method: post, body: "notice"}, func(o *wirepb.Offer) bool { return string(o.Body) == "notice" && o.BodyLength == 6 && o.BodyDone }},
		{"no body", call{}, func(o *wirepb.Offer) bool { return len(o.Body) == 0 && o.BodyLength == 0 && o.BodyDone }},
		{"the declared deadline", call{}, func(o *wirepb.Offer) bool { return leftOf(o) > 4*time.Second && leftOf(o) <= 5*time.Second }},
		{"its own deadline", call{header: http.Header{headerDeadline: {"60000"}}}, func(o *wirepb.Offer) bool { return leftOf(o) > 50*time.Second && leftOf(o) <= time.Minute }},
		{"interactive", call{}, func(o *wirepb.Offer) bool { return o.Class == wirepb.Class_INTERACTIVE }},
		{"batch", call{header: http.Header{headerClass: {"batch"}}}, func(o *wirepb.Offer) bool { return o.Class == wirepb.Class_BATCH }},
		{"header fields", call{header: http.Header{"X-Token": {"a", "b"}, "Te": {"x"}, headerRequestID: {"mine"}, headerDeadline: {"1000"}, "Connection": {"X-Drop"}}}, func(o *wirepb.Offer) bool {
			var names []string
			for _, h := range o.Headers {
				names = append(names, h.Name)
			}
			text := strings.Join(names, " ")
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

// Requests that cannot be served are refused as not run before they reach an endpoint.
func TestRefusedAtTheEntry(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	chat := func(body string) call { return call{method: post, path: pathChat, body: body} }
	cases := []struct {
		name string
		call call
		want string
	}{
		{"no service", call{path: "/nowhere"}, "404 not_found not_run"},
		{"a deadline that is not a number", call{header: http.Header{headerDeadline: {"soon"}}}, "400 bad_request not_run"},
		{"a deadline that has passed", call{header: http.Header{headerDeadline: {"0"}}}, "400 bad_request not_run"},
		{"a deadline over the maximum", call{header: http.Header{headerDeadline: {"3600001"}}}, "400 bad_request not_run"},
		{"an unknown class", call{header: http.Header{headerClass: {"urgent"}}}, "400 bad_request not_run"},
		{"an invalid chat", chat("{"), "400 bad_request not_run"},
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

// More requests arrive than the entry may have in flight. The excess is refused at once with Retry-After, batch
// requests leave room for interactive ones, and each request frees its place however it ends.
func TestOverload(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1, configure: func(o *Options) { o.Limiter = admission.LimiterOptions{MaxInFlight: 2, MaxBatch: 1} }})
	end := make(chan struct{})
	s.agents[0].setScript(func(x *fakeStream) {
		<-end
		x.respond("answer")
	})
	batch := call{header: http.Header{headerClass: {"batch"}}}
	first := s.sending(t.Context(), batch)
	eventually(t, "the request is not in flight", func() bool { return s.inFlight() == 1 })
	if got := s.send(t.Context(), batch); got.text() != "429 overloaded not_run" {
		t.Errorf("a second batch request: %s", got.text())
	}
	ctx, leave := context.WithCancel(t.Context())
	second := s.sending(ctx, call{})
	eventually(t, "the request is not in flight", func() bool { return s.inFlight() == 2 })
	got := s.send(t.Context(), call{})
	if got.text() != "429 overloaded not_run" {
		t.Errorf("a third request: %s", got.text())
	}
	checkReply(t, got)
	leave()
	receive(t, second, "the caller's request did not end")
	eventually(t, "the request of a disconnected caller is still in flight", func() bool { return s.inFlight() == 1 })
	close(end)
	receive(t, first, "no response")
	if got := s.send(t.Context(), batch); got.text() != "200 answer" {
		t.Errorf("afterwards: %s", got.text())
	}
}

// A caller disconnects at one of the stages of its request. The endpoint must get a cancel, unless the call was
// committed and may run only once. The request must leave no state behind and must not be offered to another endpoint.
func TestCallerLeaves(t *testing.T) {
	cases := []struct {
		name, method string
		before       func(x *fakeStream)
		// cancelled is set when the agent must receive a cancel.
		cancelled bool
	}{
		{"in the queue", get, (*fakeStream).accepted, true},
		{"before it was accepted", get, func(*fakeStream) {}, true},
		{"while it runs", get, func(x *fakeStream) { x.accepted(); x.ready() }, true},
		{"after the head", get, func(x *fakeStream) { x.head(200) }, true},
		{"within a streamed response", get, func(x *fakeStream) { x.head(200, eventStream); x.body("data") }, true},
		{"two-step, in the queue", post, (*fakeStream).accepted, true},
		{"two-step, after the commit", post, func(x *fakeStream) { x.committed() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, siteOptions{agents: 2})
			offered, received := make(chan struct{}, 2), make(chan *wirepb.ToAgent, 2)
			for _, a := range s.agents {
				a.setScript(func(x *fakeStream) {
					c.before(x)
					offered <- struct{}{}
					frame := x.next()
					if frame.GetCommit() != nil {
						frame = x.next()
					}
					received <- frame
					x.failed(false)
				})
			}
			ctx, leave := context.WithCancel(t.Context())
			got := s.sending(ctx, call{method: c.method})
			receive(t, offered, "no offer")
			leave()
			receive(t, got, "the caller's request did not end")
			eventually(t, "the request is still in flight", func() bool { return s.inFlight() == 0 })
			if c.cancelled {
				if frame := receive(t, received, "the agent got no frame"); frame.GetCancel() == nil {
					t.Errorf("the agent got %v", frame)
				}
			} else {
				select {
				case frame := <-received:
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

// A caller reads a long response slowly. A caller that stops reading is disconnected after stallTimeout, so that it
// does not hold its place at the endpoint for up to MaxResponseDuration; one that reads on must get the complete
// response, however late, and other callers must not be delayed.
func TestSlowReader(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	const parts = 2000
	s.agents[0].setScript(func(x *fakeStream) {
		x.head(200, eventStream)
		for range parts {
			x.body(strings.Repeat("x", 10<<10))
		}
		x.trailer()
	})
	conn := s.raw("GET /ledger/n" + lengthHeader(0))
	eventually(t, "the request is not in flight", func() bool { return s.inFlight() == 1 })
	time.Sleep(50 * time.Millisecond)
	if s.inFlight() != 1 {
		t.Error("a slow caller was disconnected too early")
	}
	// Responses to other callers do not wait for the slow one.
	s.agents[0].setScript(func(x *fakeStream) { x.respond("other") })
	if got := s.send(t.Context(), call{}); got.text() != "200 other" {
		t.Errorf("other caller: %s", got.text())
	}
	if got := rawReply(t, conn); got.truncated || len(got.body) != parts*(10<<10) {
		t.Errorf("truncated %v, %d bytes", got.truncated, len(got.body))
	}
}

// An entry is shut down gracefully. Its readiness check fails first, while it still accepts requests, and requests in
// flight are completed.
func TestEntryDrains(t *testing.T) {
	s := newSite(t, siteOptions{agents: 1})
	end := make(chan struct{})
	s.agents[0].setScript(func(x *fakeStream) {
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
			LameDuck: 300 * time.Millisecond, DrainTimeout: testTimeout, OnStop: s.entry.StartDrain,
		})
	}()
	ask := func(body string) <-chan reply {
		got := make(chan reply, 1)
		go func() {
			response, err := http.Post("http://"+listener.Addr().String()+"/ledger/n", "text/plain", strings.NewReader(body))
			if err != nil {
				got <- reply{truncated: true}
				return
			}
			got <- readReply(response)
		}()
		return got
	}
	defer http.DefaultClient.CloseIdleConnections()
	first := ask("first")
	eventually(t, "the request is not in flight", func() bool { return s.inFlight() == 1 })
	stop()
	eventually(t, "the readiness check does not fail", func() bool { return len(s.entry.Ready()) > 0 })
	second := ask("second")
	eventually(t, "a request during the lame-duck period was not accepted", func() bool { return s.inFlight() == 2 })
	select {
	case err := <-ended:
		t.Fatalf("ended with requests in flight: %v", err)
	case <-time.After(400 * time.Millisecond):
	}
	close(end)
	for i, got := range []<-chan reply{first, second} {
		if r := receive(t, got, "no response"); r.text() != "200 begun ended" {
			t.Errorf("request %d: %s", i, r.text())
		}
	}
	if err := receive(t, ended, "the entry does not end"); err != nil {
		t.Error(err)
	}
}

// chatSite returns a site with two engines that both may hold the model "narrator".
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

// The engine that got a chat with a large body fails or is busy. The entry holds the whole body and must try the other
// engine. It used to treat the body as one that can be sent only once, like a streamed one.
func TestLargeChatIsTriedAgain(t *testing.T) {
	const size = 1 << 20
	chat := call{method: post, path: pathChat, body: fmt.Sprintf(`{"model":"narrator","photo":%q}`, strings.Repeat("x", size))}
	cases := []struct {
		name  string
		first func(x *fakeStream)
	}{
		{"broken after the upload", func(x *fakeStream) { x.ready(); x.readBody() }},
		{"broken within the upload", func(x *fakeStream) { x.ready(); x.next() }},
		{"busy", func(x *fakeStream) {
			x.ready()
			x.readBody()
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
				a.setScript(func(x *fakeStream) {
					select {
					case <-turn:
						c.first(x)
						return
					default:
					}
					x.ready()
					body, whole := x.readBody()
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

// A streamed chat forwards each part as it arrives, continues past the deadline that its first part met, and ends
// cleanly only after its trailer.
func TestStreamedChat(t *testing.T) {
	s := chatSite(t)
	proceed := make(chan struct{})
	for _, a := range s.agents {
		a.setScript(func(x *fakeStream) {
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

// A host is listed as leaving between its agent's connection and its first report. The agent was sent the state "live"
// when it connected, the changed list was not sent to it because it did not count as connected yet, and the list does
// not change again. The entry must send the new state in response to the report.
func TestLeavingIsToldWithTheReport(t *testing.T) {
	agent := newScriptedAgent(t)
	e, server := startEntryAt(t, agent.address)
	control := <-agent.stream
	first := &wirepb.ControlDown{}
	if err := control.Read(first); err != nil || first.HostState != wirepb.HostState_LIVE {
		t.Fatalf("%v, %v", first, err)
	}
	server.PutHost(backing.Host{ID: "host-1", Role: backing.RoleEndpoint, State: backing.HostLeaving, Address: agent.address, Endpoint: "engine-1"})
	eventually(t, "the host list was not read", func() bool {
		ep := e.members.Endpoint("engine-1")
		return ep != nil && ep.Leaving
	})
	if err := control.Write(&wirepb.ControlUp{Status: &wirepb.Status{Full: true, Kind: kindEngine, Ready: true}}); err != nil {
		t.Fatal(err)
	}
	readUntil(t, control, func(down *wirepb.ControlDown) bool { return down.HostState == wirepb.HostState_HOST_LEAVING })
}
