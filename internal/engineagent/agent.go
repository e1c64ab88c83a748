package engineagent

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// Engine is a client of the engine's control API. An engine may send an answer once more where the next one on the connection is due.
type Engine interface {
	// Report reads the engine's report over a connection that is kept; it may be an earlier one. With newConnection it is not.
	Report(ctx context.Context, newConnection bool) (*Report, error)
	// Order sends an order. The error says why the result is Unknown or Rejected.
	Order(ctx context.Context, o Order) (Result, error)
}

// Options are the settings of an Agent.
type Options struct {
	ReportInterval time.Duration
	// Timeout bounds one call to the engine.
	Timeout time.Duration
	// Heartbeat is the longest time between two messages to a gateway, and SilenceLimit the time without a message after
	// which a gateway's stream is closed.
	Heartbeat, SilenceLimit time.Duration
	Wire                    wire.Options
}

// loadChangeThreshold is the change in the engine's request counts that is sent without waiting for the next heartbeat.
const loadChangeThreshold = 2

// Agent runs a Core: it makes the calls to the engine and exchanges messages with the gateways.
type Agent struct {
	options Options
	engine  Engine
	logger  *slog.Logger
	metrics *Metrics

	mu   sync.Mutex
	core *Core
	// state is the published state, as of publishedAt.
	state       *controlpb.EngineState
	publishedAt time.Time
	running     int
	queued      int
	gateways    []string
	changed     chan struct{}
	wakeup      chan struct{}
	engineLost  bool
	// streams is the number of gateways' streams so far.
	streams uint64
}

// New returns the agent of an engine.
func New(options Options, engine Engine, logger *slog.Logger, metrics *Metrics) *Agent {
	return &Agent{
		options: options,
		engine:  engine,
		logger:  logger,
		metrics: metrics,
		core:    NewCore(options.ReportInterval),
		changed: make(chan struct{}),
		wakeup:  make(chan struct{}, 1),
	}
}

// Run reads reports and sends orders until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		action := a.core.Next(time.Now())
		a.mu.Unlock()
		switch {
		case action.Read:
			a.readReport(ctx, action.NewConnection)
		case action.Order != nil:
			a.sendOrder(ctx, *action.Order)
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
	case <-a.wakeup:
	case <-timer.C:
	}
}

func (a *Agent) readReport(ctx context.Context, newConnection bool) {
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	report, err := a.engine.Report(ctx, newConnection)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.observeReport(now, report, len(a.gateways))
	started := a.core.started
	if err != nil {
		a.core.HandleReportFailure(now)
	} else {
		err = a.core.HandleReport(now, report)
	}
	if errors.Is(err, ErrUnproven) {
		a.logger.Info("engine report is read again", "event", "report_unproven", "error", err)
		return
	}
	if err != nil {
		if !a.engineLost {
			a.engineLost = true
			a.logger.Warn("failed to read engine report", "event", "engine_lost", "error", err)
		}
		a.publish(now)
		return
	}
	if a.engineLost {
		a.engineLost = false
		a.logger.Info("engine report available again", "event", "engine_back", "sequence", report.Sequence)
	}
	if started != 0 && report.Started != started {
		a.logger.Info("engine has restarted", "event", "engine_restarted", "started", report.Started, "before", started, "sequence", report.Sequence)
	}
	a.publish(now)
}

func (a *Agent) sendOrder(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	started := time.Now()
	result, err := a.engine.Order(ctx, o)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.observeOrder(o, result, now.Sub(started))
	a.logger.Info("order sent to engine", "event", "order", "unload", o.Kind == Unload, "model", o.Model, "adapter", o.Adapter,
		"endpoint", o.EndpointID, "sequence", o.Sequence, "result", result.String(), "error", err)
	a.core.HandleOrderResult(now, o, result)
	a.publish(now)
}

// publish updates the state that is sent to gateways and wakes the streams' writers if it has changed. The caller holds mu.
func (a *Agent) publish(now time.Time) {
	state := a.core.state(now)
	if state == nil {
		return
	}
	gateways := a.core.Gateways(now)
	slices.Sort(gateways)
	running, queued := a.core.requestCounts()
	loadChanged := abs(running-a.running)+abs(queued-a.queued) >= loadChangeThreshold
	stateChanged := a.state == nil || !equalExceptAge(a.state, state) || !slices.Equal(gateways, a.gateways)
	if !stateChanged && !loadChanged {
		return
	}
	a.running, a.queued = running, queued
	if stateChanged {
		a.state, a.publishedAt, a.gateways = state, now, gateways
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// equalExceptAge reports whether two states are equal but for the age of the command. It does not write to the published one, which the
// streams' writers encode meanwhile.
func equalExceptAge(published, next *controlpb.EngineState) bool {
	age := next.CommandAgeMs
	next.CommandAgeMs = published.CommandAgeMs
	defer func() { next.CommandAgeMs = age }()
	return proto.Equal(published, next)
}

func abs(n int) int { return max(n, -n) }

// Serve accepts links of gateways until ctx is done.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	return wire.Serve(ctx, listener, a.options.Wire, a.logger, a.serveStream)
}

func (a *Agent) serveStream(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.mu.Lock()
	a.streams++
	number := a.streams
	a.mu.Unlock()
	a.logger.Info("gateway connected", "event", "link_made", "peer", header.Entry)
	var writer sync.WaitGroup
	writer.Go(func() { a.write(ctx, stream) })
	err := a.receive(header.Entry, number, stream)
	a.logger.Info("gateway disconnected", "event", "link_lost", "peer", header.Entry, "error", err)
	cancel()
	_ = stream.Close()
	writer.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.RemoveGateway(header.Entry, number)
}

func (a *Agent) receive(name string, number uint64, stream *wire.Stream) error {
	for {
		if err := stream.SetReadDeadline(time.Now().Add(a.options.SilenceLimit)); err != nil {
			return err
		}
		message := &controlpb.ToAgent{}
		if err := stream.Read(message); err != nil {
			return err
		}
		decoded := decode(message)
		decoded.Stream = number
		a.mu.Lock()
		a.core.HandleGatewayMessage(time.Now(), name, decoded)
		a.mu.Unlock()
		select {
		case a.wakeup <- struct{}{}:
		default:
		}
	}
}

// stateAsOf returns the published state with the age of its command at a time. The caller holds mu.
func (a *Agent) stateAsOf(now time.Time) *controlpb.EngineState {
	if a.state == nil || len(a.state.Unloading) == 0 && a.state.Loading == "" {
		return a.state
	}
	state := proto.CloneOf(a.state)
	state.CommandAgeMs += now.Sub(a.publishedAt).Milliseconds()
	return state
}

// write sends a gateway the state whenever it changes and at each heartbeat.
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
			message.State = a.stateAsOf(time.Now())
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
