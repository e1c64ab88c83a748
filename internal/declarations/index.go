package declarations

import (
	"slices"
	"strings"
)

// named is a declaration with its name.
type named interface{ GetName() string }

// index holds declarations of one kind in the order of their names. A sorted slice serves better than a map here: it is
// copied in one move, so that an edit costs a few microseconds also beside thousands of adapters, and it is read in
// order.
type index[T named] []T

func compareName[T named](item T, name string) int { return strings.Compare(item.GetName(), name) }

func (x index[T]) find(name string) (T, bool) {
	if i, ok := slices.BinarySearchFunc(x, name, compareName[T]); ok {
		return x[i], true
	}
	var none T
	return none, false
}

// put returns the index with an item added or replaced; it changes x in place.
func (x index[T]) put(item T) index[T] {
	i, ok := slices.BinarySearchFunc(x, item.GetName(), compareName[T])
	if ok {
		x[i] = item
		return x
	}
	return slices.Insert(x, i, item)
}

// delete returns the index without an item; it changes x in place.
func (x index[T]) delete(name string) index[T] {
	if i, ok := slices.BinarySearchFunc(x, name, compareName[T]); ok {
		return slices.Delete(x, i, i+1)
	}
	return x
}
