package entry

import "sync"

// broadcaster notifies all waiters of a change.
type broadcaster struct {
	mu   sync.Mutex
	next chan struct{}
}

func newBroadcaster() *broadcaster { return &broadcaster{next: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (b *broadcaster) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next
}

// broadcast wakes all waiters.
func (b *broadcaster) broadcast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = make(chan struct{})
}

// counts is a set of counters by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func newCounts() *counts { return &counts{n: map[string]int{}} }

// add adds d to a counter and removes it when it becomes zero.
func (c *counts) add(name string, d int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name] += d
	if c.n[name] == 0 {
		delete(c.n, name)
	}
}

// get returns the value of a counter.
func (c *counts) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}
