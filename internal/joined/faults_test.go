package joined

import (
	"time"

	"balsamsail/internal/backing"
)

// fault is a kind of temporary fault and its relative frequency.
type fault struct {
	name   string
	weight int
	inject func(*world)
}

var faults = []fault{
	{"entry crashes", 4, func(w *world) { w.crashEntry(w.randomEntry()) }},
	{"entry stops", 2, func(w *world) { w.stopEntry(w.randomEntry()) }},
	{"agent crashes", 6, func(w *world) { w.crashAgent(w.randomHost()) }},
	{"agent stops", 3, func(w *world) { w.stopAgent(w.randomHost()) }},
	{"endpoint restarts", 5, func(w *world) { w.restartEndpoint(w.randomHost()) }},
	{"entry freezes", 4, func(w *world) { w.freeze(w.randomEntry().process) }},
	{"agent freezes", 6, func(w *world) { w.freeze(w.randomHost().agent.process) }},
	{"link cut", 6, func(w *world) { w.cutLink(w.randomEntry(), w.randomHost(), true) }},
	{"link half open", 6, func(w *world) { w.cutLink(w.randomEntry(), w.randomHost(), false) }},
	{"agent partitioned", 3, func(w *world) { w.cutOff(w.randomHost()) }},
	{"connection reset", 4, func(w *world) { w.resetConn() }},
	{"table down", 3, func(w *world) { w.tableDown() }},
	{"table loses answers", 5, func(w *world) { w.tableLossy() }},
	{"table unreachable for one process", 4, func(w *world) { w.cutFromTable() }},
	{"host leaves", 4, func(w *world) { w.hostLeaves(w.randomHost()) }},
	{"host vanishes", 2, func(w *world) { w.hostVanishes(w.randomHost()) }},
	{"failure domain vanishes", 1, (*world).domainVanishes},
	{"all entries crash", 1, (*world).crashEntries},
	{"store slow", 2, func(w *world) { w.setSlowStore() }},
	{"service slow", 2, func(w *world) { w.setSlowService(w.randomHost()) }},
}

// injectFaults injects a random fault and schedules the next one. Several faults can overlap.
func (w *world) injectFaults() {
	if w.healthy {
		return
	}
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	at := w.random.IntN(total)
	for _, f := range faults {
		if at -= f.weight; at < 0 {
			w.logf("fault: %s", f.name)
			w.counts[f.name]++
			f.inject(w)
			break
		}
	}
	maxInterval := 9 * time.Second / time.Duration(max(1, w.severity*w.severity))
	if w.oneIn(3) {
		maxInterval = 50 * time.Millisecond
	}
	w.after(w.between(0, maxInterval), w.injectFaults)
}

func (w *world) randomEntry() *entry { return w.entries[pick(w.sim, w.entryNames)] }

func (w *world) randomHost() *host {
	names := []string{}
	for _, h := range w.allHosts {
		if w.current[h.endpoint] == h {
			names = append(names, h.endpoint)
		}
	}
	return w.current[pick(w.sim, names)]
}

// recoverAfter runs a recovery after a delay, or when all faults are ended.
func (w *world) recoverAfter(d time.Duration, run func()) {
	done := false
	once := func() {
		if !done {
			done = true
			run()
		}
	}
	w.recoveries = append(w.recoveries, once)
	w.after(d, once)
}

// endFaults ends all faults and the injection of new ones.
func (w *world) endFaults() {
	w.healthy = true
	recoveries := w.recoveries
	w.recoveries = nil
	for _, run := range recoveries {
		run()
	}
}

func (w *world) crashEntry(e *entry) {
	if e.alive {
		e.crash()
		w.recoverAfter(w.between(100*time.Millisecond, 4*time.Second), func() { w.startEntry(e.name) })
	}
}

func (w *world) stopEntry(e *entry) {
	if !e.alive || e.frozen || e.draining {
		return
	}
	e.stop()
	w.restartWhenEnded(e)
}

func (w *world) restartWhenEnded(e *entry) {
	w.after(500*time.Millisecond, func() {
		if e.alive {
			w.restartWhenEnded(e)
			return
		}
		w.startEntry(e.name)
	})
}

func (w *world) crashAgent(h *host) {
	if h.listening() {
		h.crashAgent()
		w.recoverAfter(w.between(0, 5*time.Second), h.startAgent)
	}
}

func (w *world) stopAgent(h *host) {
	if h.listening() && !h.agent.frozen && h.leavingAt == 0 {
		h.leavingAt = w.elapsed
		h.agent.stop()
		w.restartAgentWhenEnded(h)
	}
}

