package engineagent

import (
	"time"

	"balsamsail/internal/nameset"
)

// adapterCount returns the number of the engine's adapters, including those being fetched and those that late orders may
// load.
func (c *Core) adapterCount() int {
	count := c.lateAdapters()
	for _, adapters := range c.report.Models {
		count += len(adapters)
	}
	for a := range c.report.Fetching {
		if !c.report.Models[a.Model][a.Name] {
			count++
		}
	}
	return count
}

// adapterOrder returns an order that loads an adapter that requests wait for, or that unloads another one to make room. It
// returns nil while the engine carries out a model order, because the engine refuses all other orders until that is done.
func (c *Core) adapterOrder(now time.Time) *Order {
	if c.report.Busy {
		return nil
	}
	for a, at := range c.wanted {
		if now.Sub(at) > wantedTTL {
			delete(c.wanted, a)
			continue
		}
		adapters, loaded := c.report.Models[a.Model]
		if !loaded || c.commandUnloads(a.Model) || c.report.Fetching[a] {
			continue
		}
		if adapters[a.Name] {
			delete(c.wanted, a)
			continue
		}
		c.lastUsed[a] = now
		if c.adapterCount() < c.class.MaxAdapters && c.memoryFree()-c.reservedByCommand() >= c.class.Models[a.Model].AdapterMB {
			return &Order{Kind: Load, Model: a.Model, Adapter: a.Name}
		}
		if victim, ok := c.leastRecentlyUsedAdapter(now); ok {
			return &Order{Kind: Unload, Model: victim.Model, Adapter: victim.Name}
		}
	}
	return nil
}

// reservedByCommand returns the memory that the current command's load will take.
//
// An engine does not report a model until its load is complete; an adapter loaded in the meantime could take the memory
// that the model needs. An agent that restarted during a load cannot determine which model is being loaded and reserves
// memory for the largest one.
func (c *Core) reservedByCommand() float64 {
	if c.command == nil && c.report.Busy {
		return c.largestModel()
	}
	if c.command == nil {
		return 0
	}
	if _, loaded := c.report.Models[c.command.Load]; loaded {
		return 0
	}
	if nameset.HoldsAny(c.report.Models, c.command.Unload) {
		return 0
	}
	return c.class.Models[c.command.Load].SizeMB
}

func (c *Core) largestModel() float64 {
	largest := 0.0
	for _, m := range c.class.Models {
		largest = max(largest, m.SizeMB)
	}
	return largest
}

// commandUnloads reports whether the current command unloads a model.
func (c *Core) commandUnloads(model string) bool {
	if c.command == nil {
		return false
	}
	for _, m := range c.command.Unload {
		if m == model {
			return true
		}
	}
	return false
}

// leastRecentlyUsedAdapter returns the least recently used adapter that no request uses or waits for.
func (c *Core) leastRecentlyUsedAdapter(now time.Time) (Adapter, bool) {
	inUse := make(map[Adapter]bool)
	for _, g := range c.gateways {
		if now.Sub(g.lastMessageAt) >= gatewayTTL {
			continue
		}
		for _, a := range g.used {
			inUse[a] = true
		}
	}
	var victim Adapter
	found := false
	for model, adapters := range c.report.Models {
		for name := range adapters {
			a := Adapter{Model: model, Name: name}
			if _, wanted := c.wanted[a]; wanted || inUse[a] || c.report.Fetching[a] {
				continue
			}
			if !found || c.lastUsed[a].Before(c.lastUsed[victim]) {
				victim, found = a, true
			}
		}
	}
	return victim, found
}
