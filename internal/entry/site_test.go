package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/membership"
	"balsamsail/internal/replicas"
	"balsamsail/internal/routing"
	standin "balsamsail/internal/standin/platform"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait in a test; it is far longer than any of them needs.
const testTimeout = 20 * time.Second

// discardLogger discards the logs of the tests.
var discardLogger = slog.New(slog.DiscardHandler)

// eventually polls until a condition holds, and fails the test with the message failure on a timeout.
func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// receive waits for a value, and fails the test with the message failure on a timeout.
func receive[T any](t *testing.T, c <-chan T, failure string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal(failure)
		panic("not reached")
	}
}

// site is a test deployment: an entry with callers, a stand-in platform, and endpoints whose agents are scripted by the
// test.
type site struct {
	t        *testing.T
	entry    *Entry
	platform *standin.Server
	callers  *httptest.Server
	agents   []*fakeAgent
	// returned is closed when the entry's handler has returned for the first request.
	returned chan struct{}
}

// notifyReturns closes returned when the handler has returned for the first request. A later request may return earlier:
// the repetition of one that is still in progress is refused at once.
func (s *site) notifyReturns(handler http.Handler) http.Handler {
	s.returned = make(chan struct{})
	var requests atomic.Int32
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			defer close(s.returned)
		}
		handler.ServeHTTP(w, r)
	})
}

// departingCaller is a caller that disconnects while its request is being served.
type departingCaller struct {
	leave func()
	seen  <-chan struct{}
}

// awaitSeen waits until the entry has noticed that the caller has left.
func (c *departingCaller) awaitSeen() {
	select {
	case <-c.seen:
	case <-time.After(testTimeout):
		panic("the entry has not noticed that the caller has left")
	}
}

// siteOptions configure a site.
type siteOptions struct {
	// agents is the number of endpoints of the plain service "ledger", at the path "/ledger/".
	agents    int
	configure func(*Options)
	// service changes the declared service.
	service func(*pb.Service)
	// objects are further declarations.
	objects []*pb.Object
	// kind is the kind of the endpoints; empty means that of plain services.
	kind string
}

func newSite(t *testing.T, o siteOptions) *site {
	t.Helper()
	s := &site{t: t}
	hosts := []backing.Host{{ID: "entry-1", Role: backing.RoleEntry, State: backing.HostLive, Address: "127.0.0.1:1"}}
	for i := range o.agents {
		a := newFakeAgent(t, fmt.Sprintf("ledger-%d", i+1), o.kind)
		s.agents = append(s.agents, a)
		hosts = append(hosts, backing.Host{ID: "host-" + a.name, Role: backing.RoleEndpoint, State: backing.HostLive, Address: a.address, Endpoint: a.name})
	}
	s.platform = standin.New(standin.Options{Hosts: hosts})
	web := httptest.NewServer(s.platform.Handler())
	t.Cleanup(web.Close)
	s.start(web.URL, o)
	s.declare(o)
	s.callers = httptest.NewServer(s.notifyReturns(s.entry.Handler()))
	t.Cleanup(s.callers.Close)
	eventually(t, "the entry is not ready", func() bool { return len(s.entry.Ready()) == 0 && s.connectedAgents() == o.agents })
	return s
}

func (s *site) connectedAgents() int {
	n := 0
	for _, ep := range s.entry.members.Endpoints() {
		if ep.Connected {
			n++
		}
	}
	return n
}

