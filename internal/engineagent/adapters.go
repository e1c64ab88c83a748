package engineagent

import (
	"time"

	"balsamsail/internal/nameset"
)

// adaptersHeld counts the engine's adapters, those on their way included.
func (c *Core) adaptersHeld() int {
	held := 0
	for _, adapters := range c.report.Models {
		held += len(adapters)
	}
	for a := range c.report.Fetching {
		if !c.report.Models[a.Model][a.Name] {
			held++
		}
	}
	return held
}

// adapterOrder returns the order that brings the next adapter that requests wait for, or makes room for it. An engine that
// carries out an order on a model refuses all others until it is done.
func (c *Core) adapterOrder(now time.Time) *Order {
	if c.report.Busy {
		return nil
	}
	for a, at := range c.wanted {
		if now.Sub(at) > wishLife {
			delete(c.wanted, a)
			continue
		}
		adapters, held := c.report.Models[a.Model]
		if !held || c.unloads(a.Model) || c.report.Fetching[a] {
			continue
		}
		if adapters[a.Name] {
			delete(c.wanted, a)
			continue
		}
		c.lastUsed[a] = now
		if c.adaptersHeld() < c.class.AdapterPlaces && c.memoryFree()-c.reservedByCommand() >= c.class.Models[a.Model].AdapterMB {
			return &Order{Kind: Load, Model: a.Model, Adapter: a.Name}
		}
		if victim, ok := c.idlestAdapter(now); ok {
			return &Order{Kind: Unload, Model: victim.Model, Adapter: victim.Name}
		}
	}
	return nil
}

// reservedByCommand is the memory that the command's load will take.
//
// An engine that carries out a load does not show the model before it is complete. Memory that an adapter took in the
// meantime would be missing then. An agent that was restarted meanwhile does not know which model it is, and reserves for
// the largest.
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

// unloads reports whether the command takes a model away.
func (c *Core) unloads(model string) bool {
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

// idlestAdapter returns the adapter that no request uses and that was used longest ago.
func (c *Core) idlestAdapter(now time.Time) (Adapter, bool) {
	inUse := make(map[Adapter]bool)
	for _, e := range c.gateways {
		if now.Sub(e.heard) >= gatewayLife {
			continue
		}
		for _, a := range e.used {
			inUse[a] = true
		}
	}
	var victim Adapter
	found := false
	for model, adapters := range c.report.Models {
		for name := range adapters {
			a := Adapter{Model: model, Name: name}
			if _, wished := c.wanted[a]; wished || inUse[a] || c.report.Fetching[a] {
				continue
			}
			if !found || c.lastUsed[a].Before(c.lastUsed[victim]) {
				victim, found = a, true
			}
		}
	}
	return victim, found
}
