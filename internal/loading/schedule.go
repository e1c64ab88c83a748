package loading

import (
	"container/heap"
	"time"
)

// notScheduled is the index of an item that is not in a schedule.
const notScheduled = -1

// schedule is a heap of items ordered by time. Each item stores its own time and heap index.
type schedule[T any] struct {
	items []T
	due   func(T) time.Time
	index func(T) *int
}

// Len implements heap.Interface.
func (s *schedule[T]) Len() int { return len(s.items) }

// Less implements heap.Interface.
func (s *schedule[T]) Less(i, j int) bool { return s.due(s.items[i]).Before(s.due(s.items[j])) }

// Swap implements heap.Interface.
func (s *schedule[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	*s.index(s.items[i]) = i
	*s.index(s.items[j]) = j
}

// Push implements heap.Interface.
func (s *schedule[T]) Push(item any) {
	*s.index(item.(T)) = len(s.items)
	s.items = append(s.items, item.(T))
}

// Pop implements heap.Interface.
func (s *schedule[T]) Pop() any {
	last := len(s.items) - 1
	item := s.items[last]
	var none T
	s.items[last] = none
	s.items = s.items[:last]
	*s.index(item) = notScheduled
	return item
}

// set adds an item, or moves it after its time has changed.
func (s *schedule[T]) set(item T) {
	if at := *s.index(item); at != notScheduled {
		heap.Fix(s, at)
		return
	}
	heap.Push(s, item)
}

// remove removes an item if it is present.
func (s *schedule[T]) remove(item T) {
	if at := *s.index(item); at != notScheduled {
		heap.Remove(s, at)
	}
}

// first returns the time of the first item; zero if there is none.
func (s *schedule[T]) first() time.Time {
	if len(s.items) == 0 {
		return time.Time{}
	}
	return s.due(s.items[0])
}

// next removes and returns the first item if it is due.
func (s *schedule[T]) next(now time.Time) (T, bool) {
	if len(s.items) == 0 || s.first().After(now) {
		var none T
		return none, false
	}
	return heap.Pop(s).(T), true
}

// earlier returns the earlier of two times; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
