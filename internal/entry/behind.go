package entry

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

const (
	// lagTolerance is how long the table may take to show a revision that an agent already holds. lagRetryInterval is
	// the time between two requests to agents.
	lagTolerance     = time.Second
	lagRetryInterval = time.Second
)

// revisionLag decides when to request the declarations from an agent.
//
// It covers a table outage right after another entry had an edit accepted, or this entry losing its connection to the
// table. The agents have the new revision from the other entry and the operator got a confirmation, but this entry
// would use the older one until the outage ends. Agents hold only accepted revisions, so a revision that an agent
// reports may be adopted. Normally the table shows the revision within one poll; waiting for that first prevents every
// entry from requesting a whole snapshot after every edit.
type revisionLag struct {
	since, lastRequest time.Time
}

// shouldRequest processes the revision that an agent reported and reports whether to request its declarations.
func (l *revisionLag) shouldRequest(now time.Time, held, reported uint64) bool {
	if reported <= held {
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < lagTolerance || now.Sub(l.lastRequest) < lagRetryInterval {
		return false
	}
	l.lastRequest = now
	return true
}

// reset marks the entry as up to date.
func (l *revisionLag) reset() { l.since = time.Time{} }

// requestNewerDeclarations requests the declarations from an agent that holds a higher revision when the table does not
// show it in time.
func (c *coordinator) requestNewerDeclarations(now time.Time, endpoint string, status *wirepb.Status) {
	if status == nil {
		return
	}
	held := c.entry.store.Current().Revision()
	c.mu.Lock()
	request := c.lag.shouldRequest(now, held, status.DeclarationsRevision)
	c.mu.Unlock()
	if request {
		c.entry.members.Send(endpoint, &wirepb.ControlDown{WantState: true})
	}
}
