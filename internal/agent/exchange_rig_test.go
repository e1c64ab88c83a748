package agent

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/admission"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/loading/idle"
	"balsamsail/internal/replicas"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// testTimeout bounds every wait in the tests. It is far longer than any of them needs.
const testTimeout = 20 * time.Second

// eventually polls until a condition holds.
func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// receive waits for a value on a channel.
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

// testAgent is a running agent beside a test endpoint.
type testAgent struct {
	*Agent
	t       *testing.T
	address string
	table   *fakeTable
	stop    func() error
}

// agentSettings are the parameters that a test sets for an agent.
type agentSettings struct {
	kind    string
	url     string
	options Options
	caller  endpoint.Caller
	table   *fakeTable
	// startsUnready is set when the agent cannot become ready at once.
	startsUnready bool
}

func (a *testAgent) awaitReady() {
	a.t.Helper()
	eventually(a.t, "the agent is not ready", func() bool { return len(a.Ready()) == 0 })
}

// startAgent runs an agent beside the endpoint at a URL until the test ends or stop is called.
func startAgent(t *testing.T, s agentSettings) *testAgent {
	t.Helper()
	if s.kind == "" {
		s.kind = KindService
	}
	if s.table == nil {
		s.table = &fakeTable{}
	}
	var err error
	if s.caller == nil {
		s.caller, err = endpoint.NewHTTPCaller(s.url, endpoint.CallerOptions{FreshConnections: true})
		if err != nil {
			t.Fatal(err)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &testAgent{t: t, address: listener.Addr().String(), table: s.table}
	a.Agent = New(s.withDefaults(), Dependencies{
		Engine: endpoint.NewHTTPEngine(s.url, "", endpoint.Timeouts{}), Caller: s.caller, Table: s.table,
		Policy: idle.NewPolicy(idle.Options{Min: time.Hour}), Clock: noLingerClock{},
		Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		Recorder: timeline.NewRecorder("agent", 256, timeline.NewHybridClock(time.Now)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx, listener) }()
	a.stop = sync.OnceValue(func() error {
		cancel()
		select {
		case err := <-ended:
			return err
		case <-time.After(testTimeout):
			t.Error("the agent does not stop")
			return nil
		}
	})
	t.Cleanup(func() { _ = a.stop() })
	if !s.startsUnready {
		a.awaitReady()
	}
	return a
}

func (s agentSettings) withDefaults() Options {
	o := s.options
	o.Endpoint, o.Kind, o.Host = "endpoint-1", s.kind, "host-1"
	if o.Capacity == 0 {
		o.Capacity = 1
	}
	if o.Labels == nil {
		o.Labels = map[string]string{"pool": "a"}
	}
	setDuration(&o.CommitTimeout, testTimeout)
	setDuration(&o.DrainTimeout, testTimeout)
	setDuration(&o.MaxCallDuration, testTimeout)
	o.Queue = admission.Options{MaxWaiting: 100}
	o.Loading = loading.Options{Engine: o.Endpoint, Host: o.Host, MemoryBytes: 100, OrderLifetime: 10 * time.Millisecond,
		StateInterval: 20 * time.Millisecond, PermitTimeout: time.Millisecond}
	o.Wire = wire.DefaultOptions()
	o.HeartbeatInterval = 50 * time.Millisecond
	o.BatchDelay = time.Millisecond
	o.OrderTimeout = testTimeout
	o.ProbeInterval = 10 * time.Millisecond
	o.TableRetryInterval = time.Millisecond
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// newService serves a plain service until the test ends.
func newService(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	site := httptest.NewServer(handle)
	t.Cleanup(site.Close)
	return site.URL
}

// noLingerClock skips the wait after a drain.
type noLingerClock struct{ clock.Real }

func (c noLingerClock) NewTimer(d time.Duration) clock.Timer {
	if d == drainLinger {
		d = 0
	}
	return c.Real.NewTimer(d)
}

// fakeTable holds one engine's grants.
type fakeTable struct {
	backing.Table
	down   atomic.Bool
	models []string
}

func (g *fakeTable) Commit(context.Context, backing.Txn) (uint64, error) {
	if g.down.Load() {
		return 0, backing.ErrUnavailable
	}
	return 20, nil
}

func (g *fakeTable) List(context.Context, string, uint64) (backing.Listing, error) {
	if g.down.Load() {
		return backing.Listing{}, backing.ErrUnavailable
	}
	listing := backing.Listing{Revision: 20}
	for _, row := range g.rows() {
		value, err := replicas.EncodeRow(row)
		if err != nil {
			return listing, err
		}
		listing.Rows = append(listing.Rows, backing.Row{Key: replicas.Key(row.Model), Revision: row.Revision, Value: value})
	}
	return listing, nil
}

func (g *fakeTable) rows() []*replicaspb.Row {
	var rows []*replicaspb.Row
	for _, model := range g.models {
		slot := &replicaspb.Slot{Engine: "endpoint-1", Host: "host-1", State: replicaspb.SlotState_GRANTED}
		rows = append(rows, &replicaspb.Row{Model: model, Revision: 10, Slots: []*replicaspb.Slot{slot}})
	}
	return rows
}

// fakeEntry is an entry whose frames are sent by the test.
type fakeEntry struct {
	t       *testing.T
	session *wire.Session
}

func dialAgent(t *testing.T, a *testAgent) *fakeEntry {
	t.Helper()
	session, err := wire.Dial(t.Context(), a.address, wire.DefaultOptions(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	return &fakeEntry{t: t, session: session}
}

func (e *fakeEntry) open(kind wirepb.StreamKind) *wire.Stream {
	e.t.Helper()
	stream, err := e.session.Open(&wirepb.StreamHeader{Kind: kind, Entry: "entry-1", Incarnation: 1}, wire.MaxFrameBytes)
	if err != nil {
		e.t.Fatal(err)
	}
	return stream
}

// control opens the control stream and sends a batch.
func (e *fakeEntry) control(down *wirepb.ControlDown) *wire.Stream {
	e.t.Helper()
	stream := e.open(wirepb.StreamKind_CONTROL)
	stream.SetLimit(wire.MaxControlBytes)
	if err := stream.Write(down); err != nil {
		e.t.Fatal(err)
	}
	return stream
}

// entryExchange is the entry's side of one request stream.
type entryExchange struct {
	t      *testing.T
	stream *wire.Stream
	id     string
	// body and head are the parts of the answer received so far.
	body []byte
	head *wirepb.Head
}

// post returns an offer of a POST request with a deadline in one minute.
func post(change func(*wirepb.Offer)) *wirepb.Offer {
	o := &wirepb.Offer{Service: "s", Class: wirepb.Class_INTERACTIVE, Method: http.MethodPost, Path: "/notice?marker=m",
		TimeLeftMicros: time.Minute.Microseconds(), Body: []byte("{}"), BodyLength: 2, BodyDone: true}
	if change != nil {
		change(o)
	}
	return o
}

func twoStep(o *wirepb.Offer) { o.TwoStep = true }

// upload makes the body arrive in the frames after the offer.
func upload(length int64) func(*wirepb.Offer) {
	return func(o *wirepb.Offer) {
		o.Path, o.Body, o.BodyLength, o.BodyDone = "/notice", nil, length, false
	}
}

func (e *fakeEntry) offer(id string, o *wirepb.Offer) *entryExchange {
	e.t.Helper()
	x := &entryExchange{t: e.t, stream: e.open(wirepb.StreamKind_REQUEST), id: id}
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Offer{Offer: o}})
	return x
}

func (x *entryExchange) send(frame *wirepb.ToAgent) {
	x.t.Helper()
	frame.RequestId = x.id
	if err := x.stream.Write(frame); err != nil {
		x.t.Fatal(err)
	}
}

func (x *entryExchange) commit() {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
}

func (x *entryExchange) cancel() {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{}}})
}

// withdraw cancels the request unless it has started.
func (x *entryExchange) withdraw() {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{UnlessStarted: true}}})
}

