package engineagent

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// Engine makes the calls of the engine.
type Engine interface {
	// Report reads the engine's word on itself.
	Report(ctx context.Context) (*Report, error)
	// Order gives an order. The error says why the result is Unknown or Rejected.
	Order(ctx context.Context, o Order) (Result, error)
}

// Options are the settings of an Agent.
type Options struct {
	ReportInterval time.Duration
	// Timeout bounds one call of the engine.
	Timeout time.Duration
	// Heartbeat is the longest time between two messages to a gateway, and SilenceLimit the silence after which a gateway's
	// stream ends.
	Heartbeat, SilenceLimit time.Duration
	Wire                    wire.Options
}

// loadStep is the change of an engine's requests that is told before the next heartbeat.
const loadStep = 2

// Agent drives a Core: it makes the calls and talks to the gateways.
type Agent struct {
	options Options
	engine  Engine
	logger  *slog.Logger
	metrics *Metrics

	mu       sync.Mutex
	core     *Core
	state    *controlpb.EngineState
	running  int
	queued   int
	gateways []string
	changed  chan struct{}
	wake     chan struct{}
	dark     bool
}

// New returns an agent beside an engine.
func New(options Options, engine Engine, logger *slog.Logger, metrics *Metrics) *Agent {
	return &Agent{
		options: options,
		engine:  engine,
		logger:  logger,
		metrics: metrics,
		core:    NewCore(options.ReportInterval),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Run reads reports and gives orders until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		action := a.core.Next(time.Now())
		a.mu.Unlock()
		switch {
		case action.Read:
			a.read(ctx)
		case action.Order != nil:
			a.order(ctx, *action.Order)
		default:
			a.sleep(ctx, time.Until(action.At))
		}
	}
}

func (a *Agent) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

func (a *Agent) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	report, err := a.engine.Report(ctx)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.reported(now, report, len(a.gateways))
	if err != nil {
		if !a.dark {
			a.dark = true
			a.logger.Warn("engine does not report", "event", "engine_lost", "error", err)
		}
		a.core.NoReport(now)
		a.publish(now)
		return
	}
	if a.dark {
		a.dark = false
		a.logger.Info("engine reports again", "event", "engine_back", "sequence", report.Sequence)
	}
	a.core.Reported(now, report)
	a.publish(now)
}

func (a *Agent) order(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	began := time.Now()
	result, err := a.engine.Order(ctx, o)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.ordered(o, result, now.Sub(began))
	a.logger.Info("order given", "event", "order", "unload", o.Kind == Unload, "model", o.Model, "adapter", o.Adapter,
		"endpoint", o.EndpointID, "sequence", o.Sequence, "result", result.String(), "error", err)
	a.core.Answered(now, o, result)
	a.publish(now)
}

// publish works out what the gateways should know and wakes their streams where it has changed. The lock is held.
func (a *Agent) publish(now time.Time) {
	state := a.core.state(now)
	if state == nil {
		return
	}
	age := state.CommandAgeMs
	state.CommandAgeMs = 0
	gateways := a.core.Gateways(now)
	slices.Sort(gateways)
	running, queued := a.core.load()
	loadChanged := abs(running-a.running)+abs(queued-a.queued) >= loadStep
	structureChanged := a.state == nil || !equalButAge(a.state, state) || !slices.Equal(gateways, a.gateways)
	state.CommandAgeMs = age
	if !structureChanged && !loadChanged {
		return
	}
	a.running, a.queued = running, queued
	if structureChanged {
		a.state, a.gateways = state, gateways
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func equalButAge(a, b *controlpb.EngineState) bool {
	age := a.CommandAgeMs
	a.CommandAgeMs = b.CommandAgeMs
	equal := proto.Equal(a, b)
	a.CommandAgeMs = age
	return equal
}

func abs(n int) int { return max(n, -n) }

// Serve takes the links of gateways until ctx ends.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	return wire.Serve(ctx, listener, a.options.Wire, a.logger, a.serveStream)
}

func (a *Agent) serveStream(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.logger.Info("gateway connected", "event", "link_made", "peer", header.Entry)
	var writer sync.WaitGroup
	writer.Go(func() { a.write(ctx, stream) })
	err := a.receive(header.Entry, stream)
	a.logger.Info("gateway gone", "event", "link_lost", "peer", header.Entry, "error", err)
	cancel()
	_ = stream.Close()
	writer.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.Forget(header.Entry)
}

func (a *Agent) receive(name string, stream *wire.Stream) error {
	for {
		if err := stream.SetReadDeadline(time.Now().Add(a.options.SilenceLimit)); err != nil {
			return err
		}
		message := &controlpb.ToAgent{}
		if err := stream.Read(message); err != nil {
			return err
		}
		a.mu.Lock()
		a.core.FromGateway(time.Now(), name, decode(message))
		a.mu.Unlock()
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// write tells a gateway what changes, and at each heartbeat.
func (a *Agent) write(ctx context.Context, stream *wire.Stream) {
	var sentState *controlpb.EngineState
	var sentGateways []string
	heartbeat := time.NewTicker(a.options.Heartbeat)
	defer heartbeat.Stop()
	for {
		a.mu.Lock()
		changed := a.changed
		message := &controlpb.FromAgent{Running: int32(a.running), Queued: int32(a.queued)}
		if a.state != sentState {
			message.State = a.state
		}
		if sentGateways == nil || !slices.Equal(a.gateways, sentGateways) {
			message.Gateways = &controlpb.GatewayList{Addresses: a.gateways}
		}
		sentState, sentGateways = a.state, a.gateways
		a.mu.Unlock()
		if err := stream.Write(message); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
		}
	}
}
