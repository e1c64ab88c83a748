// Package sitelog holds facts that every gateway of a site should know. Each gateway adds what it learns, from its own requests
// or from others; each link sends its peer what the peer has not been sent yet. Facts never change and expire by themselves, so
// that they may arrive in any order, more than once, and by several ways.
package sitelog

import "time"

// Fact is one entry of a Log.
type Fact[K comparable, V any] struct {
	Key   K
	Value V
	// Expires is when the fact is forgotten.
	Expires time.Time
}

// Log holds facts in the order in which they became known. It is not safe for concurrent use.
type Log[K comparable, V any] struct {
	capacity int
	onForget func(K)
	byKey    map[K]Fact[K, V]
	// order holds the known facts, the oldest first; the first one has the position start.
	order []K
	start int64
}

// New returns an empty log of at most capacity facts; the oldest ones make room for new ones. onForget is called with the key of
// each fact that the log drops.
func New[K comparable, V any](capacity int, onForget func(K)) *Log[K, V] {
	return &Log[K, V]{capacity: capacity, onForget: onForget, byKey: make(map[K]Fact[K, V])}
}

// Add records a fact unless one with its key is known, and reports whether it is new.
func (l *Log[K, V]) Add(now time.Time, f Fact[K, V]) bool {
	l.forget(now)
	if _, known := l.byKey[f.Key]; known || !now.Before(f.Expires) {
		return false
	}
	l.byKey[f.Key] = f
	l.order = append(l.order, f.Key)
	l.forget(now)
	return true
}

// Get returns the fact with the given key.
func (l *Log[K, V]) Get(now time.Time, key K) (Fact[K, V], bool) {
	f, ok := l.byKey[key]
	return f, ok && now.Before(f.Expires)
}

// Since returns the facts that became known from a position on, at most limit, and the position after them. The first position
// is 0.
func (l *Log[K, V]) Since(now time.Time, position int64, limit int) ([]Fact[K, V], int64) {
	l.forget(now)
	position = max(position, l.start)
	end := min(position+int64(limit), l.End())
	var list []Fact[K, V]
	for _, key := range l.order[position-l.start : end-l.start] {
		if f := l.byKey[key]; now.Before(f.Expires) {
			list = append(list, f)
		}
	}
	return list, end
}

// End returns the position after all facts.
func (l *Log[K, V]) End() int64 { return l.start + int64(len(l.order)) }

// Len returns the number of facts that the log holds.
func (l *Log[K, V]) Len() int {
	return len(l.order)
}

// forget drops the oldest facts that have expired or are too many.
func (l *Log[K, V]) forget(now time.Time) {
	n := 0
	for n < len(l.order) && (len(l.order)-n > l.capacity || !now.Before(l.byKey[l.order[n]].Expires)) {
		delete(l.byKey, l.order[n])
		l.onForget(l.order[n])
		n++
	}
	l.order = l.order[n:]
	l.start += int64(n)
}
