package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterMetrics registers the metrics of a gateway's links: the number of listed and of active agents, the age of the
// oldest last message among the active ones, the number of gateways, whether this gateway is its own hub, the age of its hub's last message, how many others
// use it as theirs, whether it is the coordinator, and what it knows of streams and of endpoints that have ended.
func RegisterMetrics(r prometheus.Registerer, a *Agents, h *Hub, u *Upstream, p *Peers) error {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "balsamsail_control_" + name, Help: help}, read)
	}
	for _, c := range []prometheus.Collector{
		gauge("agents_listed", "Agents to which there should be a link.", func() float64 { listed, _, _ := a.linkStats(time.Now()); return float64(listed) }),
		gauge("agents_heard", "Agents that were heard within the silence limit.", func() float64 { _, active, _ := a.linkStats(time.Now()); return float64(active) }),
		gauge("oldest_word_seconds", "Age of the oldest last word among the agents that are heard.", func() float64 { _, _, oldest := a.linkStats(time.Now()); return oldest.Seconds() }),
		gauge("gateways", "Gateways that are known, this one included.", func() float64 { return float64(p.GatewayCount()) }),
		gauge("own_hub", "1 while this gateway has links of its own to the agents.", func() float64 { return boolValue(u.IsOwnHub()) }),
		gauge("hub_word_seconds", "Age of the hub's last message; 0 on a gateway that is its own hub.", func() float64 { return u.fleet.RelayAge(time.Now()).Seconds() }),
		gauge("subscribers", "Gateways that use this one as their hub.", func() float64 { return float64(h.Subscribers()) }),
		gauge("streams_known", "Streams whose software version is known, because a client may come back for them.", func() float64 { return float64(p.facts.Streams.Len()) }),
		gauge("suspect_parts", "Parts of prompts under which an endpoint may have ended, without an answer since.", func() float64 { return float64(p.facts.Parts.Suspects()) }),
		gauge("ends_known", "Endpoints that may have ended under a request, in the last minute.", func() float64 { return float64(p.facts.Crashes.Len()) }),
		gauge("coordinates", "1 while this gateway decides on placement.", func() float64 { return boolValue(p.IsCoordinator(time.Now())) }),
	} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// linkStats returns the number of agent links, how many of them received a message within the silence limit, and the age of
// the oldest last message among the latter.
func (a *Agents) linkStats(now time.Time) (listed, active int, oldest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		listed++
		if age := now.Sub(l.lastMessageAt); age <= a.options.SilenceLimit {
			active++
			oldest = max(oldest, age)
		}
	}
	return listed, active, oldest
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
