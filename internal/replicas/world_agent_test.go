package replicas

import (
	"maps"
	"math/rand/v2"
	"slices"

	"balsamsail/internal/replicas/replicaspb"
)

// order is a load or unload in flight to an engine; it may take effect at any later time.
type order struct {
	model string
	load  bool
}

// simEngine is an engine on a host and its agent. The agent follows the rules that the decision relies on: it loads
// only under GRANTED slots of its own host that it has received, confirms a release only when nothing is loaded or in
// flight, and after a restart waits for its predecessor's orders and reads the rows from the table first.
type simEngine struct {
	EngineView
	alive bool
	// connected is true while the entries reach the agent, frozen while the agent is suspended.
	connected, frozen bool
	loaded            map[string]bool
	orders            []order
	ready             bool
	// floor is the table revision at which the agent read the rows.
	floor  uint64
	rows   map[string]*replicaspb.Row
	fences map[string]uint64
	// ignoresHost makes the agent use any slot with the engine's name, as a faulty agent would.
	ignoresHost bool
}

func newSimEngine(view EngineView, ignoresHost bool) *simEngine {
	e := &simEngine{EngineView: view, alive: true, connected: true, loaded: map[string]bool{}, ignoresHost: ignoresHost}
	e.restartAgent()
	return e
}

// restartAgent replaces the agent by a new one without state.
func (e *simEngine) restartAgent() {
	e.ready = false
	e.frozen = false
	e.floor = 0
	e.rows = map[string]*replicaspb.Row{}
	e.fences = map[string]uint64{}
}

// start makes a restarted agent ready: it reads all rows from the table. Rows received later at revisions up to floor
// were sent before this read; the predecessor may have released what they grant.
func (e *simEngine) start(rows map[string]*replicaspb.Row, floor uint64) {
	if e.ready || len(e.orders) > 0 {
		return
	}
	e.ready = true
	defer func() { e.floor = floor }()
	for _, row := range rows {
		e.receiveRow(row)
	}
}

func (e *simEngine) receiveRow(row *replicaspb.Row) {
	if e.ready && row.Revision > max(e.floor, e.rows[row.Model].GetRevision()) {
		e.rows[row.Model] = row
	}
}

func (e *simEngine) slot(model string) *replicaspb.Slot {
	row := e.rows[model]
	if !e.ignoresHost {
		return SlotOf(row, e.Name, e.Host)
	}
	for _, s := range row.GetSlots() {
		if s.Engine == e.Name {
			return s
		}
	}
	return nil
}

func (e *simEngine) active() bool { return e.alive && e.ready && !e.frozen }

func (e *simEngine) ordered(model string) bool {
	return slices.ContainsFunc(e.orders, func(o order) bool { return o.model == model })
}

// loadable lists the model versions that the agent may order the engine to load.
func (e *simEngine) loadable() []string {
	var models []string
	for _, model := range slices.Sorted(maps.Keys(e.rows)) {
		granted := e.slot(model).GetState() == replicaspb.SlotState_GRANTED && e.rows[model].Revision > e.fences[model]
		if e.active() && granted && !e.loaded[model] && !e.ordered(model) && !e.Leaving {
			models = append(models, model)
		}
	}
	return models
}

// orderLoad orders a random allowed load.
func (e *simEngine) orderLoad(random *rand.Rand) {
	if models := e.loadable(); len(models) > 0 {
		e.orders = append(e.orders, order{model: models[random.IntN(len(models))], load: true})
	}
}

// orderUnload orders an unload.
func (e *simEngine) orderUnload(model string) {
	if e.active() && e.loaded[model] && !e.ordered(model) {
		e.orders = append(e.orders, order{model: model})
	}
}

// deliver makes an order take effect.
func (e *simEngine) deliver(i int) {
	o := e.orders[i]
	e.orders = slices.Delete(e.orders, i, i+1)
	if o.load {
		e.loaded[o.model] = true
		return
	}
	delete(e.loaded, o.model)
}

// reconcile orders the unload of what the agent must not hold and returns the confirmations that it may send.
func (e *simEngine) reconcile() []Release {
	if !e.active() {
		return nil
	}
	for _, model := range slices.Sorted(maps.Keys(e.loaded)) {
		if slot := e.slot(model); slot == nil || slot.State != replicaspb.SlotState_GRANTED {
			e.orderUnload(model)
		}
	}
	var confirmed []Release
	for _, model := range slices.Sorted(maps.Keys(e.rows)) {
		slot := e.slot(model)
		if slot == nil || slot.State != replicaspb.SlotState_RELEASING || e.loaded[model] || e.ordered(model) {
			continue
		}
		e.fences[model] = e.rows[model].Revision
		confirmed = append(confirmed, Release{
			Model: model, Engine: e.Name, Host: slot.Host, Revision: e.rows[model].Revision,
		})
	}
	return confirmed
}

// loadedModels returns the model versions that the engine holds.
func (e *simEngine) loadedModels() []string { return slices.Sorted(maps.Keys(e.loaded)) }
