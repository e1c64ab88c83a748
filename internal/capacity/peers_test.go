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

// wireOptions are the default settings of the processes.
var wireOptions = wire.Options{
	DialTimeout:   time.Second,
	KeepAlive:     2 * time.Second,
	WriteTimeout:  3 * time.Second,
	HeaderTimeout: 5 * time.Second,
}

// lightAgents are many agents in this process, behind one address: each connection stands for one agent. They answer on
// the control stream as agents do and serve each request with a short answer.
type lightAgents struct {
	conns   conns
	address string
	// reports is the time between two reports of an agent's load, in nanoseconds; 0 leaves the heartbeats alone.
	reports atomic.Int64
	sent    atomic.Int64

	mu        sync.Mutex
	revisions map[*lightAgent]uint64
	// held is the revision that agents hold when an entry connects.
	held uint64
}

// lightAgent is one of them.
type lightAgent struct {
	all      *lightAgents
	stream   *wire.Stream
	status   *wirepb.Status
	revision uint64
	seen     uint64
	full     bool
	mu       sync.Mutex
}

func startLightAgents(t *testing.T) *lightAgents {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &lightAgents{
		address:   listener.Addr().String(),
		revisions: map[*lightAgent]uint64{},
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

func (a *lightAgents) serve(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	if header.Kind == wirepb.StreamKind_REQUEST {
		serveRequest(stream)
		return
	}
	stream.SetLimit(wire.MaxControlBytes)
	agent := &lightAgent{all: a, stream: stream, status: statusOf(1, 0), full: true}
	agent.revision = a.join(agent)
	defer a.forget(agent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.write(ctx)
	}()
	agent.read()
	_ = stream.Close()
	<-done
}

// join counts an agent's new connection and returns the revision that the agent holds.
func (a *lightAgents) join(agent *lightAgent) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revisions[agent] = a.held
	return a.held
}

// keep makes the agents hold a revision when an entry connects.
func (a *lightAgents) keep(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = revision
}

func (a *lightAgents) note(agent *lightAgent, revision uint64) {
	a.mu.Lock()
	a.revisions[agent] = revision
	a.mu.Unlock()
}

func (a *lightAgents) forget(agent *lightAgent) {
	a.mu.Lock()
	delete(a.revisions, agent)
	a.mu.Unlock()
}

// at returns how many agents are connected, and how many of them have at least a revision.
func (a *lightAgents) at(revision uint64) (connected, reached int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.revisions {
		if r >= revision {
			reached++
		}
	}
	return len(a.revisions), reached
}

// read takes the entry's batches.
func (g *lightAgent) read() {
	for {
		down := &wirepb.ControlDown{}
		if g.stream.Read(down) != nil {
			return
		}
		g.take(down)
	}
}

func (g *lightAgent) take(down *wirepb.ControlDown) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen = down.Sequence
	if down.Snapshot != nil {
		g.revision = max(g.revision, down.Snapshot.Revision)
	}
	for _, d := range down.Deltas {
		g.revision = max(g.revision, d.Revision)
	}
	for _, row := range down.Rows {
		g.hold(row)
	}
	g.all.note(g, g.revision)
}

// hold takes a row for a loaded replica.
func (g *lightAgent) hold(row *replicaspb.Row) {
	for _, r := range g.status.Replicas {
		if r.Model == row.Model {
			r.Revision = row.Revision
			return
		}
	}
	g.full = true
	replica := &wirepb.Replica{Model: row.Model, Revision: row.Revision, State: wirepb.ReplicaState_LOADED}
	g.status.Replicas = append(g.status.Replicas, replica)
	g.status.Cached = append(g.status.Cached, row.Model)
}

// write sends heartbeats, and reports of the load as often as the test asks for.
func (g *lightAgent) write(ctx context.Context) {
	for {
		if g.stream.Write(g.batch()) != nil {
			return
		}
		g.all.sent.Add(1)
		wait := heartbeatInterval
		if r := time.Duration(g.all.reports.Load()); r > 0 {
			wait = r
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (g *lightAgent) batch() *wirepb.ControlUp {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &wirepb.Status{
		Ready:                true,
		MemoryReservedBytes:  g.status.MemoryReservedBytes,
		DeclarationsRevision: g.revision,
		Load:                 g.status.Load,
	}
	if g.full {
		s = g.status
		s.DeclarationsRevision = g.revision
	} else if g.all.reports.Load() > 0 && len(g.status.Replicas) > 0 {
		g.status.Replicas[0].Running = (g.status.Replicas[0].Running + 1) % 16
		s.Replicas = g.status.Replicas[:1]
	}
	g.full = false
	return &wirepb.ControlUp{Acknowledged: g.seen, Clock: uint64(time.Now().UnixMilli()) << 16, Status: s}
}

// answerText is the body of each answer.
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

// lightEntry is an entry in this process that holds a control stream to an agent and does nothing else.
type lightEntry struct {
	session *wire.Session
	control *wire.Stream
	batches atomic.Int64
	status  atomic.Pointer[wirepb.Status]
}

// dialLightEntry connects to an agent and heartbeats until ctx ends. The first batch is what a new connection starts with.
func dialLightEntry(ctx context.Context, address, name string, first *wirepb.ControlDown) (*lightEntry, error) {
	session, err := wire.Dial(ctx, address, wireOptions, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	e := &lightEntry{session: session}
	e.control, err = session.Open(&wirepb.StreamHeader{Kind: wirepb.StreamKind_CONTROL, Entry: name, Incarnation: 1}, wire.MaxControlBytes)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = session.Close() })
	go e.read()
	go e.write(ctx, first)
	return e, nil
}

func (e *lightEntry) read() {
	for {
		up := &wirepb.ControlUp{}
		if e.control.Read(up) != nil {
			return
		}
		e.batches.Add(1)
		e.status.Store(up.Status)
	}
}

func (e *lightEntry) write(ctx context.Context, down *wirepb.ControlDown) {
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

// request sends a chat completion over the light entry and reads the answer to its end.
func (e *lightEntry) request(id, model string, body []byte) error {
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
