package agent

import "sync"

// inflight counts operations in flight. Unlike a sync.WaitGroup it allows the count to rise from zero while another
// goroutine waits: an entry that has not yet received the agent's drain status still opens streams, whose requests are
// then refused.
type inflight struct {
	mu      sync.Mutex
	n       int
	waiting chan struct{}
}

func (f *inflight) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *inflight) exit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.waiting != nil {
		close(f.waiting)
		f.waiting = nil
	}
}

// drained returns a channel that is closed once the count is zero.
func (f *inflight) drained() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if f.waiting == nil {
		f.waiting = make(chan struct{})
	}
	return f.waiting
}
