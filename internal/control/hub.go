package control

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/clock"
	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/fleet"
	"balsamsail/internal/watch"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

const (
	// minRelayInterval is the time between two messages of a hub while the states of engines change; those of a
	// site with rare models change a hundred times a second.
	minRelayInterval = 25 * time.Millisecond
	// subscriberBacklog is the number of messages that a gateway may be behind its hub. One that is slower is disconnected, and
	// gets everything anew when it returns.
	subscriberBacklog = 64
	// partBytes bounds a message with what the hub knows of many engines, which grows with the site. On a link of 10 Mbit/s a
	// part takes 50 ms, so that the next one arrives well within the time limits of the receiver.
	partBytes = 64 << 10
)

// Hub passes what this gateway knows of the site on to the gateways that have chosen it as their hub.
type Hub struct {
	options  Options
	fleet    *fleet.Fleet
	facts    *Facts
	replicas []*watch.Replica
	logger   *slog.Logger
	// streams counts the streams of gateways so far.
	streams atomic.Uint64
	// onUpdate receives the messages on the stream of a gateway; onLeave is called when the stream has ended.
	onUpdate func(gateway string, message *controlpb.GatewayUpdate, first bool)
	onLeave  func(gateway string)

	mu          sync.Mutex
	subscribers map[*subscriber]struct{}
	// sent is what the subscribers have been told of each engine.
	sent     map[string]sentEngine
	draining bool
	// arrived is signaled when the first subscriber arrives.
	arrived chan struct{}
}

type sentEngine struct {
	state            *fleet.EngineState
	running, queued  int
	reported, hostUp bool
}

// subscriber is a gateway that gets the state of the site from this one.
type subscriber struct {
	// name identifies the stream: a gateway may have made a new one before the end of the old one is noticed, which must not
	// take away what was said on the new one.
	name  string
	queue chan *controlpb.SiteUpdate
	// stop ends the subscriber's stream.
	stop context.CancelFunc
	// wantedPermits are the endpoints for which the gateway has asked for a permit, and when.
	wantedPermits map[string]time.Time
}

// NewHub returns a hub without subscribers that passes on the given tables.
func NewHub(options Options, f *fleet.Fleet, facts *Facts, replicas []*watch.Replica, logger *slog.Logger) *Hub {
	h := &Hub{
		options:     options,
		fleet:       f,
		facts:       facts,
		replicas:    replicas,
		logger:      logger,
		onUpdate:    func(string, *controlpb.GatewayUpdate, bool) {},
		onLeave:     func(string) {},
		subscribers: make(map[*subscriber]struct{}),
		sent:        make(map[string]sentEngine),
		arrived:     make(chan struct{}, 1),
	}
	for _, r := range replicas {
		r.OnChange(h.relayTable)
	}
	return h
}

// Subscribers returns the number of gateways that get the state of the site from this one.
func (h *Hub) Subscribers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// Drain makes all gateways choose another hub, before this one stops.
func (h *Hub) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	for s := range h.subscribers {
		s.stop()
	}
}

// Run passes on changes of engines until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	cursor := &factsCursor{}
	for ctx.Err() == nil {
		// Read before the subscribers: one that arrives after this gets these facts with its snapshot.
		end := h.facts.end()
		if h.Subscribers() == 0 {
			*cursor = end
			h.await(ctx, h.arrived, nil)
			continue
		}
		changed, factsChanged := h.fleet.Changed(), h.facts.Changed()
		now := time.Now()
		h.relayChanges(now, cursor)
		h.grantPermits(now)
		clock.Pause(ctx, minRelayInterval)
		h.await(ctx, changed, factsChanged)
	}
}

// await waits for one of two signals, for at most one interval.
func (h *Hub) await(ctx context.Context, signal, other <-chan struct{}) {
	timer := time.NewTimer(h.options.Interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-other:
	case <-timer.C:
	}
}

// relayChanges sends what has changed of engines, and new facts, to all subscribers.
func (h *Hub) relayChanges(now time.Time, cursor *factsCursor) {
	view := h.fleet.RelayView(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	update := &controlpb.SiteUpdate{Facts: h.facts.next(now, cursor)}
	present := make(map[string]bool, len(view))
	for _, e := range view {
		present[e.ID] = true
		next := sentEngine{state: e.State, running: e.Running, queued: e.Queued, reported: e.Reported, hostUp: !e.HostDown}
		last, known := h.sent[e.ID]
		if known && next == last {
			continue
		}
		h.sent[e.ID] = next
		if known && next.state == last.state {
			e.State = nil
		} else if known {
			e.CopiesUnchanged = sameCopies(next.state, last.state)
		}
		update.Engines = append(update.Engines, encodeEngine(e))
	}
	maps.DeleteFunc(h.sent, func(id string, _ sentEngine) bool { return !present[id] })
	if len(update.Engines) > 0 || update.Facts != nil {
		for _, part := range splitUpdate(update) {
			h.broadcast(part)
		}
	}
}

// splitUpdate divides the tables and engines of an update into messages of up to partBytes. A table is not divided: only the
// whole of it may replace another copy.
func splitUpdate(update *controlpb.SiteUpdate) []*controlpb.SiteUpdate {
	last := &controlpb.SiteUpdate{Facts: update.Facts}
	parts := []*controlpb.SiteUpdate{last}
	size := 0
	reserve := func(m proto.Message) {
		n := proto.Size(m)
		if size > 0 && size+n > partBytes {
			last, size = &controlpb.SiteUpdate{}, 0
			parts = append(parts, last)
		}
		size += n
	}
	for _, t := range update.Tables {
		reserve(t)
		last.Tables = append(last.Tables, t)
	}
	for _, e := range update.Engines {
		reserve(e)
		last.Engines = append(last.Engines, e)
	}
	return parts
}

func sameCopies(a, b *fleet.EngineState) bool {
	return maps.Equal(a.InMemory, b.InMemory) && maps.Equal(a.OnDisk, b.OnDisk)
}

// relayTable sends a change of a table to all subscribers.
func (h *Hub) relayTable(c watch.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.subscribers) > 0 {
		h.broadcast(&controlpb.SiteUpdate{Tables: []*controlpb.TableChange{encodeTable(time.Now(), c)}})
	}
}

