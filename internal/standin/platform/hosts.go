package platform

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"balsamsail/internal/backing"
	"balsamsail/internal/standin/control"
)

// HostFaults are the faults that can be injected into the host list.
type HostFaults struct {
	// Outage answers every read with 503.
	Outage bool `json:"outage"`
	// LagSeconds is added to Options.HostsLag.
	LagSeconds float64 `json:"lag_seconds"`
}

// HostsAnswer is the response to a read of the host list.
type HostsAnswer struct {
	Version uint64         `json:"version"`
	Hosts   []backing.Host `json:"hosts"`
}

// hosts is the host list, in which each change becomes visible only after a lag.
type hosts struct {
	server        *Server
	lag           time.Duration
	goneRetention time.Duration

	mu      sync.Mutex
	pending []hostChange
	visible map[string]hostChange
	version uint64
}

type hostChange struct {
	at   time.Time
	host backing.Host
}

func newHosts(s *Server, o Options) *hosts {
	h := &hosts{server: s, lag: o.HostsLag, goneRetention: o.GoneRetention, visible: map[string]hostChange{}}
	for _, host := range o.Hosts {
		h.visible[host.ID] = hostChange{at: s.clock.Now(), host: host}
		h.version++
	}
	return h
}

func (h *hosts) mount(r chi.Router) {
	r.Get("/hosts", h.get)
	r.Put("/hosts/{id}", h.put)
	r.Delete("/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		h.remove(chi.URLParam(r, "id"))
		w.WriteHeader(http.StatusNoContent)
	})
}

func (h *hosts) get(w http.ResponseWriter, _ *http.Request) {
	if h.server.faults.Get().Hosts.Outage {
		control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "outage")
		return
	}
	control.WriteJSON(w, http.StatusOK, h.list())
}

func (h *hosts) put(w http.ResponseWriter, r *http.Request) {
	var host backing.Host
	if err := control.ReadJSON(r, &host); err != nil {
		control.WriteError(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	host.ID = chi.URLParam(r, "id")
	h.set(host)
	w.WriteHeader(http.StatusNoContent)
}

func (h *hosts) set(host backing.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, hostChange{at: h.server.clock.Now(), host: host})
}

// remove marks a host as gone.
func (h *hosts) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, known := h.latest(id)
	if !known {
		return
	}
	host.State = backing.HostGone
	h.pending = append(h.pending, hostChange{at: h.server.clock.Now(), host: host})
}

func (h *hosts) latest(id string) (backing.Host, bool) {
	for _, change := range slices.Backward(h.pending) {
		if change.host.ID == id {
			return change.host, true
		}
	}
	change, ok := h.visible[id]
	return change.host, ok
}

// list returns the list as it is visible now.
func (h *hosts) list() HostsAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	extra := h.server.faults.Get().Hosts.LagSeconds
	h.advance(h.server.clock.Now().Add(-h.lag - control.Seconds(extra)))
	answer := HostsAnswer{Version: h.version, Hosts: []backing.Host{}}
	for _, change := range h.visible {
		answer.Hosts = append(answer.Hosts, change.host)
	}
	slices.SortFunc(answer.Hosts, func(a, b backing.Host) int { return strings.Compare(a.ID, b.ID) })
	return answer
}

// advance makes the changes up to a time visible and removes the hosts that have been gone for longer than goneRetention.
func (h *hosts) advance(until time.Time) {
	for len(h.pending) > 0 && !h.pending[0].at.After(until) {
		h.visible[h.pending[0].host.ID] = h.pending[0]
		h.pending = h.pending[1:]
		h.version++
	}
	for id, change := range h.visible {
		if change.host.State == backing.HostGone && until.Sub(change.at) > h.goneRetention {
			delete(h.visible, id)
			h.version++
		}
	}
}

// PutHost adds or changes a host, visible after the lag.
func (s *Server) PutHost(host backing.Host) { s.hosts.set(host) }

// RemoveHost marks a host as gone, visible after the lag.
func (s *Server) RemoveHost(id string) { s.hosts.remove(id) }
