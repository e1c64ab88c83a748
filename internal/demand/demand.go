// Package demand adds up what the requests of many gateways ask for, by model. Gateways send what has changed since their
// last message; a Board keeps the sum. It does no I/O and reads no clock.
package demand

import "time"

// Target is a model of a service. Version is empty but for requests that only engines of one software version may serve
// while they wait for one that has the model; all else counts without it.
type Target struct{ Service, Model, Version string }

// Model is the demand for one model.
type Model struct {
	Target
	// Waiting is the number of requests that wait for a replica, and OldestWait how long the oldest has waited.
	Waiting    int
	OldestWait time.Duration
	// Running is the number of requests at engines.
	Running int
	// Arrived is the number of requests that have arrived: since the sender's start in a complete list of the demand, since
	// the last message in a list of changes.
	Arrived int64
	// FirstEventTarget is the shortest declared time to the first event among the requests; 0 if none declares one.
	FirstEventTarget time.Duration
}

// idle reports whether no request waits or runs.
func (m Model) idle() bool { return m.Waiting == 0 && m.Running == 0 }

// waitTolerance is the difference between two ages of the oldest waiting request that is not reported as a change.
const waitTolerance = 20 * time.Millisecond

// Differ finds what has changed since the last message to one receiver.
type Differ struct {
	sent map[Target]sentModel
}

type sentModel struct {
	Model
	at time.Time
}

// Reset makes the next list complete, for a receiver that has just connected. Arrivals that were sent to an earlier
// receiver are not sent again.
func (d *Differ) Reset() {
	for t, s := range d.sent {
		d.sent[t] = sentModel{Model: Model{Target: t, Arrived: s.Arrived}}
	}
}

// Changes returns the models whose demand differs from what was sent last, given the complete demand.
func (d *Differ) Changes(now time.Time, all []Model) []Model {
	if d.sent == nil {
		d.sent = make(map[Target]sentModel)
	}
	var changes []Model
	for _, m := range all {
		s := d.sent[m.Target]
		if m.Waiting == s.Waiting && m.Running == s.Running && m.Arrived == s.Arrived &&
			m.FirstEventTarget == s.FirstEventTarget && s.sameOldest(now, m) {
			continue
		}
		change := m
		change.Arrived = m.Arrived - s.Arrived
		changes = append(changes, change)
		d.sent[m.Target] = sentModel{Model: m, at: now}
	}
	return changes
}

// sameOldest reports whether the oldest waiting request is the one that was sent.
func (s sentModel) sameOldest(now time.Time, m Model) bool {
	if m.Waiting == 0 {
		return true
	}
	expected := s.OldestWait + now.Sub(s.at)
	return (m.OldestWait - expected).Abs() <= waitTolerance
}
