package entry

import (
	"time"

	"balsamsail/internal/wire/wirepb"
)

const (
	// behindPatience is how long the table is given to show a revision that an agent already holds, and behindAgain the time
	// between two questions to agents.
	behindPatience = time.Second
	behindAgain    = time.Second
)

// behind tells when to ask an agent for the declarations that it holds.
//
// The failure is a table that goes down right after another entry has had an edit accepted, or this entry being cut off
// from it: the agents hold the new revision from the other entry, the operator was told that it is accepted, and this
// entry would go on with the older one for as long as the outage lasts. Agents hold only accepted revisions, so what one
// of them reports may be adopted. Most of the time the table shows the revision within a poll, so it is given that time
// first: otherwise each edit would make each entry ask for a whole snapshot.
type behind struct {
	since, asked time.Time
}

// ask takes in that an agent told its revision and reports whether it is to be asked for what it holds.
func (b *behind) ask(now time.Time, held, told uint64) bool {
	if told <= held {
		return false
	}
	if b.since.IsZero() {
		b.since = now
	}
	if now.Sub(b.since) < behindPatience || now.Sub(b.asked) < behindAgain {
		return false
	}
	b.asked = now
	return true
}

// caughtUp forgets that the entry was behind.
func (b *behind) caughtUp() { b.since = time.Time{} }

// catchUp asks an agent for the declarations when it holds higher ones and the table does not show them.
func (c *coordinator) catchUp(now time.Time, endpoint string, status *wirepb.Status) {
	if status == nil {
		return
	}
	held := c.entry.store.Current().Revision()
	c.mu.Lock()
	ask := c.behind.ask(now, held, status.DeclarationsRevision)
	c.mu.Unlock()
	if ask {
		c.entry.members.Send(endpoint, &wirepb.ControlDown{WantState: true})
	}
}
