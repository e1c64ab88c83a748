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

// able returns the engines that may hold a model, of a fleet without faults.
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

// unsettled returns what is not yet as the declarations ask for, or is not known, or was not answered, some time after the
// faults; or "".
func (w *world) unsettled() string {
	if w.elapsed < faultTime+minSettleTime {
		return "the faults have just ended"
	}
	for _, m := range w.reference.Current().Models() {
		row := w.rows[m.Name+"@1"]
		eligible := w.eligibleEngines(m)
		want := min(int(max(m.MinReplicas, m.WarmReplicas)), int(m.MaxReplicas), len(eligible))
		releasing := slices.ContainsFunc(row.GetSlots(), func(s *replicaspb.Slot) bool { return s.State == replicaspb.SlotState_RELEASING })
		if len(row.GetSlots()) != want || releasing {
			return fmt.Sprintf("%s has %s, want %d slots of %d able engines", m.Name, slotsText(row), want, len(eligible))
		}
	}
	for _, h := range w.allHosts {
		if h.engine == nil || !h.up {
			continue
		}
		for _, r := range h.agent.core.machine.Status(h.agent.now()).Replicas {
			if r.State == wirepb.ReplicaState_UNKNOWN {
				return fmt.Sprintf("%s does not know of %s", h.endpoint, r.Model)
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

// leastCalm is how long a run goes on after the faults at the least.
const minSettleTime = 12 * time.Second

// lastCall is a call that must be served in the end, tried again as its caller is told.
type finalCall struct {
	model, service string
	served         bool
}

// lastCalls makes a call for each target that can be served, one after the other.
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

// tryLast makes the call with a number until it is served, and then the next one.
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

// unserved returns a last call that was not served, or "".
func (w *world) unserved() string {
	for _, l := range w.finalCalls {
		if !l.served {
			return fmt.Sprintf("the last call for %s%s is not served", l.model, l.service)
		}
	}
	return ""
}
