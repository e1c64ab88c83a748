package control

import (
	"maps"
	"math"
	"slices"
	"time"

	"balsamsail/internal/control/controlpb"
	"balsamsail/internal/crashes"
	"balsamsail/internal/demand"
	"balsamsail/internal/fleet"
	"balsamsail/internal/nameset"
	"balsamsail/internal/watch"
)

// maxMilliseconds bounds times in messages, in milliseconds; sums and small multiples of a year do not overflow a duration.
const maxMilliseconds = 365 * 24 * 60 * 60 * 1000

// milliseconds converts an age or another time in a message of another build, which is at least zero and at most a year.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMilliseconds)) * time.Millisecond
}

func decodeState(s *controlpb.EngineState) *fleet.EngineState {
	if s == nil {
		return nil
	}
	state := &fleet.EngineState{
		EndpointID: s.EndpointId,
		Down:       s.Down,
		Models:     make(map[string]map[string]bool, len(s.Replicas)),
		Busy:       s.Busy,
		Loading:    s.Loading,
		Unloading:  nameset.Of(s.Unloading),
		InMemory:   nameset.Of(s.InMemory),
		OnDisk:     nameset.Of(s.OnDisk),
		Command:    s.Command,
		CommandAge: milliseconds(s.CommandAgeMs),
		Started:    s.StartedMs,
	}
	for _, r := range s.Replicas {
		state.Models[r.Model] = nameset.Of(r.Adapters)
	}
	return state
}

func encodeState(s *fleet.EngineState, age time.Duration, withCopies bool) *controlpb.EngineState {
	state := &controlpb.EngineState{
		EndpointId:   s.EndpointID,
		Down:         s.Down,
		Busy:         s.Busy,
		Loading:      s.Loading,
		Unloading:    names(s.Unloading),
		Command:      s.Command,
		CommandAgeMs: (s.CommandAge + age).Milliseconds(),
		StartedMs:    s.Started,
	}
	if withCopies {
		state.InMemory, state.OnDisk = names(s.InMemory), names(s.OnDisk)
	}
	for model, adapters := range s.Models {
		state.Replicas = append(state.Replicas, &controlpb.Replica{Model: model, Adapters: names(adapters)})
	}
	return state
}

func names(set map[string]bool) []string { return slices.Collect(maps.Keys(set)) }

func encodeEngine(e fleet.RelayedEngine) *controlpb.EngineChange {
	change := &controlpb.EngineChange{
		EndpointId: e.ID, CopiesUnchanged: e.CopiesUnchanged, Running: int32(e.Running), Queued: int32(e.Queued), Reported: e.Reported, HostDown: e.HostDown,
	}
	if e.State != nil {
		change.State = encodeState(e.State, e.StateAge, !e.CopiesUnchanged)
	}
	return change
}

func decodeEngine(c *controlpb.EngineChange) fleet.RelayedEngine {
	return fleet.RelayedEngine{
		ID: c.EndpointId, State: decodeState(c.State), CopiesUnchanged: c.CopiesUnchanged,
		Running: int(c.Running), Queued: int(c.Queued), Reported: c.Reported, HostDown: c.HostDown,
	}
}

func encodeTable(now time.Time, c watch.Change) *controlpb.TableChange {
	change := &controlpb.TableChange{
		Table: c.Table, Replace: c.Replace, Base: c.Base, Revision: c.Revision,
		ConfirmedAgeMs: now.Sub(c.ConfirmedAt).Milliseconds(), Unavailable: c.Unavailable,
	}
	for _, r := range c.Rows {
		change.Rows = append(change.Rows, &controlpb.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return change
}

func decodeTable(now time.Time, c *controlpb.TableChange) watch.Change {
	change := watch.Change{
		Table: c.Table, Replace: c.Replace, Base: c.Base, Revision: c.Revision,
		ConfirmedAt: now.Add(-milliseconds(c.ConfirmedAgeMs)), Unavailable: c.Unavailable,
	}
	for _, r := range c.Rows {
		change.Rows = append(change.Rows, watch.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return change
}

func encodeDemand(models []demand.Model, changes bool) *controlpb.Demand {
	message := &controlpb.Demand{Changes: changes}
	for _, m := range models {
		message.Models = append(message.Models, &controlpb.ModelDemand{
			Service: m.Service, Model: m.Model, Version: m.Version, Waiting: int32(m.Waiting), OldestWaitMs: m.OldestWait.Milliseconds(),
			Running: int32(m.Running), Arrived: m.Arrived, TargetMs: m.FirstEventTarget.Milliseconds(),
		})
	}
	return message
}

func decodeDemand(message *controlpb.Demand) demand.Message {
	m := demand.Message{Changes: message.GetChanges()}
	for _, d := range message.GetModels() {
		m.Models = append(m.Models, demand.Model{
			Target:  demand.Target{Service: d.Service, Model: d.Model, Version: d.Version},
			Waiting: int(d.Waiting), OldestWait: milliseconds(d.OldestWaitMs),
			Running: int(d.Running), Arrived: d.Arrived, FirstEventTarget: milliseconds(d.TargetMs),
		})
	}
	return m
}

func encodeLimits(now time.Time, list []fleet.ObservedLimit) []*controlpb.EndpointLimit {
	encoded := make([]*controlpb.EndpointLimit, 0, len(list))
	for _, l := range list {
		encoded = append(encoded, &controlpb.EndpointLimit{
			EndpointId: l.EndpointID, Started: l.Started, Named: l.Named, PerSecond: l.PerSecond, AgeMs: now.Sub(l.ObservedAt).Milliseconds(),
		})
	}
	return encoded
}

func decodeLimits(now time.Time, list []*controlpb.EndpointLimit) []fleet.ObservedLimit {
	decoded := make([]fleet.ObservedLimit, 0, len(list))
	for _, l := range list {
		if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 1) {
			continue
		}
		decoded = append(decoded, fleet.ObservedLimit{
			Process:    crashes.Process{EndpointID: l.EndpointId, Started: l.Started},
			RateLimit:  fleet.RateLimit{Named: l.Named, PerSecond: l.PerSecond},
			ObservedAt: now.Add(-milliseconds(l.AgeMs)),
		})
	}
	return decoded
}

func encodeAdapters(byEngine map[string][]fleet.Adapter) []*controlpb.EngineAdapters {
	list := make([]*controlpb.EngineAdapters, 0, len(byEngine))
	for id, adapters := range byEngine {
		entry := &controlpb.EngineAdapters{EndpointId: id}
		for _, a := range adapters {
			entry.Adapters = append(entry.Adapters, &controlpb.AdapterRef{Model: a.Model, Adapter: a.Name})
		}
		list = append(list, entry)
	}
	return list
}

func decodeAdapters(list []*controlpb.EngineAdapters) map[string][]fleet.Adapter {
	byEngine := make(map[string][]fleet.Adapter, len(list))
	for _, entry := range list {
		for _, a := range entry.Adapters {
			byEngine[entry.EndpointId] = append(byEngine[entry.EndpointId], fleet.Adapter{Model: a.Model, Name: a.Adapter})
		}
	}
	return byEngine
}
