package agent

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/timeline"
)

// orderExecutor executes the loading machine's actions and returns their results to the machine.
type orderExecutor struct {
	ctx        context.Context
	agent      *Agent
	readEngine chan struct{}
	readRows   chan struct{}
	// latestReadID identifies the latest requested read of the engine's state.
	latestReadID atomic.Uint64
}

func newOrderExecutor(ctx context.Context, a *Agent) *orderExecutor {
	return &orderExecutor{ctx: ctx, agent: a, readEngine: make(chan struct{}, 1), readRows: make(chan struct{}, 1)}
}

// execute implements actionExecutor.
func (x *orderExecutor) execute(list []loading.Action) {
	for _, action := range list {
		x.executeOne(action)
	}
}

func (x *orderExecutor) executeOne(action loading.Action) {
	a := x.agent
	switch action := action.(type) {
	case loading.SendOrder:
		if isUnload(action.Order.Kind) {
			a.unloads.enter()
		}
		go x.runOrder(action)
	case loading.ReadEngine:
		x.latestReadID.Store(action.ID)
		notify(x.readEngine)
	case loading.ReadRows:
		notify(x.readRows)
	case loading.AskPermit:
		a.requestPermit(action)
	case loading.ReleasePermit:
		a.endPermit(action.ID)
	case loading.ConfirmRelease:
		a.confirmRelease(action)
	case loading.WantSlot:
		a.wantSlot(action)
	}
}

// notify wakes the receiver of a channel of capacity one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runOrder sends one order and reports its result. The order is not cancelled when the agent stops: its result would be
// lost, and the next agent would have to wait until the order can no longer take effect.
func (x *orderExecutor) runOrder(g loading.SendOrder) {
	a := x.agent
	if isUnload(g.Order.Kind) {
		defer a.unloads.exit()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), a.options.OrderTimeout)
	defer cancel()
	a.recordOrder(orderEvents[g.Order.Kind], g.Order, "")
	began := a.clock.Now()
	err := a.engine.Do(ctx, g.Order)
	took := a.clock.Now().Sub(began)
	a.metrics.observeOrder(g.Order.Kind, took, err)
	if err != nil {
		a.logger.Warn("order failed", "kind", g.Order.Kind, "model", g.Order.Model, "adapter", g.Order.Adapter, "error", err)
	}
	a.recordOrder(resultEvent(g.Order.Kind, err), g.Order, errorText(err))
	a.core.step(loading.OrderDone{ID: g.Order.ID, Err: err})
}

func isUnload(kind endpoint.OrderKind) bool {
	return kind == endpoint.OrderUnload || kind == endpoint.OrderUnloadAdapter
}

// orderEvents maps each kind of order to the timeline event recorded when it is sent.
var orderEvents = map[endpoint.OrderKind]timeline.Kind{
	endpoint.OrderLoad:          timeline.LoadOrdered,
	endpoint.OrderLoadAdapter:   timeline.LoadOrdered,
	endpoint.OrderUnload:        timeline.UnloadOrdered,
	endpoint.OrderUnloadAdapter: timeline.UnloadOrdered,
}

// resultEvent returns the timeline event for the result of an order.
func resultEvent(kind endpoint.OrderKind, err error) timeline.Kind {
	load := kind == endpoint.OrderLoad || kind == endpoint.OrderLoadAdapter
	unknown := errors.Is(err, endpoint.ErrOutcomeUnknown)
	switch {
	case load && err == nil:
		return timeline.Loaded
	case load && unknown:
		return timeline.LoadUnknown
	case load:
		return timeline.LoadFailed
	case err == nil:
		return timeline.Unloaded
	case unknown:
		return timeline.UnloadUnknown
	default:
		return timeline.UnloadFailed
	}
}

func (a *Agent) recordOrder(kind timeline.Kind, o endpoint.Order, detail string) {
	model := o.Model
	if o.Adapter != "" {
		model = o.Adapter
	}
	a.recorder.Record(timeline.Event{Kind: kind, Model: model, Endpoint: a.options.Endpoint, Detail: detail})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runEngineReads reads the engine's state whenever the machine asks for it.
//
// Each result carries the ID of the latest read requested when it began. After a long freeze the machine asks again
// while a read is still in flight, and both are executed. Without the ID, the result of the second, which nothing waits
// for, would be taken as the result of the next request although it began earlier: a model whose load finished in
// between would count as absent, and its memory would be assigned twice.
func (a *Agent) runEngineReads(ctx context.Context) {
	x := a.core.executor.(*orderExecutor)
	notify(x.readEngine)
	var monitor engineMonitor
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.readEngine:
		}
		id := x.latestReadID.Load()
		readCtx, cancel := context.WithTimeout(ctx, a.options.OrderTimeout)
		state, err := a.engine.State(readCtx)
		cancel()
		if err != nil {
			a.logger.Debug("reading the engine state failed", "error", err)
			monitor.recordLost(a)
			a.core.step(loading.EngineReadFailed{ID: id})
			continue
		}
		monitor.recordRead(a, state.Incarnation)
		a.core.step(loading.EngineRead{ID: id, State: state})
	}
}

// engineMonitor records in the timeline when the engine becomes unreachable, is reachable again, or has restarted.
type engineMonitor struct {
	unreachable bool
	incarnation string
}

func (m *engineMonitor) recordLost(a *Agent) {
	if !m.unreachable {
		a.recorder.Record(timeline.Event{Kind: timeline.EngineLost, Endpoint: a.options.Endpoint})
	}
	m.unreachable = true
}

func (m *engineMonitor) recordRead(a *Agent, incarnation string) {
	if m.unreachable || m.incarnation == "" {
		a.recorder.Record(timeline.Event{Kind: timeline.EngineRead, Endpoint: a.options.Endpoint, Detail: incarnation})
	}
	if m.incarnation != "" && m.incarnation != incarnation {
		a.recorder.Record(timeline.Event{Kind: timeline.EngineRestarted, Endpoint: a.options.Endpoint, Detail: incarnation})
	}
	m.unreachable = false
	m.incarnation = incarnation
}

// runProbe periodically checks whether a plain service is up.
func (a *Agent) runProbe(ctx context.Context) {
	timer := a.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		a.core.setServiceUp(a.probe(ctx))
		timer.Reset(a.options.ProbeInterval)
	}
}
