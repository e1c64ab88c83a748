package agent

import "sync"

// inflight counts request streams. Unlike a sync.WaitGroup it may be entered while somebody waits: an entry that has not
// heard of the drain yet still opens streams, only to have them refused.
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

// empty returns a channel that is closed once no stream is left.
func (f *inflight) empty() <-chan struct{} {
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
