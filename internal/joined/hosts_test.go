package joined

import (
	"context"
	"slices"
	"time"

	"balsamsail/internal/backing"
)

// host is an endpoint host: a machine with an engine or a plain service and its agent.
type host struct {
	*world
	id, endpoint, domain string
	kind                 string
	up                   bool
	// state is the host's state in the newest host list, empty if it is no longer listed.
	state backing.HostState
	// leavingAt is the time at which the endpoint began to leave, by the platform or a planned stop of its agent; 0 if it
	// has not.
	leavingAt time.Duration
	// listedLeavingAt is the time at which the host was first listed as leaving; 0 if it was not.
	listedLeavingAt time.Duration
	createdAt       time.Duration
	engine          *engine
	service         *service
	agent           *agent
}

// listening reports whether an agent is listening on the host's address.
func (h *host) listening() bool { return h.agent != nil && h.agent.alive }

// startAgent starts the agent, unless another one is still listening.
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

// crashAgent kills the agent. Its endpoint keeps running and may still receive orders and requests in transit.
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

// terminate ends the machine and everything that runs on it, without notice.
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

// hostList is the platform's host list. Reads return stale versions.
type hostList struct {
	*sim
	versions []hostListVersion
	// lastReadStale is set if the last read may have had the long lag.
	lastReadStale bool
}

type hostListVersion struct {
	at    time.Duration
	hosts []backing.Host
}

const (
	// hostListLag is the usual maximum age of the list that a read returns. rareHostListLag is its maximum age in rare
	// cases, but never in two consecutive reads.
	hostListLag     = 1500 * time.Millisecond
	rareHostListLag = 12 * time.Second
)

// publish adds a new version of the list.
func (l *hostList) publish(hosts []backing.Host) {
	l.versions = append(l.versions, hostListVersion{at: l.elapsed, hosts: hosts})
}

// Hosts implements backing.HostList. A read may return an older version than the previous one, like reads from replicas
// with different lags.
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

// publishHosts publishes the current states as a new version of the list.
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