func (x *entryExchange) chunk(data []byte, done bool) {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Body{Body: &wirepb.BodyChunk{Data: data, Done: done}}})
}

// The results of an exchange in the tests. Refusals and failures have the name of their reason; failures also say
// whether the request may have run.
const (
	endTrailer = "trailer"
	endClosed  = "closed"
)

// read returns the kind of the next frame, or how the stream ended.
func (x *entryExchange) read() string {
	x.t.Helper()
	_ = x.stream.SetReadDeadline(time.Now().Add(testTimeout))
	frame := &wirepb.FromAgent{}
	if err := x.stream.Read(frame); err != nil {
		if errors.Is(err, wire.ErrTimeout) {
			x.t.Fatal("no frame from the agent before the timeout")
		}
		return endClosed
	}
	if frame.RequestId != x.id {
		x.t.Fatalf("got a frame of request %q", frame.RequestId)
	}
	switch f := frame.Frame.(type) {
	case *wirepb.FromAgent_Accepted:
		return "accepted"
	case *wirepb.FromAgent_Ready:
		return "ready"
	case *wirepb.FromAgent_Refused:
		return f.Refused.Reason.String()
	case *wirepb.FromAgent_Head:
		x.head = f.Head
		return "head"
	case *wirepb.FromAgent_Body:
		x.body = append(x.body, f.Body.Data...)
		return "body"
	case *wirepb.FromAgent_Trailer:
		x.verify(f.Trailer)
		return endTrailer
	case *wirepb.FromAgent_Failed:
		if f.Failed.MayHaveRun {
			return f.Failed.Reason.String() + " unclear"
		}
		return f.Failed.Reason.String() + " clean"
	default:
		x.t.Fatalf("got an empty frame")
		return ""
	}
}

