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

// maxPendingBatches bounds the batches queued for a slow agent. At the limit the connection is closed, and the next one
// starts with the full state.
const maxPendingBatches = 256

// link maintains the connection to one agent.
type link struct {
	manager *Manager
	// name is the endpoint's name; host and address are the ID and the address of the agent's host.
	name, host, address string
	cancel              context.CancelFunc

	// notifyMu serializes notifications to the manager and its observer; once detached is set, there are no more.
	notifyMu sync.Mutex
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

// notify calls f unless the link is detached, and reports whether it did.
func (l *link) notify(f func()) bool {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	if l.detached {
		return false
	}
	f()
	return true
}

// detach stops all notifications from the link: after it returns, nothing received from the link's agent is processed.
// An open connection continues, but the link does not reconnect.
func (l *link) detach() {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	l.detached = true
}

func (l *link) isDetached() bool { return !l.notify(func() {}) }

// isConnected reports whether the link has a session.
func (l *link) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil
}

// open opens a stream on the current session.
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

// send queues a batch. It drops the batch if there is no session.
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

// run connects and reconnects until ctx ends or, if the link is detached, until the current connection ends.
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
		m.logger.Debug("failed to connect to the agent", "endpoint", l.name, "error", err)
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
	l.notify(func() { m.notifyObserver(func(o Observer) { o.Connected(l.name) }) })
	var writer sync.WaitGroup
	writer.Go(func() { l.writeBatches(ctx, session, control) })
	err = l.readBatches(control)
	_ = session.Close()
	writer.Wait()
	m.logger.Info("connection to the agent ended", "endpoint", l.name, "error", err)
	m.recorder.Record(timeline.Event{Kind: timeline.PeerLost, Endpoint: l.name, Detail: err.Error()})
	l.notify(func() { m.handleLost(l.name) })
}

func (l *link) setSession(s *wire.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
	l.pending = nil
}

// readBatches receives the agent's batches until the stream ends. Agents send heartbeats, so silence beyond
// SilenceLimit means a frozen agent or a half-open connection. The yamux keepalive detects this as well: the kernel of
// a frozen process accepts pings until its buffers are full, but only the process answers them.
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
		l.notify(func() { m.handleReport(l.name, up) })
	}
}

// writeBatches sends heartbeats and the queued batches; batches queued within BatchDelay are merged.
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
		batch := l.drainPending()
		batch.Sequence = sequence
		batch.Clock = m.recorder.Clock().Now()
		if err := control.Write(batch); err != nil {
			_ = session.Close()
			return
		}
		m.metrics.batchesSent.Inc()
	}
}

// drainPending removes the queued batches and merges them into one.
func (l *link) drainPending() *wirepb.ControlDown {
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

// mergeDown merges a later batch into an earlier one.
//
// Several goroutines queue batches, so a snapshot may be queued after deltas with higher revisions. These deltas must
// be kept: they are not sent again, and without them the agent would stay at the older revision until the next edit.
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
