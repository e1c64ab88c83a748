package capacity

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const heartbeatInterval = time.Second

// wireOptions are the connection options that entries and agents use by default.
var wireOptions = wire.Options{
	DialTimeout:   time.Second,
	KeepAlive:     2 * time.Second,
	WriteTimeout:  3 * time.Second,
	HeaderTimeout: 5 * time.Second,
}

// stubAgents simulates many agents in the test process behind one address, with one connection per agent. They report on
// the control stream like real agents and answer each request with a short fixed body.
type stubAgents struct {
	conns   conns
	address string
	// reportInterval is the time between two load reports of an agent in nanoseconds. If it is 0, agents send only
	// heartbeats.
	reportInterval atomic.Int64
	reportsSent    atomic.Int64

	mu        sync.Mutex
	revisions map[*stubAgent]uint64
	// initialRevision is the revision that agents have when an entry connects.
	initialRevision uint64
}

// stubAgent is one simulated agent.
type stubAgent struct {
	all          *stubAgents
	stream       *wire.Stream
	status       *wirepb.Status
	revision     uint64
	acknowledged uint64
	fullReport   bool
	mu           sync.Mutex
}

func startStubAgents(t *testing.T) *stubAgents {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &stubAgents{
		address:   listener.Addr().String(),
		revisions: map[*stubAgent]uint64{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		counted := countingListener{Listener: listener, conns: &a.conns}
		_ = wire.Serve(ctx, counted, wireOptions, slog.New(slog.DiscardHandler), a.serve)
	}()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return a
}

func (a *stubAgents) serve(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	if header.Kind == wirepb.StreamKind_REQUEST {
		serveRequest(stream)
		return
	}
	stream.SetLimit(wire.MaxControlBytes)
	agent := &stubAgent{all: a, stream: stream, status: statusOf(1, 0), fullReport: true}
	agent.revision = a.addAgent(agent)
	defer a.removeAgent(agent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.write(ctx)
	}()
	agent.read()
	_ = stream.Close()
	<-done
}

// addAgent registers an agent's new connection and returns the agent's initial revision.
func (a *stubAgents) addAgent(agent *stubAgent) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revisions[agent] = a.initialRevision
	return a.initialRevision
}

// setInitialRevision sets the revision that agents have when an entry connects.
func (a *stubAgents) setInitialRevision(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.initialRevision = revision
}

func (a *stubAgents) setRevision(agent *stubAgent, revision uint64) {
	a.mu.Lock()
	a.revisions[agent] = revision
	a.mu.Unlock()
}

func (a *stubAgents) removeAgent(agent *stubAgent) {
	a.mu.Lock()
	delete(a.revisions, agent)
	a.mu.Unlock()
}

// countAt returns the number of connected agents and how many of them have reached a revision.
func (a *stubAgents) countAt(revision uint64) (connected, reached int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.revisions {
		if r >= revision {
			reached++
		}
	}
	return len(a.revisions), reached
}

// read applies the entry's batches until the stream ends.
func (g *stubAgent) read() {
	for {
		down := &wirepb.ControlDown{}
		if g.stream.Read(down) != nil {
			return
		}
		g.apply(down)
	}
}

func (g *stubAgent) apply(down *wirepb.ControlDown) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged = down.Sequence
	if down.Snapshot != nil {
		g.revision = max(g.revision, down.Snapshot.Revision)
	}
	for _, d := range down.Deltas {
		g.revision = max(g.revision, d.Revision)
	}
	for _, row := range down.Rows {
		g.addReplica(row)
	}
	g.all.setRevision(g, g.revision)
}

// addReplica reports the model of a row as loaded.
func (g *stubAgent) addReplica(row *replicaspb.Row) {
	for _, r := range g.status.Replicas {
		if r.Model == row.Model {
			r.Revision = row.Revision
			return
		}
	}
	g.fullReport = true
	replica := &wirepb.Replica{Model: row.Model, Revision: row.Revision, State: wirepb.ReplicaState_LOADED}
	g.status.Replicas = append(g.status.Replicas, replica)
	g.status.Cached = append(g.status.Cached, row.Model)
}

