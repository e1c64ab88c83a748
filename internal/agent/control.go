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

// maxPendingPerKind bounds what waits for a slow entry; the oldest are dropped, because the machine repeats them.
const maxPendingPerKind = 1024

// controlStream is the control stream of one entry.
type controlStream struct {
	entry       string
	incarnation uint64
	wake        chan struct{}

	mu      sync.Mutex
	pending wirepb.ControlUp

	// sent is what the entry was last told and sentAt when. They belong to the writer.
	sent   statusMemo
	sentAt time.Time
}

func newControlStream(header *wirepb.StreamHeader) *controlStream {
	return &controlStream{entry: header.Entry, incarnation: header.Incarnation, wake: make(chan struct{}, 1)}
}

func (s *controlStream) stir() { nudge(s.wake) }

// queue adds to the next batch.
func (s *controlStream) queue(add func(*wirepb.ControlUp)) {
	s.mu.Lock()
	add(&s.pending)
	trim(&s.pending)
	s.mu.Unlock()
	s.stir()
}

// acknowledge notes the highest batch that was applied. It rides on the next batch: one of its own would answer each
// heartbeat.
func (s *controlStream) acknowledge(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.Acknowledged = sequence
}

// hasQueued reports whether the next batch carries more than the agent's status.
func (s *controlStream) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.pending
	return len(p.PermitRequests)+len(p.PermitsDone)+len(p.Releases)+len(p.Wanted)+len(p.Rows) > 0 || p.Snapshot != nil || p.WantSnapshot
}

// patience is how long a batch may wait after a stir: not at all when it tells of more than load, to the next heartbeat
// (reported as false) when it tells nothing.
func (s *controlStream) patience(status *wirepb.Status, now time.Time) (time.Duration, bool) {
	found := s.sent.compare(status)
	switch {
	case found == newsState || s.hasQueued():
		return 0, true
	case found == newsLoad:
		return max(0, loadReportInterval-now.Sub(s.sentAt)), true
	default:
		return 0, false
	}
}

// trim drops the oldest of what has grown beyond its bound.
func trim(up *wirepb.ControlUp) {
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

// take returns the queued parts of the next batch.
func (s *controlStream) take() *wirepb.ControlUp {
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

// serveControl runs one entry's control stream.
//
// An agent that goes on after a freeze takes up the connections that an entry made and gave up meanwhile, in any order,
// together with the one that works. Were the streams kept by entry, one that is about to end could take the place of the
// working one and leave with it: the entry would be told the agent's status and never again a release, a wish for a slot or
// that a permit is wanted, and the only replica of a model could not be moved.
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
	cancel()
	writer.Wait()
	a.mu.Lock()
	delete(a.streams, s)
	a.mu.Unlock()
	a.recorder.Record(timeline.Event{Kind: timeline.PeerLost, Detail: header.Entry})
	a.logger.Info("control stream ended", "entry", header.Entry, "error", err)
}

// readControl takes an entry's batches until the stream ends. Entries heartbeat; silence means a frozen entry or a cut
// link.
func (a *Agent) readControl(s *controlStream, stream *wire.Stream) error {
	const silentHeartbeats = 4
	for {
		_ = stream.SetReadDeadline(time.Now().Add(silentHeartbeats * a.options.HeartbeatInterval))
		down := &wirepb.ControlDown{}
		if err := stream.Read(down); err != nil {
			return err
		}
		a.recorder.Clock().Observe(down.Clock)
		a.applyDown(s, down)
	}
}

// applyDown carries out one batch.
func (a *Agent) applyDown(s *controlStream, down *wirepb.ControlDown) {
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
		a.answerState(s)
	}
}

// applyDeclarations takes in snapshots and deltas; the receiver ignores what is not above the revision it holds.
//
// Each entry sends every revision, and its stream has a goroutine of its own. The lock keeps one that has taken a
// revision and not yet declared it from being overtaken: it would declare the older set last, and the agent would act on
// a revision that was replaced until the next edit.
func (a *Agent) applyDeclarations(s *controlStream, down *wirepb.ControlDown) {
	a.declaring.Lock()
	defer a.declaring.Unlock()
	changed := false
	if down.Snapshot != nil {
		changed = a.receiver.ApplySnapshot(down.Snapshot)
	}
	for _, d := range down.Deltas {
		applied, gap := a.receiver.ApplyDelta(d)
		changed = changed || applied
		if err := a.receiver.Err(); err != nil {
			a.logger.Error("declarations cannot be read", "error", err)
		}
		if gap {
			s.queue(func(up *wirepb.ControlUp) { up.WantSnapshot = true })
		}
	}
	if !changed {
		return
	}
	set := a.receiver.Current()
	a.core.declare(set)
	a.recorder.Record(timeline.Event{Kind: timeline.DeclarationApplied, Detail: revisionText(set.Revision())})
}

