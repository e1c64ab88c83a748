package joined

import "time"

const (
	// inForceBound is how long after an edit, or after the ways to a process are free, the edit is in force there.
	inForceBound = 4 * time.Second
	// leavingBound is how long a leaving endpoint may still get new work.
	leavingBound = 4 * time.Second
	checkEvery   = 250 * time.Millisecond
)

// keepChecking checks now and then that each process whose ways are free has the newest declarations.
func (w *world) keepChecking() {
	w.noteTable()
	if w.at > inForceBound {
		w.checkInForce()
	}
	w.after(checkEvery, w.keepChecking)
}

// noteTable keeps until when the table did not work well.
func (w *world) noteTable() {
	if w.table.down || w.table.lossy > 0 {
		w.tableBad = w.at
	}
}

// freeSince returns since when an entry works and reaches the table; false when it does not.
func (e *entry) freeSince() (time.Duration, bool) {
	w := e.w
	if !e.alive || e.frozen || e.table.cut || w.table.down || w.table.lossy > 0 {
		return 0, false
	}
	return max(e.started, e.thawedAt, e.tableFreed, w.tableBad+checkEvery), true
}

// linkedSince returns since when an agent is reached by an entry that reaches the table; false when there is none.
func (a *agent) linkedSince() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, e := range a.w.liveEntries() {
		free, ok := e.freeSince()
		l := a.w.net.link(e.name, a.host.id)
		if !ok || l.blocked != [2]bool{} {
			continue
		}
		since := max(free, l.freed, a.started, a.thawedAt, a.host.createdAt+hostListLag+2*listInterval)
		if !found || since < first {
			first, found = since, true
		}
	}
	return first, found && a.alive && !a.frozen && a.host.up
}

func (w *world) checkInForce() {
	due := w.truth.Revision()
	for due > 0 && w.acceptedAt[due] > w.at-inForceBound {
		due--
	}
	for _, e := range w.liveEntries() {
		since, ok := e.freeSince()
		if held := e.store.Current().Revision(); ok && w.at-since > inForceBound && held < due {
			w.violated("P9", "%s has revision %d, %d was accepted %v ago", e.name, held, due, w.at-w.acceptedAt[due])
		}
	}
	for _, e := range w.liveEntries() {
		w.checkLearnt(e)
	}
	for _, h := range w.allHosts {
		if !h.up || !h.listening() || h.state == "" {
			continue
		}
		since, ok := h.agent.linkedSince()
		if held := h.agent.receiver.Revision(); ok && w.at-since > inForceBound && held < due {
			w.violated("P9", "%s has revision %d, %d was accepted %v ago", h.agent.name, held, due, w.at-w.acceptedAt[due])
		}
	}
}

// checkLearnt checks that an entry which does not reach the table learns from the agents that it reaches what they hold.
func (w *world) checkLearnt(e *entry) {
	if e.frozen || !e.table.cut && !w.table.down {
		return
	}
	for _, h := range w.allHosts {
		if !h.up || !h.listening() || h.agent.frozen || h.state == "" || w.current[h.endpoint] != h {
			continue
		}
		a, l := h.agent, w.net.link(e.name, h.id)
		since := max(e.started, e.thawedAt, a.started, a.thawedAt, l.freed, h.createdAt+hostListLag+2*listInterval, a.declaredAt)
		held, told := e.store.Current().Revision(), a.receiver.Revision()
		if l.blocked == [2]bool{} && w.at-since > inForceBound && held < told {
			w.violated("P9", "%s has revision %d, %s has had %d for %v", e.name, held, a.name, told, w.at-since)
		}
	}
}

// offerAccepted checks that an endpoint takes new work only while it is not leaving, but for the time in which that
// becomes known. An entry that was frozen has that time once it goes on.
func (w *world) offerAccepted(x *exchange) {
	p, h := x.stream.conn.processes[atEntry], x.host
	if w.at-max(p.started, p.thawedAt, x.started, x.thawedAt, x.stream.conn.link.freed) < leavingBound {
		return
	}
	if h.leavingAt > 0 && w.at-h.leavingAt > leavingBound {
		w.violated("P7", "%s takes %s %v after it began to leave", h.endpoint, x.id, w.at-h.leavingAt)
	}
	e := w.entries[p.name]
	drained, ok := w.drainedAt[h.endpoint]
	free, works := e.freeSince()
	if ok && works && w.at-max(free, drained) > inForceBound+leavingBound {
		w.violated("P7", "%s takes %s %v after the drain", h.endpoint, x.id, w.at-drained)
	}
}

// offered checks that an entry offers nothing to an endpoint of which the list has said for some time that it leaves,
// whatever the agent would answer.
func (w *world) offered(e *entry, h *host) {
	known := w.at-max(e.started, e.thawedAt) > leavingBound
	if known && h.listedLeavingAt > 0 && w.at-h.listedLeavingAt > leavingBound {
		w.violated("P7", "%s offers to %s %v after it was listed as leaving", e.name, h.endpoint, w.at-h.listedLeavingAt)
	}
}
