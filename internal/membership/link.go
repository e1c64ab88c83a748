package membership

import (
	"context"
	"sync"
	"time"

	"balsamsail/internal/clock"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// maxPendingBatches bounds the batches that wait for a slow agent; beyond it the connection is ended and starts over
// with the whole state.
const maxPendingBatches = 256

// link keeps the connection to one agent.
type link struct {
	manager *Manager
	// name is the endpoint's, host and address those of the host that the agent runs on.
	name, host, address string
	cancel              context.CancelFunc

	// telling is held while the manager and its observer are told something; detached ends that.
	telling  sync.Mutex
	detached bool

	mu      sync.Mutex
	session *wire.Session
	pending []*wirepb.ControlDown
	wake    chan struct{}
}

func newLink(m *Manager, e *Endpoint, cancel context.CancelFunc) *link {
	return &link{manager: m, name: e.Name, host: e.HostID, address: e.Address, cancel: cancel, wake: make(chan struct{}, 1)}
}

func (l *link) stop() { l.cancel() }

// tell calls f unless the link speaks for its endpoint no more.
func (l *link) tell(f func()) bool {
	l.telling.Lock()
	defer l.telling.Unlock()
	if l.detached {
		return false
	}
	f()
	return true
}

// detach ends the link's say on its endpoint: when it returns, nothing that the link's agent has sent or sends is told any
// more. What runs on the connection goes on, and no new connection is made.
func (l *link) detach() {
	l.telling.Lock()
	defer l.telling.Unlock()
	l.detached = true
}

func (l *link) isDetached() bool { return !l.tell(func() {}) }

// isConnected reports whether there is a session.
func (l *link) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil
}

// open opens a stream on the present session.
func (l *link) open(kind wirepb.StreamKind, limit int64) (*wire.Stream, error) {
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	if session == nil {
		return nil, ErrNotConnected
	}
	header := &wirepb.StreamHeader{
		Kind:        kind,
		Entry:       l.manager.options.EntryID,
		Incarnation: l.manager.options.Incarnation,
	}
	return session.Open(header, limit)
}

// send queues a batch.
func (l *link) send(down *wirepb.ControlDown) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		return
	}
	if len(l.pending) >= maxPendingBatches {
		_ = l.session.Close()
		return
	}
	l.pending = append(l.pending, down)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run dials and serves until ctx ends or, once the link is detached, its connection does.
func (l *link) run(ctx context.Context) {
	timer := l.manager.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		l.connect(ctx)
		if l.isDetached() {
			return
		}
		timer.Reset(jitter(l.manager.options.RedialDelay))
	}
}

// connect runs one connection to its end.
func (l *link) connect(ctx context.Context) {
	m := l.manager
	session, err := wire.Dial(ctx, l.address, m.options.Wire, m.logger)
	if err != nil {
		m.metrics.dialFailures.Inc()
		m.logger.Debug("agent not reached", "endpoint", l.name, "error", err)
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	l.setSession(session)
	defer l.setSession(nil)
	control, err := l.open(wirepb.StreamKind_CONTROL, wire.MaxControlBytes)
	if err != nil {
		return
	}
	m.metrics.connected.Inc()
	defer m.metrics.connected.Dec()
	m.recorder.Record(timeline.Event{Kind: timeline.PeerConnected, Endpoint: l.name})
	l.tell(func() { m.told(func(o Observer) { o.Connected(l.name) }) })
	var writer sync.WaitGroup
	writer.Go(func() { l.writeBatches(ctx, session, control) })
	err = l.readBatches(control)
	_ = session.Close()
	writer.Wait()
	m.logger.Info("agent lost", "endpoint", l.name, "error", err)
	m.recorder.Record(timeline.Event{Kind: timeline.PeerLost, Endpoint: l.name, Detail: err.Error()})
	l.tell(func() { m.lost(l.name) })
}

func (l *link) setSession(s *wire.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
	l.pending = nil
}

// readBatches takes the agent's batches until the stream ends. An agent heartbeats, so silence beyond the limit means a
// frozen agent or a half-open link; yamux's own probes are answered by a frozen process's kernel buffers only until they
// fill, not by the process, so both bounds hold.
func (l *link) readBatches(control *wire.Stream) error {
	m := l.manager
	for {
		_ = control.SetReadDeadline(time.Now().Add(m.options.SilenceLimit))
		up := &wirepb.ControlUp{}
		if err := control.Read(up); err != nil {
			return err
		}
		m.recorder.Clock().Observe(up.Clock)
		m.metrics.batchesReceived.Inc()
		l.tell(func() { m.reported(l.name, up) })
	}
}

// writeBatches sends queued batches, gathered for a moment, and heartbeats.
func (l *link) writeBatches(ctx context.Context, session *wire.Session, control *wire.Stream) {
	m := l.manager
	heartbeat := time.NewTicker(m.options.HeartbeatInterval)
	defer heartbeat.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.Closed():
			return
		case <-heartbeat.C:
		case <-l.wake:
			clock.Pause(ctx, m.options.BatchDelay)
		}
		sequence++
		batch := l.take()
		batch.Sequence = sequence
		batch.Clock = m.recorder.Clock().Now()
		if err := control.Write(batch); err != nil {
			_ = session.Close()
			return
		}
		m.metrics.batchesSent.Inc()
	}
}

// take merges the queued batches into one.
func (l *link) take() *wirepb.ControlDown {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	merged := &wirepb.ControlDown{}
	for _, d := range pending {
		mergeDown(merged, d)
	}
	return merged
}

// mergeDown adds a later batch to an earlier one.
//
// Batches are queued by several goroutines, so that a snapshot may stand behind deltas that lead further: dropped with it,
// they would not come again, and the agent would stay at the older revision until the next edit.
func mergeDown(into, d *wirepb.ControlDown) {
	if d.Snapshot.GetRevision() > into.Snapshot.GetRevision() {
		into.Snapshot = d.Snapshot
	}
	into.Deltas = append(into.Deltas, d.Deltas...)
	into.Rows = append(into.Rows, d.Rows...)
	into.Permits = append(into.Permits, d.Permits...)
	if d.HostState != wirepb.HostState_HOST_STATE_UNSPECIFIED {
		into.HostState = d.HostState
	}
	if len(d.Entries) > 0 {
		into.Entries = d.Entries
	}
	into.WantState = into.WantState || d.WantState
}
