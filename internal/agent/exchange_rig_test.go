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

// patience bounds what a test waits for; it is far above what any of them needs.
const patience = 20 * time.Second

// eventually polls until a condition holds.
func eventually(t *testing.T, otherwise string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(otherwise)
		}
	}
}

// within waits for a value.
func within[T any](t *testing.T, c <-chan T, otherwise string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal(otherwise)
		panic("not reached")
	}
}

// testAgent is a running agent beside an endpoint of the test.
type testAgent struct {
	*Agent
	t       *testing.T
	address string
	table   *grantTable
	stop    func() error
}

// agentSettings are what the tests set of an agent.
type agentSettings struct {
	kind    string
	url     string
	options Options
	caller  endpoint.Caller
	table   *grantTable
	// unready is set when the agent can't be ready at once.
	unready bool
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
		s.table = &grantTable{}
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
		Policy: idle.NewPolicy(idle.Options{Min: time.Hour}), Clock: hastyClock{},
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
		case <-time.After(patience):
			t.Error("the agent does not end")
			return nil
		}
	})
	t.Cleanup(func() { _ = a.stop() })
	if !s.unready {
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
	setDuration(&o.CommitTimeout, patience)
	setDuration(&o.DrainTimeout, patience)
	setDuration(&o.MaxAnswer, patience)
	o.Queue = admission.Options{MaxWaiting: 100}
	o.Loading = loading.Options{Engine: o.Endpoint, Host: o.Host, MemoryBytes: 100, OrderLife: 10 * time.Millisecond,
		StateInterval: 20 * time.Millisecond, PermitPatience: time.Millisecond}
	o.Wire = wire.DefaultOptions()
	o.HeartbeatInterval = 50 * time.Millisecond
	o.BatchDelay = time.Millisecond
	o.OrderTimeout = patience
	o.ProbeInterval = 10 * time.Millisecond
	o.TableRetry = time.Millisecond
	return o
}

func setDuration(d *time.Duration, otherwise time.Duration) {
	if *d == 0 {
		*d = otherwise
	}
}

// newService serves a plain service until the test ends.
func newService(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	site := httptest.NewServer(handle)
	t.Cleanup(site.Close)
	return site.URL
}

// hastyClock does not linger after a drain; what the linger is for is tested with its own clock.
type hastyClock struct{ clock.Real }

func (c hastyClock) NewTimer(d time.Duration) clock.Timer {
	if d == drainLinger {
		d = 0
	}
	return c.Real.NewTimer(d)
}

// grantTable holds one engine's grants.
type grantTable struct {
	backing.Table
	down   atomic.Bool
	models []string
}

func (g *grantTable) Commit(context.Context, backing.Txn) (uint64, error) {
	if g.down.Load() {
		return 0, backing.ErrUnavailable
	}
	return 20, nil
}

