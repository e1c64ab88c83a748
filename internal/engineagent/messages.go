package engineagent

import (
	"maps"
	"slices"
	"time"

	"balsamsail/internal/control/controlpb"
)

func decode(m *controlpb.ToAgent) GatewayMessage {
	message := GatewayMessage{
		EndpointID:       m.EndpointId,
		EndpointRevision: m.EndpointRevision,
		Wanted:           decodeAdapters(m.Wanted),
		Used:             decodeAdapters(m.Used),
	}
	if c := m.Command; c != nil {
		message.Command = &Command{ID: c.Id, EndpointID: c.EndpointId, EngineStarted: c.EngineStartedMs, Unload: c.Unload, Load: c.Load}
	}
	if c := m.EngineClass; c != nil {
		message.Class = &EngineClass{
			Version:     c.ConfigVersion,
			MemoryMB:    c.MemoryMb,
			MaxAdapters: int(c.AdapterPlaces),
			Models:      make(map[string]Model, len(c.Models)),
		}
		for _, model := range c.Models {
			message.Class.Models[model.Name] = Model{SizeMB: model.SizeMb, AdapterMB: model.AdapterMb}
		}
	}
	return message
}

func decodeAdapters(refs []*controlpb.AdapterRef) []Adapter {
	adapters := make([]Adapter, len(refs))
	for i, r := range refs {
		adapters[i] = Adapter{Model: r.Model, Name: r.Adapter}
	}
	return adapters
}

// state returns the engine state to publish to gateways, or nil before the first report.
func (c *Core) state(now time.Time) *controlpb.EngineState {
	if c.down {
		return &controlpb.EngineState{EndpointId: c.endpointID, Down: true}
	}
	if c.report == nil {
		return nil
	}
	s := &controlpb.EngineState{
		EndpointId: c.endpointID,
		Busy:       c.report.Busy,
		InMemory:   sorted(c.report.InMemory),
		OnDisk:     sorted(c.report.OnDisk),
		Command:    c.lastCommandID,
		StartedMs:  c.started,
	}
	for _, model := range slices.Sorted(maps.Keys(c.report.Models)) {
		s.Replicas = append(s.Replicas, &controlpb.Replica{Model: model, Adapters: sorted(c.report.Models[model])})
	}
	if c.command != nil {
		s.Loading = c.command.Load
		s.Unloading = c.command.Unload
		s.CommandAgeMs = now.Sub(c.commandStartedAt).Milliseconds()
	}
	return s
}

func sorted(names map[string]bool) []string { return slices.Sorted(maps.Keys(names)) }
