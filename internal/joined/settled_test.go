package joined

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// eligibleEngines returns the engines that may hold a model in the absence of faults.
func (w *world) eligibleEngines(m *declarations.Model) []*host {
	var list []*host
	for _, h := range w.allHosts {
		if h.engine == nil || !h.up || h.state != backing.HostLive || h.agent.core.leaving {
			continue
		}
		labels := h.labels()
		declared, ok := w.reference.Current().Engine(h.endpoint)
		if ok {
			for k, v := range declared.Labels {
				labels[k] = v
			}
		}
		if ok && declared.Drain || !m.Engines.Matches(labels) || m.MemoryBytes+m.KvFloorBytes > engineLimit {
			continue
		}
		list = append(list, h)
	}
	return list
}

// unsettled describes a difference from the declared state, a replica in an unknown state or an unanswered call. It returns
// "" if there is none and the faults ended at least minSettleTime ago.
func (w *world) unsettled() string {
	if w.elapsed < faultTime+minSettleTime {
		return "the faults ended too recently"
	}
	for _, m := range w.reference.Current().Models() {
		row := w.rows[m.Name+"@1"]
		eligible := w.eligibleEngines(m)
		want := min(int(max(m.MinReplicas, m.WarmReplicas)), int(m.MaxReplicas), len(eligible))
		releasing := slices.ContainsFunc(row.GetSlots(), func(s *replicaspb.Slot) bool { return s.State == replicaspb.SlotState_RELEASING })
		if len(row.GetSlots()) != want || releasing {
			return fmt.Sprintf("%s has %s, want %d slots on %d eligible engines", m.Name, slotsText(row), want, len(eligible))
		}
	}
	for _, h := range w.allHosts {
		if h.engine == nil || !h.up {
			continue
		}
		for _, r := range h.agent.core.machine.Status(h.agent.now()).Replicas {
			if r.State == wirepb.ReplicaState_UNKNOWN {
				return fmt.Sprintf("the agent of %s does not know the state of %s", h.endpoint, r.Model)
			}
		}
	}
	for _, c := range w.calls {
		if len(c.results) == 0 && c.entry.alive && !c.disconnected {
			return c.token + " was never answered"
		}
	}
	return ""
}

// minSettleTime is the minimum time for which a run continues after the faults.
const minSettleTime = 12 * time.Second

// finalCall is a call that must eventually be served. It is retried after every other result.
type finalCall struct {
	model, service string
	served         bool
}

// makeFinalCalls makes a call for each target that can be served, one after the other.
func (w *world) makeFinalCalls() {
	for _, name := range requestedModels[1:] {
		model, _, _ := strings.Cut(name, "-")
		if m, ok := w.reference.Current().Model(model); ok && len(w.eligibleEngines(m)) > 0 {
			w.finalCalls = append(w.finalCalls, &finalCall{model: name})
		}
	}
	for _, h := range w.allHosts {
		_, drained := w.drainedAt[h.endpoint]
		if h.service != nil && h.up && h.state == backing.HostLive && !drained {
			w.finalCalls = append(w.finalCalls, &finalCall{service: serviceName})
		}
	}
	w.tryFinalCall(0)
}

// tryFinalCall retries the final call with index i until it is served, and then makes the next one.
func (w *world) tryFinalCall(i int) {
	if i == len(w.finalCalls) {
		return
	}
	l := w.finalCalls[i]
	c := w.newCall()
	c.model, c.service, c.timeout, c.streamed = l.model, l.service, 8*time.Second, l.service == "" && w.oneIn(2)
	if l.service != "" {
		c.key = c.token
	}
	c.onResult = func(result callResult) {
		if result == resultWhole {
			l.served = true
			w.tryFinalCall(i + 1)
			return
		}
		w.after(2*time.Second, func() { w.tryFinalCall(i) })
	}
	c.send(pick(w.sim, w.readyEntries()))
}

// unserved describes a final call that was not served, or returns "" if there is none.
func (w *world) unserved() string {
	for _, l := range w.finalCalls {
		if !l.served {
			return fmt.Sprintf("the final call for %s%s was not served", l.model, l.service)
		}
	}
	return ""
}
