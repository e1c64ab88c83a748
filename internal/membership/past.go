package membership

import "balsamsail/internal/backing"

// maxHostHistory bounds the hosts that are remembered as leaving or gone; the earliest are forgotten.
const maxHostHistory = 4096

// hostHistory records which hosts were listed as leaving or gone.
//
// A host only ever goes from live to leaving to gone. The agent of a leaving host accepts no new work, and the slots of
// a gone host count as released and may be assigned elsewhere. If a fault of the platform lists such a host in an
// earlier state again, that state must be ignored: otherwise requests would be routed to an agent that refuses them, or
// a model would be loaded more often than was decided.
type hostHistory struct {
	states map[string]backing.HostState
	order  []string
}

// record records a host's state and returns the latest state that the host was ever in.
func (h *hostHistory) record(id string, state backing.HostState) backing.HostState {
	past, known := h.states[id]
	state = laterState(state, past)
	if state == past || state == backing.HostLive {
		return state
	}
	if !known {
		h.evictOldest()
		h.order = append(h.order, id)
	}
	h.states[id] = state
	return state
}

func (h *hostHistory) evictOldest() {
	if len(h.order) < maxHostHistory {
		return
	}
	delete(h.states, h.order[0])
	h.order = h.order[1:]
}

// laterState returns whichever of two states comes later in the life of a host.
func laterState(a, b backing.HostState) backing.HostState {
	for _, state := range []backing.HostState{backing.HostGone, backing.HostLeaving} {
		if a == state || b == state {
			return state
		}
	}
	return a
}
