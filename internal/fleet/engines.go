package fleet

import "time"

// Engine is an engine as its agent described it last.
type Engine struct {
	EngineState
	ID      string
	Leaving bool
	// Reported is set while the agent's word counts.
	Reported bool
}

// Engines returns the engines of a service whose hosts answer. Those without a fresh word of their agent have the models that they registered
// with.
func (f *Fleet) Engines(service string, now time.Time) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Engine
	for _, e := range f.endpoints {
		if e.Service != service || !e.answers(now) {
			continue
		}
		engine := Engine{ID: e.ID, Leaving: e.Leaving, Reported: e.fresh(now)}
		if engine.Reported {
			engine.EngineState = *e.state
		} else {
			engine.Models = make(map[string]map[string]bool, len(e.Models))
			for _, m := range e.Models {
				engine.Models[m] = nil
			}
		}
		list = append(list, engine)
	}
	return list
}