func (x *entryExchange) verify(t *wirepb.Trailer) {
	x.t.Helper()
	if t.Length != uint64(len(x.body)) || t.Checksum != xxhash.Sum64(x.body) {
		x.t.Errorf("the trailer does not match the %d bytes received", len(x.body))
	}
}

// await reads until a frame of the given kind arrives.
func (x *entryExchange) await(kind string) {
	x.t.Helper()
	for {
		switch got := x.read(); got {
		case kind:
			return
		case "accepted", "ready", "head", "body":
		default:
			x.t.Fatalf("got %s, want %s", got, kind)
		}
	}
}

// end reads frames until the stream is closed and returns the last one.
func (x *entryExchange) end() string {
	x.t.Helper()
	last := ""
	for got := x.read(); got != endClosed; got = x.read() {
		last = got
	}
	return last
}

// callerFunc is a Caller without a network connection.
type callerFunc func(*http.Request) (*http.Response, error)

func (f callerFunc) Call(r *http.Request) (*http.Response, error) { return f(r) }

// newResponse returns a response with a body.
func newResponse(status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{}, Body: io.NopCloser(body)}
}

// newEchoCheckingCaller returns a caller that checks the request identifier of each answer.
func newEchoCheckingCaller(t *testing.T, url string) endpoint.Caller {
	t.Helper()
	caller, err := endpoint.NewHTTPCaller(url, endpoint.CallerOptions{EchoesRequestID: true, FreshConnections: true})
	if err != nil {
		t.Fatal(err)
	}
	return caller
}

// snapshot declares a model "m".
func snapshot() *pb.Snapshot {
	model := &pb.Model{Name: "m", Versions: []string{"1"}, DefaultVersion: "1", MemoryBytes: 40, MaxReplicas: 1, MaxConcurrency: 4, EngineSelector: "kind=engine"}
	return &pb.Snapshot{Revision: 1, Objects: []*pb.Object{{Kind: &pb.Object_Model{Model: model}}}}
}
