package loading

import (
	"container/heap"
	"time"
)

// notPlaced is the place of an item that is not in a schedule.
const notPlaced = -1

// schedule holds items in the order of their times. Each item knows its own time and its place.
type schedule[T any] struct {
	items []T
	due   func(T) time.Time
	place func(T) *int
}

// Len implements heap.Interface.
func (s *schedule[T]) Len() int { return len(s.items) }

// Less implements heap.Interface.
func (s *schedule[T]) Less(i, j int) bool { return s.due(s.items[i]).Before(s.due(s.items[j])) }

// Swap implements heap.Interface.
func (s *schedule[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	*s.place(s.items[i]) = i
	*s.place(s.items[j]) = j
}

// Push implements heap.Interface.
func (s *schedule[T]) Push(item any) {
	*s.place(item.(T)) = len(s.items)
	s.items = append(s.items, item.(T))
}

// Pop implements heap.Interface.
func (s *schedule[T]) Pop() any {
	last := len(s.items) - 1
	item := s.items[last]
	var none T
	s.items[last] = none
	s.items = s.items[:last]
	*s.place(item) = notPlaced
	return item
}

// set puts an item in its place after its time was set or changed.
func (s *schedule[T]) set(item T) {
	if at := *s.place(item); at != notPlaced {
		heap.Fix(s, at)
		return
	}
	heap.Push(s, item)
}

// remove takes an item out, if it is in.
func (s *schedule[T]) remove(item T) {
	if at := *s.place(item); at != notPlaced {
		heap.Remove(s, at)
	}
}

// first returns the time of the first item; zero when there is none.
func (s *schedule[T]) first() time.Time {
	if len(s.items) == 0 {
		return time.Time{}
	}
	return s.due(s.items[0])
}

// next takes out the first item that is due.
func (s *schedule[T]) next(now time.Time) (T, bool) {
	if len(s.items) == 0 || s.first().After(now) {
		var none T
		return none, false
	}
	return heap.Pop(s).(T), true
}

// earlier returns the earlier of two times, of which the zero time is none.
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