// broadcast queues a message for all subscribers. The caller holds mu.
func (h *Hub) broadcast(update *controlpb.SiteUpdate) {
	for s := range h.subscribers {
		s.send(update)
	}
}

// send queues a message for a subscriber, which is disconnected if it is too far behind.
func (s *subscriber) send(update *controlpb.SiteUpdate) {
	select {
	case s.queue <- update:
	default:
		s.stop()
	}
}

// serveStream serves the stream of a gateway until it ends.
func (h *Hub) serveStream(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &subscriber{
		name:          fmt.Sprintf("%s#%d", header.Entry, h.streams.Add(1)),
		queue:         make(chan *controlpb.SiteUpdate, subscriberBacklog),
		stop:          cancel,
		wantedPermits: make(map[string]time.Time),
	}
	if !h.add(s) {
		return
	}
	defer h.remove(s)
	h.logger.Info("gateway uses this one as its hub", "event", "subscriber", "peer", header.Entry)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		err := h.read(s, stream)
		h.logger.Info("gateway has left this hub", "event", "subscriber_lost", "peer", header.Entry, "error", err)
	})
	if err := h.write(ctx, s, stream); err != nil {
		h.logger.Info("cannot send to gateway", "event", "subscriber_failed", "peer", header.Entry, "error", err)
	}
	_ = stream.Close()
	reader.Wait()
}

func (h *Hub) add(s *subscriber) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.subscribers[s] = struct{}{}
	wake(h.arrived)
	return true
}

// remove forgets a subscriber and what its requests ask for and use.
func (h *Hub) remove(s *subscriber) {
	h.mu.Lock()
	delete(h.subscribers, s)
	h.mu.Unlock()
	h.fleet.SetRelayedUse(s.name, nil)
	h.onLeave(s.name)
}

// snapshot returns everything that this gateway knows, in parts. The subscriber is already registered: changes that it gets
// after the snapshot are ones that the snapshot may contain, and are dropped as older, or applied twice.
func (h *Hub) snapshot() []*controlpb.SiteUpdate {
	now := time.Now()
	update := &controlpb.SiteUpdate{}
	for _, r := range h.replicas {
		if c, known := r.Snapshot(); known {
			update.Tables = append(update.Tables, encodeTable(now, c))
		}
	}
	for _, e := range h.fleet.RelayView(now) {
		update.Engines = append(update.Engines, encodeEngine(e))
	}
	parts := splitUpdate(update)
	cursor := &factsCursor{}
	for facts := h.facts.next(now, cursor); facts != nil; facts = h.facts.next(now, cursor) {
		parts = append(parts, &controlpb.SiteUpdate{Facts: facts})
	}
	for _, part := range parts[:len(parts)-1] {
		part.More = true
	}
	return parts
}

// status returns a message without changes, which says how recent the hub's copies of the tables are. It repeats the limits
// that endpoints name: a gateway may not have known an endpoint before.
func (h *Hub) status(now time.Time) *controlpb.SiteUpdate {
	update := &controlpb.SiteUpdate{Limits: encodeLimits(now, h.fleet.Limits(now))}
	for _, r := range h.replicas {
		if c, known := r.Status(); known {
			update.Tables = append(update.Tables, encodeTable(now, c))
		}
	}
	return update
}

func (h *Hub) write(ctx context.Context, s *subscriber, stream *wire.Stream) error {
	for _, part := range h.snapshot() {
		if err := stream.Write(part); err != nil {
			return err
		}
	}
	heartbeat := time.NewTicker(h.options.Heartbeat)
	defer heartbeat.Stop()
	for {
		var update *controlpb.SiteUpdate
		select {
		case <-ctx.Done():
			return nil
		case update = <-s.queue:
		case now := <-heartbeat.C:
			update = h.status(now)
		}
		if err := stream.Write(update); err != nil {
			return err
		}
	}
}

func (h *Hub) read(s *subscriber, stream *wire.Stream) error {
	for first := true; ; first = false {
		if err := stream.SetReadDeadline(time.Now().Add(h.options.SilenceLimit)); err != nil {
			return err
		}
		message := &controlpb.GatewayUpdate{}
		if err := stream.Read(message); err != nil {
			return err
		}
		for id, adapters := range decodeAdapters(message.Wanted) {
			h.fleet.WantAdapters(id, adapters)
		}
		h.fleet.SetRelayedUse(s.name, decodeAdapters(message.Used))
		now := time.Now()
		h.fleet.ApplyLimits(now, decodeLimits(now, message.Limits))
		h.facts.apply(now, message.Facts)
		h.requestPermits(now, s, message.WantedPermits)
		h.onUpdate(s.name, message, first)
	}
}
