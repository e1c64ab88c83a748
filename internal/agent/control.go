package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamsail/internal/clock"
	"balsamsail/internal/loading"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// maxPendingPerKind bounds the messages of each kind that are pending for a slow entry. The oldest are dropped, because
// the machine repeats them.
const maxPendingPerKind = 1024

// controlStream is the control stream of one entry.
type controlStream struct {
	entry       string
	incarnation uint64
	wake        chan struct{}

	mu      sync.Mutex
	pending wirepb.ControlUp

	// sent is the status last sent to the entry and sentAt the time of that batch. Only the writer goroutine uses them.
	sent   sentStatus
	sentAt time.Time
}

func newControlStream(header *wirepb.StreamHeader) *controlStream {
	return &controlStream{entry: header.Entry, incarnation: header.Incarnation, wake: make(chan struct{}, 1)}
}

func (s *controlStream) wakeWriter() { notify(s.wake) }

// enqueue adds to the next batch.
func (s *controlStream) enqueue(add func(*wirepb.ControlUp)) {
	s.mu.Lock()
	add(&s.pending)
	dropOldest(&s.pending)
	s.mu.Unlock()
	s.wakeWriter()
}

// acknowledge records the sequence number of the last batch received. It is sent with the next batch: a separate
// acknowledgement would answer each heartbeat with a batch.
func (s *controlStream) acknowledge(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.Acknowledged = sequence
}

// hasPending reports whether the next batch carries more than the agent's status.
func (s *controlStream) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.pending
	return len(p.PermitRequests)+len(p.PermitsDone)+len(p.Releases)+len(p.Wanted)+len(p.Rows) > 0 || p.Snapshot != nil || p.WantSnapshot
}

// sendDelay returns how long the next batch may be delayed after a wake-up: zero if more than load has changed. It
// returns false if nothing has changed and the batch can wait for the next heartbeat.
func (s *controlStream) sendDelay(status *wirepb.Status, now time.Time) (time.Duration, bool) {
	change := s.sent.compare(status)
	switch {
	case change == changeState || s.hasPending():
		return 0, true
	case change == changeLoad:
		return max(0, loadReportInterval-now.Sub(s.sentAt)), true
	default:
		return 0, false
	}
}

// dropOldest drops the oldest messages of each kind beyond the limit.
func dropOldest(up *wirepb.ControlUp) {
	up.PermitRequests = newest(up.PermitRequests)
	up.PermitsDone = newest(up.PermitsDone)
	up.Releases = newest(up.Releases)
	up.Wanted = newest(up.Wanted)
}

func newest[T any](list []T) []T {
	if len(list) <= maxPendingPerKind {
		return list
	}
	return list[len(list)-maxPendingPerKind:]
}

// takePending removes and returns the pending parts of the next batch.
func (s *controlStream) takePending() *wirepb.ControlUp {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := &wirepb.ControlUp{
		Acknowledged:   s.pending.Acknowledged,
		PermitRequests: s.pending.PermitRequests,
		PermitsDone:    s.pending.PermitsDone,
		Releases:       s.pending.Releases,
		Wanted:         s.pending.Wanted,
		Snapshot:       s.pending.Snapshot,
		Rows:           s.pending.Rows,
		WantSnapshot:   s.pending.WantSnapshot,
	}
	s.pending.PermitRequests = nil
	s.pending.PermitsDone = nil
	s.pending.Releases = nil
	s.pending.Wanted = nil
	s.pending.Snapshot = nil
	s.pending.Rows = nil
	s.pending.WantSnapshot = false
	return up
}

