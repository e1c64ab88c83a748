package agent

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/loading"
	"balsamsail/internal/timeline"
)

// actions carries out the loading machine's actions and feeds their results back.
type actions struct {
	ctx   context.Context
	agent *Agent
	reads chan struct{}
	rows  chan struct{}
	// readID is the newest read of the engine's state that was asked for.
	readID atomic.Uint64
}

func newActions(ctx context.Context, a *Agent) *actions {
	return &actions{ctx: ctx, agent: a, reads: make(chan struct{}, 1), rows: make(chan struct{}, 1)}
}

// perform implements performer.
func (x *actions) perform(list []loading.Action) {
	for _, action := range list {
		x.performOne(action)
	}
}

func (x *actions) performOne(action loading.Action) {
	a := x.agent
	switch action := action.(type) {
	case loading.GiveOrder:
		if isUnload(action.Order.Kind) {
			a.unloads.enter()
		}
		go x.order(action)
	case loading.ReadEngine:
		x.readID.Store(action.ID)
		nudge(x.reads)
	case loading.ReadRows:
		nudge(x.rows)
	case loading.AskPermit:
		a.askPermit(action)
	case loading.EndPermit:
		a.endPermit(action.ID)
	case loading.ConfirmRelease:
		a.confirmRelease(action)
	case loading.WantSlot:
		a.wantSlot(action)
	}
}

// nudge wakes the receiver of a channel of capacity one.
func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// order gives one order and reports its result. The order is not cancelled when the agent stops: its answer would be
// lost and the next agent would have to wait out the order's life.
func (x *actions) order(g loading.GiveOrder) {
	a := x.agent
	if isUnload(g.Order.Kind) {
		defer a.unloads.exit()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), a.options.OrderTimeout)
	defer cancel()
	a.recordOrder(orderKinds[g.Order.Kind], g.Order, "")
	began := a.clock.Now()
	err := a.engine.Do(ctx, g.Order)
	took := a.clock.Now().Sub(began)
	a.metrics.observeOrder(g.Order.Kind, took, err)
	if err != nil {
		a.logger.Warn("order failed", "kind", g.Order.Kind, "model", g.Order.Model, "adapter", g.Order.Adapter, "error", err)
	}
	a.recordOrder(resultKind(g.Order.Kind, err), g.Order, detail(err))
	a.core.step(loading.OrderDone{ID: g.Order.ID, Err: err})
}

func isUnload(kind endpoint.OrderKind) bool {
	return kind == endpoint.OrderUnload || kind == endpoint.OrderUnloadAdapter
}

// orderKinds maps orders to the events of their sending.
var orderKinds = map[endpoint.OrderKind]timeline.Kind{
	endpoint.OrderLoad:          timeline.LoadOrdered,
	endpoint.OrderLoadAdapter:   timeline.LoadOrdered,
	endpoint.OrderUnload:        timeline.UnloadOrdered,
	endpoint.OrderUnloadAdapter: timeline.UnloadOrdered,
}

// resultKind is the event of an order's end.
func resultKind(kind endpoint.OrderKind, err error) timeline.Kind {
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

func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// runEngineReads reads the engine's state whenever the machine asks.
//
// Each answer names the read that was asked for when it began. After a long freeze the machine asks again for a read that
// is still under way, and both are made. Without the name the second one, which nobody waits for, would pass for the
// answer to the next question, although it began before: a model whose load had ended in between would count as absent,
// and its memory would be handed out twice.
func (a *Agent) runEngineReads(ctx context.Context) {
	x := a.core.perform.(*actions)
	nudge(x.reads)
	var watch engineWatch
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.reads:
		}
		id := x.readID.Load()
		readCtx, cancel := context.WithTimeout(ctx, a.options.OrderTimeout)
		state, err := a.engine.State(readCtx)
		cancel()
		if err != nil {
			a.logger.Debug("engine state not read", "error", err)
			watch.lost(a)
			a.core.step(loading.EngineLost{ID: id})
			continue
		}
		watch.read(a, state.Incarnation)
		a.core.step(loading.EngineRead{ID: id, State: state})
	}
}

// engineWatch tells the time line when the engine is lost, is back, or has restarted.
type engineWatch struct {
	missing     bool
	incarnation string
}

func (w *engineWatch) lost(a *Agent) {
	if !w.missing {
		a.recorder.Record(timeline.Event{Kind: timeline.EngineLost, Endpoint: a.options.Endpoint})
	}
	w.missing = true
}

func (w *engineWatch) read(a *Agent, incarnation string) {
	if w.missing || w.incarnation == "" {
		a.recorder.Record(timeline.Event{Kind: timeline.EngineRead, Endpoint: a.options.Endpoint, Detail: incarnation})
	}
	if w.incarnation != "" && w.incarnation != incarnation {
		a.recorder.Record(timeline.Event{Kind: timeline.EngineRestarted, Endpoint: a.options.Endpoint, Detail: incarnation})
	}
	w.missing = false
	w.incarnation = incarnation
}

// runProbe checks that a plain service answers.
func (a *Agent) runProbe(ctx context.Context) {
	timer := a.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
		}
		a.core.setUp(a.probe(ctx))
		timer.Reset(a.options.ProbeInterval)
	}
}
