package fleet

import "time"

// Engine is the last known state of an engine.
type Engine struct {
	EngineState
	ID string
	// Version is the version of the engine's software.
	Version string
	Leaving bool
	// Reported is set if the agent's report has not expired.
	Reported bool
	// Limit is the rate of requests that the engine has named within limitPlacementTTL.
	Limit RateLimit
}

// Engines returns the responsive engines of a service. Without an unexpired report, an engine has the models from its
// registration.
func (f *Fleet) Engines(service string, now time.Time) []Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Engine
	for _, e := range f.endpoints {
		if e.Service != service || !e.responsive(now) {
			continue
		}
		engine := Engine{ID: e.ID, Version: e.Version, Leaving: e.Leaving, Reported: e.reportFresh(now)}
		if now.Sub(e.limit.observedAt) < limitPlacementTTL {
			engine.Limit = e.limit.RateLimit
		}
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