// serveControl runs one control stream of an entry.
//
// Streams are kept individually, not by entry. After a freeze an agent may accept connections that an entry made and
// abandoned meanwhile, in any order and together with the live one. In a map keyed by entry, a stale stream could
// replace the live one and remove it at its end: the entry would then get the agent's status but no releases, slot
// requests or permit requests, and the only replica of a model could not be moved.
func (a *Agent) serveControl(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	s := newControlStream(header)
	stream.SetLimit(wire.MaxControlBytes)
	a.mu.Lock()
	a.streams[s] = struct{}{}
	a.mu.Unlock()
	a.recorder.Record(timeline.Event{Kind: timeline.PeerConnected, Detail: header.Entry})
	ctx, cancel := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() {
		a.writeControl(ctx, s, stream)
		_ = stream.Close()
	})
	err := a.readControl(s, stream)
	// Before the writer closes the stream, so that nothing more is asked of an entry whose stream has ended.
	a.mu.Lock()
	delete(a.streams, s)
	a.mu.Unlock()
	cancel()
	writer.Wait()
	a.recorder.Record(timeline.Event{Kind: timeline.PeerLost, Detail: header.Entry})
	a.logger.Info("control stream ended", "entry", header.Entry, "error", err)
}

// readControl applies an entry's batches until the stream ends. Entries send heartbeats; if none arrives, the entry is
// frozen or the connection is broken.
func (a *Agent) readControl(s *controlStream, stream *wire.Stream) error {
	const maxMissedHeartbeats = 4
	for {
		_ = stream.SetReadDeadline(time.Now().Add(maxMissedHeartbeats * a.options.HeartbeatInterval))
		down := &wirepb.ControlDown{}
		if err := stream.Read(down); err != nil {
			return err
		}
		a.recorder.Clock().Observe(down.Clock)
		a.applyBatch(s, down)
	}
}

// applyBatch applies one batch of an entry.
func (a *Agent) applyBatch(s *controlStream, down *wirepb.ControlDown) {
	s.acknowledge(down.Sequence)
	a.applyDeclarations(s, down)
	for _, row := range down.Rows {
		a.core.step(loading.RowSeen{Row: row})
	}
	for _, p := range down.Permits {
		a.applyPermit(p)
	}
	if down.HostState == wirepb.HostState_HOST_LEAVING {
		a.Leave()
	}
	if down.WantState {
		a.sendState(s)
	}
}

// applyDeclarations applies snapshots and deltas; the receiver ignores revisions that are not newer than its own.
//
// Every entry sends every revision, and each stream has its own goroutine. Receiving a revision and declaring it to the
// core must be atomic: otherwise a goroutine with an older set could declare it after a newer one, and the agent would
// use the replaced revision until the next edit.
func (a *Agent) applyDeclarations(s *controlStream, down *wirepb.ControlDown) {
	a.declareMu.Lock()
	defer a.declareMu.Unlock()
	changed := false
	if down.Snapshot != nil {
		changed = a.receiver.ApplySnapshot(down.Snapshot)
	}
	for _, d := range down.Deltas {
		applied, gap := a.receiver.ApplyDelta(d)
		changed = changed || applied
		if err := a.receiver.Err(); err != nil {
			a.logger.Error("applying declarations from an entry failed", "error", err)
		}
		if gap {
			s.enqueue(func(up *wirepb.ControlUp) { up.WantSnapshot = true })
		}
	}
	if !changed {
		return
	}
	set := a.receiver.Current()
	a.core.declare(set)
	a.recorder.Record(timeline.Event{Kind: timeline.DeclarationApplied, Detail: revisionText(set.Revision())})
}

// applyPermit passes a granted or denied permit to the machine.
func (a *Agent) applyPermit(p *wirepb.Permit) {
	now := a.clock.Now()
	kind := timeline.PermitDenied
	if p.ValidMicros > 0 {
		kind = timeline.PermitGranted
	}
	a.recorder.Record(timeline.Event{Kind: kind, Endpoint: a.options.Endpoint, Detail: p.Id})
	if p.ValidMicros > 0 {
		a.core.step(loading.PermitGranted{ID: p.Id, Expires: now.Add(micros(p.ValidMicros))})
		return
	}
	a.core.step(loading.PermitDenied{ID: p.Id, RetryAt: now.Add(micros(p.RetryAfterMicros))})
}