// applyPermit hands a permit or its denial to the machine.
func (a *Agent) applyPermit(p *wirepb.Permit) {
	now := a.clock.Now()
	kind := timeline.PermitDenied
	if p.ValidMicros > 0 {
		kind = timeline.PermitGiven
	}
	a.recorder.Record(timeline.Event{Kind: kind, Endpoint: a.options.Endpoint, Detail: p.Id})
	if p.ValidMicros > 0 {
		a.core.step(loading.PermitGiven{ID: p.Id, Expires: now.Add(micros(p.ValidMicros))})
		return
	}
	a.core.step(loading.PermitDenied{ID: p.Id, RetryAt: now.Add(micros(p.RetryAfterMicros))})
}

// answerState sends what the agent holds to an entry that cannot read the table.
func (a *Agent) answerState(s *controlStream) {
	snapshot := a.receiver.Snapshot()
	rows := a.core.rows()
	s.queue(func(up *wirepb.ControlUp) {
		up.Snapshot = snapshot
		up.Rows = rows
	})
}

// writeControl sends batches when something changed and as heartbeats. What tells only of load waits for more of its kind.
func (a *Agent) writeControl(ctx context.Context, s *controlStream, stream *wire.Stream) {
	heartbeat := time.NewTicker(a.options.HeartbeatInterval)
	defer heartbeat.Stop()
	s.stir()
	var held <-chan time.Time
	for {
		stirred := false
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-held:
		case <-s.wake:
			stirred = true
			clock.Pause(ctx, a.options.BatchDelay)
		}
		status := a.status()
		if stirred {
			wait, due := s.patience(status, time.Now())
			if due && wait > 0 && held == nil {
				held = time.After(wait)
			}
			if !due || wait > 0 {
				continue
			}
		}
		held = nil
		if err := a.sendBatch(s, stream, status); err != nil {
			return
		}
	}
}

// sendBatch sends what is queued and what of the status the entry was not told.
func (a *Agent) sendBatch(s *controlStream, stream *wire.Stream, status *wirepb.Status) error {
	up := s.take()
	up.Clock = a.recorder.Clock().Now()
	up.Status = s.sent.change(status)
	s.sentAt = time.Now()
	return stream.Write(up)
}

// wait waits for d on the agent's clock or the end of ctx.
func (a *Agent) wait(ctx context.Context, d time.Duration) {
	timer := a.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// broadcast queues something for every connected entry.
func (a *Agent) broadcast(add func(*wirepb.ControlUp)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		s.queue(add)
	}
}

// issuer returns the entry that hands out permits to this agent: the highest of the connected ones by rendezvous
// hashing, so that agents with the same connections ask the same entry.
func (a *Agent) issuer() *controlStream {
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

// askPermit asks the issuer for a permit. Without one the machine's patience runs out and the load starts all the same.
func (a *Agent) askPermit(action loading.AskPermit) {
	s := a.issuer()
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
		Kind: timeline.PermitAsked, Model: action.Model, Endpoint: a.options.Endpoint, Detail: action.ID,
	})
	s.queue(func(up *wirepb.ControlUp) { up.PermitRequests = append(up.PermitRequests, request) })
}

func (a *Agent) endPermit(id string) {
	a.broadcast(func(up *wirepb.ControlUp) { up.PermitsDone = append(up.PermitsDone, id) })
}

func (a *Agent) confirmRelease(action loading.ConfirmRelease) {
	release := &wirepb.SlotRelease{Model: action.Model, Revision: action.Revision}
	a.broadcast(func(up *wirepb.ControlUp) { up.Releases = append(up.Releases, release) })
}

// wantSlot asks for another slot. Under overload each refusal asks for one, so that wishes for the same are counted
// together until the next batch.
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
