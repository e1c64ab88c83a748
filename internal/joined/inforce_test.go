package joined

import "time"

const (
	// inForceBound is the time within which an edit must be in force in a process, counted from the edit or from the time
	// at which the process became reachable.
	inForceBound = 4 * time.Second
	// leavingBound is the time for which a leaving endpoint may still get new requests.
	leavingBound  = 4 * time.Second
	checkInterval = 250 * time.Millisecond
)

// scheduleChecks checks periodically that each reachable process has the newest declarations.
func (w *world) scheduleChecks() {
	w.recordTableFault()
	if w.elapsed > inForceBound {
		w.checkInForce()
	}
	w.after(checkInterval, w.scheduleChecks)
}

// recordTableFault records the last time at which the table was faulty.
func (w *world) recordTableFault() {
	if w.table.down || w.table.failOneIn > 0 {
		w.tableFaultAt = w.elapsed
	}
}

// healthySince returns the time since which an entry has been running and able to reach the table, or false if it is not.
func (e *entry) healthySince() (time.Duration, bool) {
	w := e.w
	if !e.alive || e.frozen || e.table.cut || w.table.down || w.table.failOneIn > 0 {
		return 0, false
	}
	return max(e.started, e.thawedAt, e.tableReachableAt, w.tableFaultAt+checkInterval), true
}

// reachableSince returns the time since which an agent has been reachable from an entry that can reach the table, or false
// if it is not.
func (a *agent) reachableSince() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, e := range a.w.liveEntries() {
		free, ok := e.healthySince()
		l := a.w.net.link(e.name, a.host.id)
		if !ok || l.blocked != [2]bool{} {
			continue
		}
		since := max(free, l.unblockedAt, a.started, a.thawedAt, a.host.createdAt+hostListLag+2*listInterval)
		if !found || since < first {
			first, found = since, true
		}
	}
	return first, found && a.alive && !a.frozen && a.host.up
}

func (w *world) checkInForce() {
	due := w.reference.Revision()
	for due > 0 && w.acceptedAt[due] > w.elapsed-inForceBound {
		due--
	}
	for _, e := range w.liveEntries() {
		since, ok := e.healthySince()
		if revision := e.store.Current().Revision(); ok && w.elapsed-since > inForceBound && revision < due {
			w.violated("P9", "%s has revision %d, %d was accepted %v ago", e.name, revision, due, w.elapsed-w.acceptedAt[due])
		}
	}
	for _, e := range w.liveEntries() {
		w.checkLearned(e)
	}
	for _, h := range w.allHosts {
		if !h.up || !h.listening() || h.state == "" {
			continue
		}
		since, ok := h.agent.reachableSince()
		if revision := h.agent.receiver.Revision(); ok && w.elapsed-since > inForceBound && revision < due {
			w.violated("P9", "%s has revision %d, %d was accepted %v ago", h.agent.name, revision, due, w.elapsed-w.acceptedAt[due])
		}
	}
}

// checkLearned checks that an entry that cannot reach the table gets newer declarations from the agents that it can reach.
func (w *world) checkLearned(e *entry) {
	if e.frozen || !e.table.cut && !w.table.down {
		return
	}
	for _, h := range w.allHosts {
		if !h.up || !h.listening() || h.agent.frozen || h.state == "" || w.current[h.endpoint] != h {
			continue
		}
		a, l := h.agent, w.net.link(e.name, h.id)
		since := max(e.started, e.thawedAt, a.started, a.thawedAt, l.unblockedAt, h.createdAt+hostListLag+2*listInterval, a.declaredAt)
		revision, agentRevision := e.store.Current().Revision(), a.receiver.Revision()
		if l.blocked == [2]bool{} && w.elapsed-since > inForceBound && revision < agentRevision {
			w.violated("P9", "%s has revision %d, %s has had %d for %v", e.name, revision, a.name, agentRevision, w.elapsed-since)
		}
	}
}

// checkAccepted checks that an endpoint accepts no new requests after it began to leave or was drained, apart from the time
// that this takes to become known. The time starts again when a frozen entry resumes.
func (w *world) checkAccepted(x *exchange) {
	p, h := x.stream.conn.processes[atEntry], x.host
	if w.elapsed-max(p.started, p.thawedAt, x.started, x.thawedAt, x.stream.conn.link.unblockedAt) < leavingBound {
		return
	}
	if h.leavingAt > 0 && w.elapsed-h.leavingAt > leavingBound {
		w.violated("P7", "%s accepts %s %v after it began to leave", h.endpoint, x.id, w.elapsed-h.leavingAt)
	}
	e := w.entries[p.name]
	drained, ok := w.drainedAt[h.endpoint]
	free, works := e.healthySince()
	if ok && works && w.elapsed-max(free, drained) > inForceBound+leavingBound {
		w.violated("P7", "%s accepts %s %v after the drain", h.endpoint, x.id, w.elapsed-drained)
	}
}

// checkOffer checks that an entry offers no requests to an endpoint that has been listed as leaving for some time, even if
// the agent would refuse them.
func (w *world) checkOffer(e *entry, h *host) {
	known := w.elapsed-max(e.started, e.thawedAt) > leavingBound
	if known && h.listedLeavingAt > 0 && w.elapsed-h.listedLeavingAt > leavingBound {
		w.violated("P7", "%s offers to %s %v after it was listed as leaving", e.name, h.endpoint, w.elapsed-h.listedLeavingAt)
	}
}
