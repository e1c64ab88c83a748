package membership

import "balsamsail/internal/backing"

// maxPastHosts bounds the hosts whose end is remembered; the earliest are forgotten.
const maxPastHosts = 4096

// pastHosts remembers which hosts were listed as leaving or gone.
//
// A host only ever goes from live to leaving to gone. Its agent has been told to leave and takes no work any more, or what
// it held counts as given up and may be held elsewhere by now: a list that shows it better than an earlier one did, after a
// fault of the platform, would have it chosen in vain, or a model loaded more often than was decided.
type pastHosts struct {
	states map[string]backing.HostState
	order  []string
}

// note takes in a host's state and returns the worst that it was ever in.
func (p *pastHosts) note(id string, state backing.HostState) backing.HostState {
	past, known := p.states[id]
	state = worst(state, past)
	if state == past || state == backing.HostLive {
		return state
	}
	if !known {
		p.makeRoom()
		p.order = append(p.order, id)
	}
	p.states[id] = state
	return state
}

func (p *pastHosts) makeRoom() {
	if len(p.order) < maxPastHosts {
		return
	}
	delete(p.states, p.order[0])
	p.order = p.order[1:]
}

// worst returns the state that a host comes to later in its life.
func worst(a, b backing.HostState) backing.HostState {
	for _, state := range []backing.HostState{backing.HostGone, backing.HostLeaving} {
		if a == state || b == state {
			return state
		}
	}
	return a
}
