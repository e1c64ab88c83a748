package joined

import (
	"context"
	"slices"
	"time"

	"balsamsail/internal/backing"
)

// host is an endpoint host: a machine with an engine or a plain service and the agent beside it.
type host struct {
	*world
	id, endpoint, domain string
	kind                 string
	up                   bool
	// state is that of the newest host list; empty when the host is not listed any more.
	state backing.HostState
	// leavingAt is when the platform, or a planned stop of the agent, began to take the endpoint away; 0 when it has not.
	leavingAt time.Duration
	// listedLeavingAt is when the list first said so; 0 when it has not.
	listedLeavingAt time.Duration
	createdAt       time.Duration
	engine          *engine
	service         *service
	agent           *agent
}

// listening reports whether an agent holds the host's address.
func (h *host) listening() bool { return h.agent != nil && h.agent.alive }

// startAgent starts the agent, unless one holds the address still.
func (h *host) startAgent() {
	if !h.up || h.listening() {
		return
	}
	if h.state != backing.HostLeaving {
		h.leavingAt = 0
	}
	h.agent = newAgent(h)
	h.agent.begin()
}

// crashAgent kills the agent. Its endpoint lives on and may still get what the agent sent last.
func (h *host) crashAgent() {
	if !h.listening() {
		return
	}
	h.logf("%s crashes", h.agent.name)
	h.endAgent(false)
}

func (h *host) endAgent(planned bool) {
	a := h.agent
	a.end()
	h.net.closeProcessConns(a.process, planned)
	if h.engine != nil {
		h.engine.handleAgentExit(planned)
	}
}

// terminate takes the machine away: all that runs on it ends without a word.
func (h *host) terminate() {
	h.logf("host %s of %s is terminated", h.id, h.endpoint)
	h.up = false
	h.agent.end()
	if h.engine != nil {
		h.engine.stop()
	}
	if h.service != nil {
		h.service.stop()
	}
	h.net.checkConns()
}

// hostList is the platform's list of hosts, which lags.
type hostList struct {
	*sim
	versions []hostListVersion
	// old is set when the last read was answered by a replica that lags far.
	lastReadStale bool
}

type hostListVersion struct {
	at    time.Duration
	hosts []backing.Host
}

const (
	// hostListLag is how old the list usually is that a read returns, and rareHostListLag how old it may be at times, but
	// not twice in a row.
	hostListLag     = 1500 * time.Millisecond
	rareHostListLag = 12 * time.Second
)

// publish makes a new version of the list.
func (l *hostList) publish(hosts []backing.Host) {
	l.versions = append(l.versions, hostListVersion{at: l.elapsed, hosts: hosts})
}

// Hosts implements backing.HostList. Two reads may be answered by replicas that lag differently.
func (l *hostList) Hosts(context.Context) ([]backing.Host, uint64, error) {
	oldest := l.elapsed - l.between(0, hostListLag)
	if l.lastReadStale = !l.lastReadStale && l.oneIn(12); l.lastReadStale {
		oldest = l.elapsed - l.between(0, rareHostListLag)
	}
	i := len(l.versions) - 1
	for i > 0 && l.versions[i].at > oldest {
		i--
	}
	return slices.Clone(l.versions[i].hosts), uint64(i + 1), nil
}

// publishHosts makes the present states a new version of the list.
func (w *world) publishHosts() {
	var list []backing.Host
	for _, h := range w.allHosts {
		if h.state != "" {
			list = append(list, backing.Host{
				ID: h.id, Role: backing.RoleEndpoint, State: h.state, FailureDomain: h.domain, Address: h.id, Endpoint: h.endpoint,
			})
		}
	}
	for _, e := range w.entryNames {
		list = append(list, backing.Host{ID: e, Role: backing.RoleEntry, State: backing.HostLive, Address: e})
	}
	w.hosts.publish(list)
}
