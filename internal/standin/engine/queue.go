package engine

import (
	"slices"

	"balsamsail/internal/endpoint"
)

// queue admits requests to the running batch: interactive requests before batch requests, each in order of arrival. It is
// guarded by the server's mu.
type queue struct {
	maxRunning, maxWaiting int
	running                int
	interactive, batch     []*ticket
}

// ticket is a request's entry in the queue; ready is closed when the request may run.
type ticket struct {
	ready    chan struct{}
	admitted bool
}

func (q *queue) waiting() int { return len(q.interactive) + len(q.batch) }

// enter returns a request's ticket, or nil if the queue is full.
func (q *queue) enter(priority string) *ticket {
	t := &ticket{ready: make(chan struct{})}
	if q.running < q.maxRunning {
		q.admit(t)
		return t
	}
	if q.waiting() >= q.maxWaiting {
		return nil
	}
	if priority == endpoint.PriorityBatch {
		q.batch = append(q.batch, t)
	} else {
		q.interactive = append(q.interactive, t)
	}
	return t
}

func (q *queue) admit(t *ticket) {
	q.running++
	t.admitted = true
	close(t.ready)
}

// leave removes a waiting or running request and, if it was running, admits the next one.
func (q *queue) leave(t *ticket) {
	if !t.admitted {
		q.interactive = slices.DeleteFunc(q.interactive, func(o *ticket) bool { return o == t })
		q.batch = slices.DeleteFunc(q.batch, func(o *ticket) bool { return o == t })
		return
	}
	q.running--
	for _, class := range []*[]*ticket{&q.interactive, &q.batch} {
		if len(*class) > 0 {
			next := (*class)[0]
			*class = (*class)[1:]
			q.admit(next)
			return
		}
	}
}
