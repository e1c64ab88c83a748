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
func (w *world) able(m *declarations.Model) []*host {
	var list []*host
	for _, h := range w.allHosts {
		if h.engine == nil || !h.up || h.state != backing.HostLive || h.agent.core.leaving {
			continue
		}
		labels := h.labels()
		declared, ok := w.truth.Current().Engine(h.endpoint)
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
	if w.at < faultyTime+leastCalm {
		return "the faults have just ended"
	}
	for _, m := range w.truth.Current().Models() {
		row := w.rows[m.Name+"@1"]
		able := w.able(m)
		want := min(int(max(m.MinReplicas, m.WarmReplicas)), int(m.MaxReplicas), len(able))
		releasing := slices.ContainsFunc(row.GetSlots(), func(s *replicaspb.Slot) bool { return s.State == replicaspb.SlotState_RELEASING })
		if len(row.GetSlots()) != want || releasing {
			return fmt.Sprintf("%s has %s, want %d slots of %d able engines", m.Name, slotsText(row), want, len(able))
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
		if len(c.words) == 0 && c.entry.alive && !c.gone {
			return c.token + " was never answered"
		}
	}
	return ""
}

// leastCalm is how long a run goes on after the faults at the least.
const leastCalm = 12 * time.Second

// lastCall is a call that must be served in the end, tried again as its caller is told.
type lastCall struct {
	model, service string
	served         bool
}

// lastCalls makes a call for each target that can be served, one after the other.
func (w *world) lastCalls() {
	for _, name := range requested[1:] {
		model, _, _ := strings.Cut(name, "-")
		if m, ok := w.truth.Current().Model(model); ok && len(w.able(m)) > 0 {
			w.last = append(w.last, &lastCall{model: name})
		}
	}
	for _, h := range w.allHosts {
		_, drained := w.drainedAt[h.endpoint]
		if h.service != nil && h.up && h.state == backing.HostLive && !drained {
			w.last = append(w.last, &lastCall{service: serviceName})
		}
	}
	w.tryLast(0)
}

// tryLast makes the call with a number until it is served, and then the next one.
func (w *world) tryLast(i int) {
	if i == len(w.last) {
		return
	}
	l := w.last[i]
	c := w.newCall()
	c.model, c.service, c.left, c.streamed = l.model, l.service, 8*time.Second, l.service == "" && w.chance(2)
	if l.service != "" {
		c.key = c.token
	}
	c.answered = func(word told) {
		if word == toldWhole {
			l.served = true
			w.tryLast(i + 1)
			return
		}
		w.after(2*time.Second, func() { w.tryLast(i) })
	}
	c.make(pick(w.sim, w.callable()))
}

// unserved returns a last call that was not served, or "".
func (w *world) unserved() string {
	for _, l := range w.last {
		if !l.served {
			return fmt.Sprintf("the last call for %s%s is not served", l.model, l.service)
		}
	}
	return ""
}
