package admission

import "container/heap"

// ranked is an element of a ranking; place is where it keeps its index.
type ranked interface{ place() *int }

// notRanked is the index of an element that is in no ranking.
const notRanked = -1

// ranking keeps the element that goes before all others at hand: a heap whose elements know their index.
type ranking[T ranked] struct {
	elements []T
	before   func(a, b T) bool
}

// Len implements heap.Interface.
func (r *ranking[T]) Len() int { return len(r.elements) }

// Less implements heap.Interface.
func (r *ranking[T]) Less(i, j int) bool { return r.before(r.elements[i], r.elements[j]) }

// Swap implements heap.Interface.
func (r *ranking[T]) Swap(i, j int) {
	r.elements[i], r.elements[j] = r.elements[j], r.elements[i]
	*r.elements[i].place() = i
	*r.elements[j].place() = j
}

// Push implements heap.Interface.
func (r *ranking[T]) Push(x any) {
	element := x.(T)
	*element.place() = len(r.elements)
	r.elements = append(r.elements, element)
}

// Pop implements heap.Interface.
func (r *ranking[T]) Pop() any {
	end := len(r.elements) - 1
	element := r.elements[end]
	var none T
	r.elements[end] = none
	r.elements = r.elements[:end]
	*element.place() = notRanked
	return element
}

// top returns the first element, or false when there is none.
func (r *ranking[T]) top() (T, bool) {
	if len(r.elements) == 0 {
		var none T
		return none, false
	}
	return r.elements[0], true
}

// set puts an element at its place after a change, or takes it out when it is no longer wanted.
func (r *ranking[T]) set(element T, wanted bool) {
	index := *element.place()
	switch {
	case wanted && index == notRanked:
		heap.Push(r, element)
	case wanted:
		heap.Fix(r, index)
	case index != notRanked:
		heap.Remove(r, index)
	}
}