func (s *site) start(url string, so siteOptions) {
	transport := &http.Transport{}
	s.t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	o := backing.Options{TableURL: url, ObjectsURL: url, HostsURL: url, Timeout: 300 * time.Millisecond}
	table := backing.NewHTTPTable(o, client)
	logger := slog.New(slog.DiscardHandler)
	registry := prometheus.NewRegistry()
	recorder := timeline.NewRecorder("entry-1", 1024, timeline.NewHybridClock(time.Now))
	mo := membership.DefaultOptions()
	mo.EntryID, mo.ListInterval, mo.RedialDelay, mo.BatchDelay = "entry-1", 5*time.Millisecond, 5*time.Millisecond, time.Millisecond
	options := Options{
		ID: "entry-1", MaxDeadline: time.Hour, MaxBody: 4 << 20, MaxAttempts: 3, CandidateTimeout: 100 * time.Millisecond,
		MaxResponseDuration: testTimeout, Limiter: admission.LimiterOptions{MaxInFlight: 100},
		Budget: routing.BudgetOptions{Burst: 100},
	}
	if so.configure != nil {
		so.configure(&options)
	}
	s.entry = New(options, Dependencies{
		Members:    membership.NewManager(mo, backing.NewHTTPHosts(o, client), clock.Real{}, logger, registry, recorder),
		Store:      declarations.NewStore(declarations.Options{PollInterval: 10 * time.Millisecond}, table, clock.Real{}, logger, registry),
		Claims:     atmostonce.NewClaims(table, atmostonce.ClaimsOptions{Timeout: 500 * time.Millisecond}),
		Clock:      clock.Real{},
		Logger:     logger,
		Registerer: registry,
		Recorder:   recorder,
	})
	ro := replicas.DefaultOptions()
	ro.Interval, ro.BatchDelay, ro.RankDelay = 10*time.Millisecond, time.Millisecond, time.Millisecond
	s.entry.SetGrants(replicas.NewManager(ro, table, s.entry.GrantInputs(), clock.Real{}, logger, registry, recorder))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.entry.Run(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// declare declares the plain service and the test's own objects.
func (s *site) declare(o siteOptions) {
	s.t.Helper()
	service := &pb.Service{Name: "ledger", PathPrefix: "/ledger/", EndpointSelector: "kind=service", IdempotentMethods: []string{"GET", "PUT"},
		MaxConcurrency: 8, MaxBodyBytes: 4 << 20, DefaultDeadlineMillis: 5000}
	if o.service != nil {
		o.service(service)
	}
	limits := &pb.Limits{InteractiveDeadlineMillis: 5000, BatchDeadlineMillis: 10000, StoreLoadsPerSecond: 1, StoreLoadsAtOnce: 1, AdaptersInTransit: 1}
	objects := append([]*pb.Object{declarations.ServiceObject(service), declarations.LimitsObject(limits)}, o.objects...)
	_, err := s.entry.store.Edit(s.t.Context(), declarations.EditRequest{Author: "test", Change: declarations.PutObjects(objects, nil)})
	if err != nil {
		s.t.Fatal(err)
	}
	eventually(s.t, "the declarations were not applied", func() bool { return s.entry.store.Current().Revision() > 0 })
}

// call is a caller's request.
type call struct {
	method, path, key, body string
	header                  http.Header
}

// reply is the response that a caller got.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem errorDetail
	// truncated is set when the response was incomplete or missing.
	truncated bool
}

// text returns a short form of a reply for test tables: its status and body, or the code and outcome of an error.
func (r reply) text() string {
	switch {
	case r.truncated:
		return "cut"
	case r.problem.Code != "":
		return fmt.Sprintf("%d %s %s", r.status, r.problem.Code, r.problem.Outcome)
	default:
		return fmt.Sprintf("%d %s", r.status, r.body)
	}
}

// send sends a request and waits for its response.
func (s *site) send(ctx context.Context, c call) reply {
	if c.method == "" {
		c.method = http.MethodGet
	}
	if c.path == "" {
		c.path = "/ledger/notice"
	}
	request, err := http.NewRequestWithContext(ctx, c.method, s.callers.URL+c.path, strings.NewReader(c.body))
	if err != nil {
		s.t.Error(err)
		return reply{truncated: true}
	}
	for name, values := range c.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set(headerIdempKey, c.key)
	}
	response, err := s.callers.Client().Do(request)
	if err != nil {
		return reply{truncated: true}
	}
	return readReply(response)
}

func readReply(response *http.Response) reply {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, header: response.Header, body: string(body), truncated: err != nil}
	var document errorDocument
	if json.Unmarshal(body, &document) == nil {
		r.problem = document.Error
	}
	return r
}

// sending sends a request in the background.
func (s *site) sending(ctx context.Context, c call) <-chan reply {
	got := make(chan reply, 1)
	go func() { got <- s.send(ctx, c) }()
	return got
}

// fakeAgent is an agent that reports its endpoint as ready and passes each request stream to the test's script.
type fakeAgent struct {
	t             *testing.T
	name, address string
	kind          string
	// stop stops the agent: its connections break and it accepts no new ones.
	stop context.CancelFunc

	mu     sync.Mutex
	script func(x *fakeStream)
	offers []*wirepb.Offer
	// revisions are the revisions of the rows that name the endpoint, by model version.
	revisions map[string]uint64
}

func newFakeAgent(t *testing.T, name, kind string) *fakeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if kind == "" {
		kind = kindService
	}
	a := &fakeAgent{t: t, name: name, kind: kind, address: listener.Addr().String(), revisions: map[string]uint64{}}
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	var serving sync.WaitGroup
	serving.Go(func() { _ = wire.Serve(ctx, listener, wire.DefaultOptions(), slog.New(slog.DiscardHandler), a.serve) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	return a
}

// setScript sets how the agent handles each offer from now on.
func (a *fakeAgent) setScript(script func(x *fakeStream)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.script = script
}

// offered returns the offers received so far.
func (a *fakeAgent) offered() []*wirepb.Offer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.offers
}

func (a *fakeAgent) serve(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	if header.Kind == wirepb.StreamKind_CONTROL {
		a.report(ctx, stream)
		return
	}
	first := &wirepb.ToAgent{}
	if err := stream.Read(first); err != nil || first.GetOffer() == nil {
		return
	}
	a.mu.Lock()
	a.offers = append(a.offers, first.GetOffer())
	script := a.script
	a.mu.Unlock()
	script(&fakeStream{ctx: ctx, stream: stream, id: first.RequestId, offer: first.GetOffer(), sum: xxhash.New()})
}

