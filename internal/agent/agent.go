// Package agent implements the process that runs beside one endpoint and is the only one that sends it orders. It
// queues the requests that entries offer, loads and unloads models within the granted slots, and drains when the
// endpoint leaves.
//
// core combines the admission queue and the loading state machine under one lock, without I/O. The rest of the package
// does the I/O around it: request streams, control streams, orders, and reads of the engine's state and of the table.
package agent

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"balsamsail/internal/admission"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
	"balsamsail/internal/wire/wirepb"
)

// ErrDrainTimeout is returned when requests were still running at the end of the drain timeout.
var ErrDrainTimeout = errors.New("agent: requests still running at the end of the drain time")

// The kinds of endpoints.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Options are the settings of an Agent.
type Options struct {
	// Endpoint is the endpoint's name and Kind KindEngine or KindService.
	Endpoint, Kind string
	FailureDomain  string
	Labels         map[string]string
	// Host is the identifier of the host in the platform's list.
	Host string
	// OperatorAddress is where the agent serves metrics and the timeline. It is reported to the entries.
	OperatorAddress string
	// Incarnation increases with each start of the agent.
	Incarnation uint64
	// Capacity is the concurrency limit of a target that declares none.
	Capacity int
	Queue    admission.Options
	// MaxBatchHold is the longest time a batch request for a model that is not loaded is held so that one load serves
	// several requests.
	MaxBatchHold time.Duration
	Loading      loading.Options
	Wire         wire.Options
	// HeartbeatInterval is the longest time between batches on a control stream.
	HeartbeatInterval time.Duration
	// BatchDelay is how long changes are collected before a batch is sent.
	BatchDelay time.Duration
	// OrderTimeout bounds an order and a read of the engine's state.
	OrderTimeout time.Duration
	// ProbeInterval is the time between health checks of a plain service.
	ProbeInterval time.Duration
	// CommitTimeout bounds the wait for an entry's commit after Ready.
	CommitTimeout time.Duration
	// MaxCallDuration bounds the duration of one endpoint call.
	MaxCallDuration time.Duration
	// DrainTimeout bounds the wait for running requests during a shutdown.
	DrainTimeout time.Duration
	// TableRetryInterval is the delay between attempts to read the grants while the table is unavailable.
	TableRetryInterval time.Duration
}

// Dependencies are the components that an Agent uses.
type Dependencies struct {
	Engine     endpoint.Engine
	Caller     endpoint.Caller
	Table      backing.Table
	Policy     IdlePolicy
	Clock      clock.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	Recorder   *timeline.Recorder
}

// IdlePolicy is a loading.IdlePolicy with adjustable weights, which operators declare.
type IdlePolicy interface {
	loading.IdlePolicy
	// SetWeights sets the cost of one second of cold start and of one second of an idle accelerator.
	SetWeights(coldStart, idle float64)
}

// Agent runs beside one endpoint and is the only process that sends it orders.
type Agent struct {
	options  Options
	engine   endpoint.Engine
	caller   endpoint.Caller
	table    backing.Table
	clock    clock.Clock
	logger   *slog.Logger
	recorder *timeline.Recorder
	metrics  *metrics

	core     *core
	receiver *declarations.Receiver
	requests inflight
	// unloads counts the unload orders in flight.
	unloads inflight
	// callsCtx is the parent context of endpoint calls. It is cancelled when the drain has ended or timed out, so that
	// a hanging call cannot delay the shutdown further.
	callsCtx context.Context
	// offerCount numbers the offers, to make their queue keys unique.
	offerCount atomic.Uint64

	// declareMu is held while declarations are received and applied to the core.
	declareMu sync.Mutex

	mu sync.Mutex
	// streams are the open control streams. An entry that reconnects may have a second one here before the first has
	// ended.
	streams  map[*controlStream]struct{}
	released map[string]uint64
}

// New returns an agent; Run starts it.
func New(o Options, d Dependencies) *Agent {
	a := &Agent{
		options:  o,
		engine:   d.Engine,
		caller:   d.Caller,
		table:    d.Table,
		clock:    d.Clock,
		logger:   d.Logger,
		recorder: d.Recorder,
		metrics:  newMetrics(d.Registerer),
		receiver: declarations.NewReceiver(),
		streams:  map[*controlStream]struct{}{},
		released: map[string]uint64{},
	}
	var machine *loading.Machine
	if o.Kind == KindEngine {
		machine = loading.NewMachine(o.Loading, d.Policy)
	}
	a.core = newCore(d.Clock, admission.NewQueue(o.Queue), machine, d.Policy, o.Capacity)
	a.core.maxBatchHold = o.MaxBatchHold
	a.core.onChange = a.wakeWriters
	return a
}