func (g *grantTable) List(context.Context, string, uint64) (backing.Listing, error) {
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

func (g *grantTable) rows() []*replicaspb.Row {
	var rows []*replicaspb.Row
	for _, model := range g.models {
		slot := &replicaspb.Slot{Engine: "endpoint-1", Host: "host-1", State: replicaspb.SlotState_GRANTED}
		rows = append(rows, &replicaspb.Row{Model: model, Revision: 10, Slots: []*replicaspb.Slot{slot}})
	}
	return rows
}

// scriptedEntry is an entry whose frames the test writes.
type scriptedEntry struct {
	t       *testing.T
	session *wire.Session
}

func dialAgent(t *testing.T, a *testAgent) *scriptedEntry {
	t.Helper()
	session, err := wire.Dial(t.Context(), a.address, wire.DefaultOptions(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	return &scriptedEntry{t: t, session: session}
}

func (e *scriptedEntry) open(kind wirepb.StreamKind) *wire.Stream {
	e.t.Helper()
	stream, err := e.session.Open(&wirepb.StreamHeader{Kind: kind, Entry: "entry-1", Incarnation: 1}, wire.MaxFrameBytes)
	if err != nil {
		e.t.Fatal(err)
	}
	return stream
}

// control opens the control stream and sends a batch.
func (e *scriptedEntry) control(down *wirepb.ControlDown) *wire.Stream {
	e.t.Helper()
	stream := e.open(wirepb.StreamKind_CONTROL)
	stream.SetLimit(wire.MaxControlBytes)
	if err := stream.Write(down); err != nil {
		e.t.Fatal(err)
	}
	return stream
}

// exchangeScript is the entry's side of one request stream.
type exchangeScript struct {
	t      *testing.T
	stream *wire.Stream
	id     string
	// body and head are what came of the answer.
	body []byte
	head *wirepb.Head
}

// post is an offer of one POST that has a minute.
func post(change func(*wirepb.Offer)) *wirepb.Offer {
	o := &wirepb.Offer{Service: "s", Class: wirepb.Class_INTERACTIVE, Method: http.MethodPost, Path: "/notice?marker=m",
		TimeLeftMicros: time.Minute.Microseconds(), Body: []byte("{}"), BodyLength: 2, BodyDone: true}
	if change != nil {
		change(o)
	}
	return o
}

func twoStep(o *wirepb.Offer) { o.TwoStep = true }

// upload leaves the body to the frames that follow.
func upload(length int64) func(*wirepb.Offer) {
	return func(o *wirepb.Offer) {
		o.Path, o.Body, o.BodyLength, o.BodyDone = "/notice", nil, length, false
	}
}

func (e *scriptedEntry) offer(id string, o *wirepb.Offer) *exchangeScript {
	e.t.Helper()
	x := &exchangeScript{t: e.t, stream: e.open(wirepb.StreamKind_REQUEST), id: id}
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Offer{Offer: o}})
	return x
}

func (x *exchangeScript) send(frame *wirepb.ToAgent) {
	x.t.Helper()
	frame.RequestId = x.id
	if err := x.stream.Write(frame); err != nil {
		x.t.Fatal(err)
	}
}

func (x *exchangeScript) commit() {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Commit{Commit: &wirepb.Commit{}}})
}

func (x *exchangeScript) cancel() {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Cancel{Cancel: &wirepb.Cancel{}}})
}

func (x *exchangeScript) chunk(data []byte, done bool) {
	x.t.Helper()
	x.send(&wirepb.ToAgent{Frame: &wirepb.ToAgent_Body{Body: &wirepb.BodyChunk{Data: data, Done: done}}})
}

// The ends of an exchange in the tests; refusals and failures have their reason's name and, after it, whether the request
// may have run.
const (
	endTrailer = "trailer"
	endClosed  = "closed"
)

// read returns what the next frame is, or how the stream ended.
func (x *exchangeScript) read() string {
	x.t.Helper()
	_ = x.stream.SetReadDeadline(time.Now().Add(patience))
	frame := &wirepb.FromAgent{}
	if err := x.stream.Read(frame); err != nil {
		if errors.Is(err, wire.ErrTimeout) {
			x.t.Fatal("the agent says nothing")
		}
		return endClosed
	}
	if frame.RequestId != x.id {
		x.t.Fatalf("a frame of %q", frame.RequestId)
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
		x.t.Fatalf("an empty frame")
		return ""
	}
}

func (x *exchangeScript) verify(t *wirepb.Trailer) {
	x.t.Helper()
	if t.Length != uint64(len(x.body)) || t.Checksum != xxhash.Sum64(x.body) {
		x.t.Errorf("the trailer does not match %d bytes", len(x.body))
	}
}

// await reads until a frame is as wanted.
func (x *exchangeScript) await(wanted string) {
	x.t.Helper()
	for {
		switch got := x.read(); got {
		case wanted:
			return
		case "accepted", "ready", "head", "body":
		default:
			x.t.Fatalf("got %s, want %s", got, wanted)
		}
	}
}

// end reads the frames to the last one, and then the stream's end, and returns that frame.
func (x *exchangeScript) end() string {
	x.t.Helper()
	last := ""
	for got := x.read(); got != endClosed; got = x.read() {
		last = got
	}
	return last
}

// callerFunc is a Caller without a network.
type callerFunc func(*http.Request) (*http.Response, error)

func (f callerFunc) Call(r *http.Request) (*http.Response, error) { return f(r) }

// answer is a response with a body.
func answer(status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{}, Body: io.NopCloser(body)}
}

// echoing is a caller that checks whose the answers are.
func echoing(t *testing.T, url string) endpoint.Caller {
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
