package loading

import "time"

// ReadyAt returns the earliest time at which requests for an unusable target may run, or false if there is no estimate.
// The deadline is that of the request.
func (m *Machine) ReadyAt(model, adapter string, deadline time.Time) (time.Time, bool) {
	r := m.replicas.get(model)
	if r == nil {
		return time.Time{}, false
	}
	target := m.find(model, adapter)
	if target == nil {
		target = &holding{replica: r, adapter: adapter}
	}
	return m.readyAt(target, deadline)
}
