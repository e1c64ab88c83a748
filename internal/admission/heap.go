package admission

import "container/heap"

// heapItem is an element of an indexedHeap; heapIndex points to the field that holds its index.
type heapItem interface{ heapIndex() *int }

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

// indexedHeap is a priority queue whose elements store their own index, so that they can be updated and removed in
// O(log n).
type indexedHeap[T heapItem] struct {
	items  []T
	before func(a, b T) bool
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*item.heapIndex() = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*item.heapIndex() = notInHeap
	return item
}

// peek returns the first element, or false when there is none.
func (h *indexedHeap[T]) peek() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// update moves an element to its position after a change; it adds or removes the element as present requires.
func (h *indexedHeap[T]) update(item T, present bool) {
	index := *item.heapIndex()
	switch {
	case present && index == notInHeap:
		heap.Push(h, item)
	case present:
		heap.Fix(h, index)
	case index != notInHeap:
		heap.Remove(h, index)
	}
}