// report reports the endpoint as ready, and as holding the models whose rows name it.
func (a *fakeAgent) report(ctx context.Context, stream *wire.Stream) {
	stream.SetLimit(wire.MaxControlBytes)
	ctx, cancel := context.WithCancel(ctx)
	changed := make(chan struct{}, 1)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer cancel()
		for {
			down := &wirepb.ControlDown{}
			if stream.Read(down) != nil {
				return
			}
			a.mu.Lock()
			for _, row := range down.Rows {
				a.revisions[row.Model] = row.Revision
			}
			a.mu.Unlock()
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	})
	for ctx.Err() == nil {
		if stream.Write(&wirepb.ControlUp{Status: a.status()}) != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		}
	}
	_ = stream.Close()
	reading.Wait()
}

func (a *fakeAgent) status() *wirepb.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &wirepb.Status{Full: true, Endpoint: a.name, Kind: a.kind, Ready: true, MemoryBytes: 100, Load: &wirepb.Load{}}
	for model, revision := range a.revisions {
		s.Replicas = append(s.Replicas, &wirepb.Replica{Model: model, State: wirepb.ReplicaState_LOADED, Revision: revision})
	}
	return s
}

// fakeStream is the agent's side of one request stream.
type fakeStream struct {
	ctx    context.Context
	stream *wire.Stream
	id     string
	offer  *wirepb.Offer
	length uint64
	sum    *xxhash.Digest
}

func (x *fakeStream) send(f *wirepb.FromAgent) {
	f.RequestId = x.id
	_ = x.stream.Write(f)
}

func (x *fakeStream) accepted() {
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Accepted{Accepted: &wirepb.Accepted{}}})
}

func (x *fakeStream) ready() {
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Ready{Ready: &wirepb.Ready{}}})
}

func (x *fakeStream) refused(reason wirepb.RefusalReason) {
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Refused{Refused: &wirepb.Refused{Reason: reason, RetryAfterMillis: 2000}}})
}

func (x *fakeStream) failed(mayHaveRun bool) {
	f := &wirepb.Failed{Reason: wirepb.FailureReason_ENDPOINT_BROKE, MayHaveRun: mayHaveRun}
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Failed{Failed: f}})
}

func (x *fakeStream) head(status int32, headers ...*wirepb.Header) {
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Head{Head: &wirepb.Head{Status: status, Headers: headers}}})
}

// eventStream is the Content-Type header of a streamed response.
var eventStream = &wirepb.Header{Name: "Content-Type", Value: "text/event-stream"}

func (x *fakeStream) body(text string) {
	x.length += uint64(len(text))
	_, _ = x.sum.WriteString(text)
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Body{Body: &wirepb.BodyChunk{Data: []byte(text)}}})
}

func (x *fakeStream) trailer() { x.trailerWith(x.length, x.sum.Sum64()) }

func (x *fakeStream) trailerWith(length, sum uint64) {
	x.send(&wirepb.FromAgent{Frame: &wirepb.FromAgent_Trailer{Trailer: &wirepb.Trailer{Length: length, Checksum: sum}}})
}

// respond sends a complete response with the given text, after the commit if the request is two-step.
func (x *fakeStream) respond(text string) {
	if x.offer.TwoStep && !x.committed() {
		return
	}
	x.head(http.StatusOK)
	x.body(text)
	x.trailer()
}

// next reads the entry's next frame; it returns nil at the end of the stream.
func (x *fakeStream) next() *wirepb.ToAgent {
	_ = x.stream.SetReadDeadline(time.Now().Add(testTimeout))
	frame := &wirepb.ToAgent{}
	if err := x.stream.Read(frame); err != nil {
		return nil
	}
	return frame
}

// committed accepts the offer, reports ready, and reports whether the commit arrived.
func (x *fakeStream) committed() bool {
	x.accepted()
	x.ready()
	return x.next().GetCommit() != nil
}

// readBody reads the rest of the body and reports whether it was complete.
func (x *fakeStream) readBody() (string, bool) {
	var body bytes.Buffer
	body.Write(x.offer.Body)
	for done := x.offer.BodyDone; !done; {
		chunk := x.next().GetBody()
		if chunk == nil {
			return body.String(), false
		}
		body.Write(chunk.Data)
		done = chunk.Done
	}
	return body.String(), true
}

// stallFor sends nothing for d and reports whether the entry kept the stream open.
func (x *fakeStream) stallFor(d time.Duration) bool {
	_ = x.stream.SetReadDeadline(time.Now().Add(d))
	return errors.Is(x.stream.Read(&wirepb.ToAgent{}), wire.ErrTimeout)
}

// stall sends nothing until the entry ends the stream.
func (x *fakeStream) stall() {
	for x.next() != nil {
	}
}
