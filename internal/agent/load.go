package agent

import (
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/wire/wirepb"
)

// estimate returns the queue's input for a target.
func (c *core) estimate(t admission.Target) admission.Estimate {
	e := admission.Estimate{Ready: c.isUsable(t), Concurrency: c.limit(t), Running: c.runningOf(t)}
	c.times.Fill(t, &e)
	return e
}

// accepted returns the Accepted message for a queued request.
func (c *core) accepted(w *pendingRequest) *wirepb.Accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.loadLocked(w.request.Target)
	if wait := c.timeToReady(w); wait.Microseconds() > load.WaitMicros {
		load.WaitMicros = wait.Microseconds()
	}
	return &wirepb.Accepted{Load: load, Cold: w.cold}
}

// timeToReady returns the expected time until a request's target can run: 0 if it can run now or no estimate is
// available.
func (c *core) timeToReady(w *pendingRequest) time.Duration {
	t := w.request.Target
	if !w.cold || c.machine == nil {
		return 0
	}
	at, known := c.machine.ReadyAt(t.Model, t.Adapter, w.request.Deadline)
	if !known {
		return 0
	}
	return max(0, at.Sub(c.clock.Now()))
}

// load returns the endpoint's load as sent in final frames and reports.
func (c *core) load(t admission.Target) *wirepb.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadLocked(t)
}

func (c *core) loadLocked(t admission.Target) *wirepb.Load {
	wait := time.Duration(0)
	if t != (admission.Target{}) {
		wait = c.queue.Wait(t, wirepb.Class_INTERACTIVE, c.estimate(t))
	}
	return &wirepb.Load{
		Running:    int32(len(c.running)),
		Queued:     int32(c.queue.Len()),
		WaitMicros: wait.Microseconds(),
	}
}