func (w *world) restartAgentWhenEnded(h *host) {
	w.after(500*time.Millisecond, func() {
		if h.listening() {
			w.restartAgentWhenEnded(h)
			return
		}
		h.startAgent()
	})
}

func (w *world) restartEndpoint(h *host) {
	switch {
	case !h.up:
	case h.kind == kindEngine:
		h.engine.restart()
	default:
		h.service.stop()
		w.recoverAfter(w.between(0, 2*time.Second), func() { h.service.up = h.up })
	}
}

func (w *world) freeze(p *process) {
	if !p.alive || p.frozen {
		return
	}
	p.freeze()
	w.net.checkConns()
	w.recoverAfter(w.between(200*time.Millisecond, 14*time.Second), func() { w.thaw(p) })
}

func (w *world) thaw(p *process) {
	if !p.frozen {
		return
	}
	frozen := w.elapsed - p.frozenAt
	p.thaw()
	w.net.handleThaw(p, frozen)
}

// cutLink blocks the link between two hosts in both directions or in one.
func (w *world) cutLink(e *entry, h *host, both bool) {
	l := w.net.link(e.name, h.id)
	to := pick(w.sim, []side{atEntry, atAgent})
	w.net.block(l, to, true)
	if both {
		w.net.block(l, to.other(), true)
	}
	w.recoverAfter(w.between(100*time.Millisecond, 8*time.Second), func() {
		w.net.block(l, atEntry, false)
		w.net.block(l, atAgent, false)
	})
}

func (w *world) cutOff(h *host) {
	for _, name := range w.entryNames {
		w.cutLink(w.entries[name], h, true)
	}
}

func (w *world) resetConn() {
	if len(w.net.conns) > 0 {
		c := pick(w.sim, w.net.conns)
		c.reset(atEntry)
		c.reset(atAgent)
	}
}

func (w *world) tableDown() {
	w.table.down = true
	w.recoverAfter(w.between(300*time.Millisecond, 8*time.Second), func() { w.table.down = false })
}

func (w *world) tableLossy() {
	w.table.failOneIn = 2 + w.random.IntN(6)
	w.recoverAfter(w.between(500*time.Millisecond, 6*time.Second), func() { w.table.failOneIn = 0 })
}

func (w *world) cutFromTable() {
	if w.oneIn(2) {
		e := w.randomEntry()
		e.table.cut = true
		w.recoverAfter(w.between(300*time.Millisecond, 8*time.Second), func() { e.table.cut, e.tableReachableAt = false, w.elapsed })
		return
	}
	a := w.randomHost().agent
	a.table.cut = true
	w.recoverAfter(w.between(300*time.Millisecond, 8*time.Second), func() { a.table.cut = false })
}

// hostLeaves simulates the announced replacement of a host by the platform.
func (w *world) hostLeaves(h *host) {
	if h.state != backing.HostLive || !h.up {
		return
	}
	h.state, h.listedLeavingAt = backing.HostLeaving, w.elapsed
	if h.leavingAt == 0 {
		h.leavingAt = w.elapsed
	}
	w.publishHosts()
	w.recoverAfter(w.between(2*time.Second, 9*time.Second), func() { w.terminateHost(h) })
}

// hostVanishes terminates a host without notice.
func (w *world) hostVanishes(h *host) {
	if h.up {
		w.terminateHost(h)
	}
}

// domainVanishes terminates all hosts of a failure domain.
func (w *world) domainVanishes() {
	domain := w.randomHost().domain
	for _, h := range w.allHosts {
		if h.domain == domain {
			w.hostVanishes(h)
		}
	}
}

func (w *world) crashEntries() {
	for _, name := range w.entryNames {
		w.crashEntry(w.entries[name])
	}
}

func (w *world) terminateHost(h *host) {
	if !h.up {
		return
	}
	h.terminate()
	w.recoverAfter(w.between(0, 3*time.Second), func() {
		h.state = backing.HostGone
		w.publishHosts()
	})
	w.recoverAfter(w.between(0, 5*time.Second), func() {
		f := fencingIgnored
		if h.engine != nil {
			f = h.engine.fencing
		}
		w.addHost(h.endpoint, h.kind, h.domain, f).startAgent()
		w.publishHosts()
	})
	w.after(w.between(6*time.Second, 12*time.Second), func() {
		h.state = ""
		w.publishHosts()
	})
}

func (w *world) setSlowStore() {
	w.slowStore = true
	w.recoverAfter(w.between(time.Second, 10*time.Second), func() { w.slowStore = false })
}

func (w *world) setSlowService(h *host) {
	if h.service != nil {
		h.service.slow = true
		w.recoverAfter(w.between(time.Second, 5*time.Second), func() { h.service.slow = false })
	}
}
