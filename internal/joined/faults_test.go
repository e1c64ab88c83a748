package joined

import (
	"time"

	"balsamsail/internal/backing"
)

// fault is something that goes wrong for a while, with its weight.
type fault struct {
	name   string
	weight int
	happen func(*world)
}

var faults = []fault{
	{"entry crashes", 4, func(w *world) { w.crashEntry(w.someEntry()) }},
	{"entry stops", 2, func(w *world) { w.stopEntry(w.someEntry()) }},
	{"agent crashes", 6, func(w *world) { w.crashAgent(w.someHost()) }},
	{"agent stops", 3, func(w *world) { w.stopAgent(w.someHost()) }},
	{"endpoint restarts", 5, func(w *world) { w.restartEndpoint(w.someHost()) }},
	{"entry freezes", 4, func(w *world) { w.freeze(w.someEntry().process) }},
	{"agent freezes", 6, func(w *world) { w.freeze(w.someHost().agent.process) }},
	{"link cut", 6, func(w *world) { w.cutLink(w.someEntry(), w.someHost(), true) }},
	{"link half open", 6, func(w *world) { w.cutLink(w.someEntry(), w.someHost(), false) }},
	{"agent cut off", 3, func(w *world) { w.cutOff(w.someHost()) }},
	{"connection reset", 4, func(w *world) { w.resetConn() }},
	{"table down", 3, func(w *world) { w.tableDown() }},
	{"table loses answers", 5, func(w *world) { w.tableLossy() }},
	{"way to the table cut", 4, func(w *world) { w.cutFromTable() }},
	{"host leaves", 4, func(w *world) { w.hostLeaves(w.someHost()) }},
	{"host vanishes", 2, func(w *world) { w.hostVanishes(w.someHost()) }},
	{"failure domain vanishes", 1, (*world).domainVanishes},
	{"all entries crash", 1, (*world).crashEntries},
	{"store slow", 2, func(w *world) { w.setSlowStore() }},
	{"service slow", 2, func(w *world) { w.setSlowService(w.someHost()) }},
}

// keepFailing lets faults happen one after the other, at times several at once.
func (w *world) keepFailing() {
	if w.calm {
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
			f.happen(w)
			break
		}
	}
	longest := 9 * time.Second / time.Duration(max(1, w.intense*w.intense))
	if w.chance(3) {
		longest = 50 * time.Millisecond
	}
	w.after(w.between(0, longest), w.keepFailing)
}

func (w *world) someEntry() *entry { return w.entries[pick(w.sim, w.entryNames)] }

func (w *world) someHost() *host {
	names := []string{}
	for _, h := range w.allHosts {
		if w.current[h.endpoint] == h {
			names = append(names, h.endpoint)
		}
	}
	return w.current[pick(w.sim, names)]
}

// until lets something happen after a time, or at once when the faults end.
func (w *world) until(d time.Duration, run func()) {
	done := false
	once := func() {
		if !done {
			done = true
			run()
		}
	}
	w.mends = append(w.mends, once)
	w.after(d, once)
}

// mend ends all faults.
func (w *world) mend() {
	w.calm = true
	mends := w.mends
	w.mends = nil
	for _, run := range mends {
		run()
	}
}

func (w *world) crashEntry(e *entry) {
	if e.alive {
		e.crash()
		w.until(w.between(100*time.Millisecond, 4*time.Second), func() { w.startEntry(e.name) })
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
		w.until(w.between(0, 5*time.Second), h.startAgent)
	}
}

func (w *world) stopAgent(h *host) {
	if h.listening() && !h.agent.frozen && h.leavingAt == 0 {
		h.leavingAt = w.at
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
		w.until(w.between(0, 2*time.Second), func() { h.service.up = h.up })
	}
}

func (w *world) freeze(p *process) {
	if !p.alive || p.frozen {
		return
	}
	p.freeze()
	w.net.notice()
	w.until(w.between(200*time.Millisecond, 14*time.Second), func() { w.thaw(p) })
}

func (w *world) thaw(p *process) {
	if !p.frozen {
		return
	}
	frozen := w.at - p.frozenAt
	p.thaw()
	w.net.thawed(p, frozen)
}

// cutLink cuts the way between two hosts, or only one direction of it.
func (w *world) cutLink(e *entry, h *host, both bool) {
	l := w.net.link(e.name, h.id)
	to := pick(w.sim, []side{atEntry, atAgent})
	w.net.block(l, to, true)
	if both {
		w.net.block(l, to.other(), true)
	}
	w.until(w.between(100*time.Millisecond, 8*time.Second), func() {
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
	w.until(w.between(300*time.Millisecond, 8*time.Second), func() { w.table.down = false })
}

func (w *world) tableLossy() {
	w.table.lossy = 2 + w.random.IntN(6)
	w.until(w.between(500*time.Millisecond, 6*time.Second), func() { w.table.lossy = 0 })
}

func (w *world) cutFromTable() {
	if w.chance(2) {
		e := w.someEntry()
		e.table.cut = true
		w.until(w.between(300*time.Millisecond, 8*time.Second), func() { e.table.cut, e.tableFreed = false, w.at })
		return
	}
	a := w.someHost().agent
	a.table.cut = true
	w.until(w.between(300*time.Millisecond, 8*time.Second), func() { a.table.cut = false })
}

// hostLeaves lets the platform take a host away and put another one in its place.
func (w *world) hostLeaves(h *host) {
	if h.state != backing.HostLive || !h.up {
		return
	}
	h.state, h.listedLeavingAt = backing.HostLeaving, w.at
	if h.leavingAt == 0 {
		h.leavingAt = w.at
	}
	w.publishHosts()
	w.until(w.between(2*time.Second, 9*time.Second), func() { w.takeAway(h) })
}

// hostVanishes terminates a host without a warning.
func (w *world) hostVanishes(h *host) {
	if h.up {
		w.takeAway(h)
	}
}

// domainVanishes terminates all hosts of a failure domain.
func (w *world) domainVanishes() {
	domain := w.someHost().domain
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

func (w *world) takeAway(h *host) {
	if !h.up {
		return
	}
	h.terminate()
	w.until(w.between(0, 3*time.Second), func() {
		h.state = backing.HostGone
		w.publishHosts()
	})
	w.until(w.between(0, 5*time.Second), func() {
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
	w.until(w.between(time.Second, 10*time.Second), func() { w.slowStore = false })
}

func (w *world) setSlowService(h *host) {
	if h.service != nil {
		h.service.slow = true
		w.until(w.between(time.Second, 5*time.Second), func() { h.service.slow = false })
	}
}