// Ready returns nil once the state of the endpoint has been read and offers are accepted, otherwise the missing
// conditions.
func (a *Agent) Ready() []string {
	if a.core.isReady() {
		return nil
	}
	return []string{"the endpoint's state is not known yet"}
}

// Leave stops accepting new work; running requests finish. It may be called more than once.
func (a *Agent) Leave() {
	a.recorder.Record(timeline.Event{Kind: timeline.DrainStarted, Endpoint: a.options.Endpoint})
	a.core.leave()
}

// Run serves on the listener until ctx is done and then drains: it accepts no new work, waits up to the drain timeout
// for running requests, and returns.
//
// The listener must not share its address with other processes (no SO_REUSEPORT). The kernel lets only one process hold
// the address for as long as that process exists, even while it is frozen, and this is what prevents a second agent
// from sending orders to the same endpoint. Hence no order is sent before the listener is held.
func (a *Agent) Run(ctx context.Context, listener net.Listener) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	callsCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	a.callsCtx = callsCtx
	a.core.executor = newOrderExecutor(serving, a)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopServing()
	defer cancelCalls()
	served := make(chan error, 1)
	tasks.Go(func() { served <- wire.Serve(serving, listener, a.options.Wire, a.logger, a.serveStream) })
	tasks.Go(func() { a.runTimer(serving) })
	a.start(serving, &tasks)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	a.Leave()
	return a.drain()
}

// start begins the background reads that the endpoint's kind needs.
func (a *Agent) start(ctx context.Context, tasks *sync.WaitGroup) {
	if a.options.Kind == KindService {
		tasks.Go(func() { a.runProbe(ctx) })
		return
	}
	a.core.step(loading.Tick{})
	tasks.Go(func() { a.runEngineReads(ctx) })
	tasks.Go(func() { a.runRowReads(ctx) })
}

// drainLinger is how long connections are kept open after the last response was written. Closing a connection with
// unread input, such as a heartbeat in transit, resets it, and the reset may discard the last bytes of the response.
const drainLinger = 500 * time.Millisecond

// drain waits for the running requests to finish.
func (a *Agent) drain() error {
	timer := a.clock.NewTimer(a.options.DrainTimeout)
	defer timer.Stop()
	select {
	case <-a.requests.drained():
	case <-timer.C():
		return ErrDrainTimeout
	}
	a.recorder.Record(timeline.Event{Kind: timeline.DrainDone, Endpoint: a.options.Endpoint})
	linger := a.clock.NewTimer(drainLinger)
	defer linger.Stop()
	<-linger.C()
	a.awaitUnloads(timer)
	return nil
}

// awaitUnloads waits for the unload orders in flight until the drain timeout. If an unload reached an engine that does
// not check fencing tokens after the next agent had begun to serve, it would abort that agent's requests. Loads abort
// nothing and would delay the shutdown for long, so they are not awaited.
func (a *Agent) awaitUnloads(timer clock.Timer) {
	select {
	case <-a.unloads.drained():
	case <-timer.C():
		a.logger.Warn("stopping with unload orders still in flight")
	}
}

// serveStream serves one stream that an entry opened.
func (a *Agent) serveStream(ctx context.Context, header *wirepb.StreamHeader, stream *wire.Stream) {
	switch header.Kind {
	case wirepb.StreamKind_REQUEST:
		a.requests.enter()
		defer a.requests.exit()
		a.serveRequest(stream)
	case wirepb.StreamKind_CONTROL:
		a.serveControl(ctx, header, stream)
	default:
		a.logger.Warn("stream of unknown kind", "kind", header.Kind, "entry", header.Entry)
	}
}

// runTimer periodically expires requests and ticks the loading machine.
func (a *Agent) runTimer(ctx context.Context) {
	const maxInterval = 250 * time.Millisecond
	timer := a.clock.NewTimer(0)
	defer timer.Stop()
	var meter idleMeter
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		meter.observe(a.clock.Now(), a.core.status(), a.metrics.addIdle)
		wait := maxInterval
		if next := a.core.expire(); !next.IsZero() {
			wait = min(maxInterval, max(time.Millisecond, next.Sub(a.clock.Now())))
		}
		timer.Reset(wait)
	}
}

// wakeWriters wakes the writers of all control streams.
func (a *Agent) wakeWriters() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		s.wakeWriter()
	}
}
