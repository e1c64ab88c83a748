package loading

import (
	"cmp"
	"slices"
)

// keyed is what an ordered list is sorted by.
type keyed interface{ key() string }

// ordered is a list sorted by key, so that what the machine does never depends on the order of a map.
type ordered[T keyed] []T

// find returns the place of a key, and whether it is there.
func (o ordered[T]) find(key string) (int, bool) {
	return slices.BinarySearchFunc(o, key, func(item T, key string) int { return cmp.Compare(item.key(), key) })
}

// get returns the item of a key, or the zero value.
func (o ordered[T]) get(key string) T {
	if at, ok := o.find(key); ok {
		return o[at]
	}
	var none T
	return none
}

// insert adds an item whose key is not there yet.
func (o *ordered[T]) insert(item T) {
	at, _ := o.find(item.key())
	*o = slices.Insert(*o, at, item)
}
