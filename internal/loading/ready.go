package loading

import "time"

// ReadyAt returns the earliest time at which requests of a target that is not usable may run, or false when nothing is
// known of it. A wait for it is worth while until deadline.
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
