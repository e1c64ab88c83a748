package replicas

import (
	"maps"
	"math/rand/v2"
	"slices"

	"balsamsail/internal/replicas/replicaspb"
)

// order is a load or unload on its way to an engine; it may take effect at any later time.
type order struct {
	model string
	load  bool
}

// worldEngine is an engine on a host with the agent beside it. The agent keeps the rules that the decision relies on: it
// loads only under GRANTED slots of its own host that it has seen, confirms a release only when nothing is loaded or on
// its way, and after a restart waits for its predecessor's orders and reads the rows from the table first.
type worldEngine struct {
	EngineView
	alive bool
	// linked says that the entries reach the agent; frozen that the agent does nothing for now.
	linked, frozen bool
	loaded         map[string]bool
	orders         []order
	ready          bool
	// floor is the table revision at which the agent read the rows.
	floor  uint64
	rows   map[string]*replicaspb.Row
	fences map[string]uint64
	// ignoresHost makes the agent take any slot of the engine's name for its own, as a wrong agent would.
	ignoresHost bool
}

func newWorldEngine(view EngineView, ignoresHost bool) *worldEngine {
	e := &worldEngine{EngineView: view, alive: true, linked: true, loaded: map[string]bool{}, ignoresHost: ignoresHost}
	e.restartAgent()
	return e
}

// restartAgent lets a new agent take over, which knows nothing.
func (e *worldEngine) restartAgent() {
	e.ready = false
	e.frozen = false
	e.floor = 0
	e.rows = map[string]*replicaspb.Row{}
	e.fences = map[string]uint64{}
}

// begin makes a restarted agent ready: it reads all rows from the table. Rows at revisions up to floor that come later were
// on their way before, and what they grant may have been given up by the predecessor since.
func (e *worldEngine) begin(rows map[string]*replicaspb.Row, floor uint64) {
	if e.ready || len(e.orders) > 0 {
		return
	}
	e.ready = true
	defer func() { e.floor = floor }()
	for _, row := range rows {
		e.see(row)
	}
}

func (e *worldEngine) see(row *replicaspb.Row) {
	if e.ready && row.Revision > max(e.floor, e.rows[row.Model].GetRevision()) {
		e.rows[row.Model] = row
	}
}

func (e *worldEngine) slot(model string) *replicaspb.Slot {
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

func (e *worldEngine) acts() bool { return e.alive && e.ready && !e.frozen }

func (e *worldEngine) ordered(model string) bool {
	return slices.ContainsFunc(e.orders, func(o order) bool { return o.model == model })
}

// loadable lists the model versions that the agent may order the engine to load.
func (e *worldEngine) loadable() []string {
	var models []string
	for _, model := range slices.Sorted(maps.Keys(e.rows)) {
		granted := e.slot(model).GetState() == replicaspb.SlotState_GRANTED && e.rows[model].Revision > e.fences[model]
		if e.acts() && granted && !e.loaded[model] && !e.ordered(model) && !e.Leaving {
			models = append(models, model)
		}
	}
	return models
}

// loadAny orders a load that the agent may order.
func (e *worldEngine) loadAny(random *rand.Rand) {
	if models := e.loadable(); len(models) > 0 {
		e.orders = append(e.orders, order{model: models[random.IntN(len(models))], load: true})
	}
}

// unload orders an unload.
func (e *worldEngine) unload(model string) {
	if e.acts() && e.loaded[model] && !e.ordered(model) {
		e.orders = append(e.orders, order{model: model})
	}
}

// deliver lets an order take effect.
func (e *worldEngine) deliver(i int) {
	o := e.orders[i]
	e.orders = slices.Delete(e.orders, i, i+1)
	if o.load {
		e.loaded[o.model] = true
		return
	}
	delete(e.loaded, o.model)
}

// tidy unloads what the agent must not hold and returns the confirmations that it may give.
func (e *worldEngine) tidy() []Release {
	if !e.acts() {
		return nil
	}
	for _, model := range slices.Sorted(maps.Keys(e.loaded)) {
		if slot := e.slot(model); slot == nil || slot.State != replicaspb.SlotState_GRANTED {
			e.unload(model)
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

// holds lists what the engine holds.
func (e *worldEngine) holds() []string { return slices.Sorted(maps.Keys(e.loaded)) }