// sendState sends the agent's declarations and grants to an entry that cannot read the table.
func (a *Agent) sendState(s *controlStream) {
	snapshot := a.receiver.Snapshot()
	rows := a.core.rows()
	s.enqueue(func(up *wirepb.ControlUp) {
		up.Snapshot = snapshot
		up.Rows = rows
	})
}

// writeControl sends a batch when something has changed and as a heartbeat. Batches that carry only load are delayed to
// merge several changes.
func (a *Agent) writeControl(ctx context.Context, s *controlStream, stream *wire.Stream) {
	heartbeat := time.NewTicker(a.options.HeartbeatInterval)
	defer heartbeat.Stop()
	s.wakeWriter()
	var delayed <-chan time.Time
	for {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-delayed:
		case <-s.wake:
			woken = true
			clock.Pause(ctx, a.options.BatchDelay)
		}
		status := a.status()
		if woken {
			wait, due := s.sendDelay(status, time.Now())
			if due && wait > 0 && delayed == nil {
				delayed = time.After(wait)
			}
			if !due || wait > 0 {
				continue
			}
		}
		delayed = nil
		if err := a.sendBatch(s, stream, status); err != nil {
			a.logger.Info("sending to the entry failed", "entry", s.entry, "error", err)
			return
		}
	}
}

// sendBatch sends the pending messages and the changes of the status since the last batch.
func (a *Agent) sendBatch(s *controlStream, stream *wire.Stream, status *wirepb.Status) error {
	up := s.takePending()
	up.Clock = a.recorder.Clock().Now()
	up.Status = s.sent.delta(status)
	s.sentAt = time.Now()
	return stream.Write(up)
}

// sleep waits for d on the agent's clock or until ctx is done.
func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	timer := a.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// broadcast enqueues a message for every connected entry.
func (a *Agent) broadcast(add func(*wirepb.ControlUp)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		s.enqueue(add)
	}
}

// permitIssuer returns the control stream of the entry that issues permits to this agent: the one with the highest
// rendezvous hash among the connected entries, so that agents with the same connections choose the same entry.
func (a *Agent) permitIssuer() *controlStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best *controlStream
	highest := uint64(0)
	for s := range a.streams {
		if weight := xxhash.Sum64String("permits/" + s.entry); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

// requestPermit asks the issuer for a permit. If there is no issuer or it does not answer, the machine starts the load
// without a permit after a timeout.
func (a *Agent) requestPermit(action loading.AskPermit) {
	s := a.permitIssuer()
	if s == nil {
		return
	}
	request := &wirepb.PermitRequest{
		Id:          action.ID,
		Kind:        action.Kind,
		Model:       action.Model,
		SlackMicros: action.Deadline.Sub(a.clock.Now()).Microseconds(),
	}
	a.recorder.Record(timeline.Event{
		Kind: timeline.PermitRequested, Model: action.Model, Endpoint: a.options.Endpoint, Detail: action.ID,
	})
	s.enqueue(func(up *wirepb.ControlUp) { up.PermitRequests = append(up.PermitRequests, request) })
}

func (a *Agent) endPermit(id string) {
	a.broadcast(func(up *wirepb.ControlUp) { up.PermitsDone = append(up.PermitsDone, id) })
}

func (a *Agent) confirmRelease(action loading.ConfirmRelease) {
	release := &wirepb.SlotRelease{Model: action.Model, Revision: action.Revision}
	a.broadcast(func(up *wirepb.ControlUp) { up.Releases = append(up.Releases, release) })
}

// wantSlot asks for another slot. Under overload each refusal asks for one, so identical requests are merged until the
// next batch and counted in Demand.
func (a *Agent) wantSlot(action loading.WantSlot) {
	a.broadcast(func(up *wirepb.ControlUp) {
		for _, w := range up.Wanted {
			if w.Model == action.Model && w.Reason == action.Reason {
				w.Demand++
				return
			}
		}
		up.Wanted = append(up.Wanted, &wirepb.SlotWanted{Model: action.Model, Reason: action.Reason, Demand: 1})
	})
}
