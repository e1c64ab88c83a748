// Package agent is the process beside one endpoint: the only one that gives the endpoint orders. It queues the requests
// that entries offer, loads and unloads models within the granted slots, and drains when the endpoint leaves.
//
// core joins the deciding slices under one lock; the rest of the package is the shell around it: request streams,
// control streams, orders, and the reads of the engine's state and of the table.
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

// ErrDrainTimeout says that requests were still running when the time for draining was over.
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
	// OperatorAddress is where the agent serves metrics and the time line, told to the entries.
	OperatorAddress string
	// Incarnation rises with each start of the agent.
	Incarnation uint64
	// Capacity is how many requests run at once where nothing else is declared.
	Capacity int
	Queue    admission.Options
	// LongestHold bounds how long a batch request waits for others before it wakes a model.
	LongestHold time.Duration
	Loading     loading.Options
	Wire        wire.Options
	// HeartbeatInterval is the longest time between batches on a control stream.
	HeartbeatInterval time.Duration
	// BatchDelay is how long changes are gathered before a batch is sent.
	BatchDelay time.Duration
	// OrderTimeout bounds the wait for an order's answer.
	OrderTimeout time.Duration
	// ProbeInterval is the time between checks that a plain service answers.
	ProbeInterval time.Duration
	// CommitTimeout bounds the wait for an entry's commit after Ready.
	CommitTimeout time.Duration
	// MaxAnswer bounds the time of one answer once begun.
	MaxAnswer time.Duration
	// DrainTimeout bounds the wait for running requests at a stop.
	DrainTimeout time.Duration
	// TableRetry is the time between reads of the grants while the table does not answer.
	TableRetry time.Duration
}

// Dependencies are what an Agent works with.
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

// IdlePolicy is a loading.IdlePolicy whose weights the operators declare.
type IdlePolicy interface {
	loading.IdlePolicy
	// SetWeights sets the cost of a second of a cold start and of a second in which an accelerator idles.
	SetWeights(coldStart, idle float64)
}

// Agent is the process beside one endpoint.
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
	// unloads are the unload orders on their way.
	unloads inflight
	// calls ends when the time to drain is over: a call that hangs at the endpoint must not hold the stop up any longer.
	calls context.Context
	// offers counts the offers, to tell them from each other.
	offers atomic.Uint64

	// declaring is held while declarations are put in force.
	declaring sync.Mutex

	mu sync.Mutex
	// streams are the control streams. An entry that gave one up may have another one here before the first has ended.
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
	a.core.longestHold = o.LongestHold
	a.core.changed = a.stir
	return a
}

// Ready returns nil once the agent knows its endpoint's state and takes offers, else what is missing.
func (a *Agent) Ready() []string {
	if a.core.isReady() {
		return nil
	}
	return []string{"the endpoint's state is not known yet"}
}

// Leave stops the taking of new work; what runs is finished. It may be called more than once.
func (a *Agent) Leave() {
	a.recorder.Record(timeline.Event{Kind: timeline.DrainStarted, Endpoint: a.options.Endpoint})
	a.core.leave()
}

// Run serves on the listener until ctx ends, then drains: it takes no new work, lets running requests end within the
// drain time, and returns.
//
// The listener must have been made without address reuse among processes: that no second agent gives the same endpoint
// orders rests on the kernel, which lets only one process hold the address for as long as that process exists, frozen or
// not. So nothing is ordered before the listener is held.
func (a *Agent) Run(ctx context.Context, listener net.Listener) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	calls, cutCalls := context.WithCancel(context.WithoutCancel(ctx))
	a.calls = calls
	a.core.perform = newActions(serving, a)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopServing()
	defer cutCalls()
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

// start begins the reads that the endpoint's kind needs.
func (a *Agent) start(ctx context.Context, tasks *sync.WaitGroup) {
	if a.options.Kind == KindService {
		tasks.Go(func() { a.runProbe(ctx) })
		return
	}
	a.core.step(loading.Tick{})
	tasks.Go(func() { a.runEngineReads(ctx) })
	tasks.Go(func() { a.runRowReads(ctx) })
}

// drainLinger is how long connections are kept after the last answer was written. A connection that is closed with
// unread input, such as a heartbeat on its way, is reset, and a reset may overtake the answer's last bytes.
const drainLinger = 500 * time.Millisecond

// drain waits for the running requests.
func (a *Agent) drain() error {
	timer := a.clock.NewTimer(a.options.DrainTimeout)
	defer timer.Stop()
	select {
	case <-a.requests.empty():
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

// awaitUnloads waits for the unloads that are on their way, as long as there is time. One that reached an engine without a
// check of fencing numbers after the next agent has begun to serve would cut that agent's requests. Loads cut nothing, and
// would hold the stop up for long.
func (a *Agent) awaitUnloads(timer clock.Timer) {
	select {
	case <-a.unloads.empty():
	case <-timer.C():
		a.logger.Warn("stopped with an unload on its way")
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
		a.logger.Warn("stream of an unknown kind", "kind", header.Kind, "entry", header.Entry)
	}
}

// runTimer lets time pass in the core.
func (a *Agent) runTimer(ctx context.Context) {
	const longest = 250 * time.Millisecond
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
		wait := longest
		if next := a.core.expire(); !next.IsZero() {
			wait = min(longest, max(time.Millisecond, next.Sub(a.clock.Now())))
		}
		timer.Reset(wait)
	}
}

// stir wakes the control streams' writers.
func (a *Agent) stir() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		s.stir()
	}
}