// write sends heartbeats, or load reports at reportInterval if that is set.
func (g *stubAgent) write(ctx context.Context) {
	for {
		if g.stream.Write(g.batch()) != nil {
			return
		}
		g.all.reportsSent.Add(1)
		wait := heartbeatInterval
		if r := time.Duration(g.all.reportInterval.Load()); r > 0 {
			wait = r
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (g *stubAgent) batch() *wirepb.ControlUp {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &wirepb.Status{
		Ready:                true,
		MemoryReservedBytes:  g.status.MemoryReservedBytes,
		DeclarationsRevision: g.revision,
		Load:                 g.status.Load,
	}
	if g.fullReport {
		s = g.status
		s.DeclarationsRevision = g.revision
	} else if g.all.reportInterval.Load() > 0 && len(g.status.Replicas) > 0 {
		g.status.Replicas[0].Running = (g.status.Replicas[0].Running + 1) % 16
		s.Replicas = g.status.Replicas[:1]
	}
	g.fullReport = false
	return &wirepb.ControlUp{Acknowledged: g.acknowledged, Clock: uint64(time.Now().UnixMilli()) << 16, Status: s}
}

// answerText is the body of every answer.
var answerText = []byte(`{"object":"chat.completion","choices":[{"message":{"role":"assistant","content":"The layer is closed."}}]}`)

// serveRequest answers one request at once.
func serveRequest(stream *wire.Stream) {
	offer := &wirepb.ToAgent{}
	if stream.Read(offer) != nil {
		return
	}
	id := offer.RequestId
	load := &wirepb.Load{Running: 1}
	frames := []*wirepb.FromAgent{
		{RequestId: id, Frame: &wirepb.FromAgent_Accepted{Accepted: &wirepb.Accepted{Load: load}}},
		{RequestId: id, Frame: &wirepb.FromAgent_Head{Head: &wirepb.Head{
			Status:  200,
			Headers: []*wirepb.Header{{Name: "Content-Type", Value: "application/json"}},
		}}},
		{RequestId: id, Frame: &wirepb.FromAgent_Body{Body: &wirepb.BodyChunk{Data: answerText, Done: true}}},
		{RequestId: id, Frame: &wirepb.FromAgent_Trailer{Trailer: &wirepb.Trailer{
			Length:   uint64(len(answerText)),
			Checksum: xxhash.Sum64(answerText),
			Load:     load,
		}}},
	}
	for _, f := range frames {
		if stream.Write(f) != nil {
			return
		}
	}
	// The entry closes the stream when it has the whole answer.
	_ = stream.Read(&wirepb.ToAgent{})
}

// stubEntry is an entry in the test process that keeps a control stream to an agent and sends the requests of a test.
type stubEntry struct {
	session *wire.Session
	control *wire.Stream
	batches atomic.Int64
	status  atomic.Pointer[wirepb.Status]
}

// dialStubEntry connects to an agent, sends the first batch, and then heartbeats until ctx ends.
func dialStubEntry(ctx context.Context, address, name string, first *wirepb.ControlDown) (*stubEntry, error) {
	session, err := wire.Dial(ctx, address, wireOptions, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	e := &stubEntry{session: session}
	e.control, err = session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: name, Incarnation: 1}, wire.MaxControlBytes)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = session.Close() })
	go e.read()
	go e.write(ctx, first)
	return e, nil
}

func (e *stubEntry) read() {
	for {
		up := &wirepb.ControlUp{}
		if e.control.Read(up) != nil {
			return
		}
		e.batches.Add(1)
		e.status.Store(up.Status)
	}
}

func (e *stubEntry) write(ctx context.Context, down *wirepb.ControlDown) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		down.Sequence = sequence
		down.Clock = uint64(time.Now().UnixMilli()) << 16
		if e.control.Write(down) != nil {
			return
		}
		down = &wirepb.ControlDown{}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// request sends a chat completion request to the agent and reads the whole answer.
func (e *stubEntry) request(id, model string, body []byte) error {
	stream, err := e.session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_REQUEST, Entry: "light"}, wire.MaxFrameBytes)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	offer := &wirepb.Offer{
		Model:          model,
		Class:          wirepb.Class_INTERACTIVE,
		TimeLeftMicros: (30 * time.Second).Microseconds(),
		Method:         "POST",
		Path:           "/v1/chat/completions",
		Headers:        []*wirepb.Header{{Name: "Content-Type", Value: "application/json"}},
		BodyLength:     int64(len(body)),
		Body:           body,
		BodyDone:       true,
		Stream:         true,
	}
	if err := stream.Write(&wirepb.ToAgent{RequestId: id, Frame: &wirepb.ToAgent_Offer{Offer: offer}}); err != nil {
		return err
	}
	for {
		frame := &wirepb.FromAgent{}
		if err := stream.Read(frame); err != nil {
			return err
		}
		switch f := frame.Frame.(type) {
		case *wirepb.FromAgent_Trailer:
			return nil
		case *wirepb.FromAgent_Refused:
			return refusedError{reason: f.Refused.Reason, detail: f.Refused.Detail}
		case *wirepb.FromAgent_Failed:
			return refusedError{detail: f.Failed.Detail}
		}
	}
}

type refusedError struct {
	reason wirepb.RefusalReason
	detail string
}

func (e refusedError) Error() string { return e.reason.String() + ": " + e.detail }
