package loading

import (
	"cmp"
	"slices"
)

// keyed is an item of an ordered list.
type keyed interface{ key() string }

// ordered is a list sorted by key, which makes the machine's actions independent of map iteration order.
type ordered[T keyed] []T

// find returns the index of a key, and whether it is present.
func (o ordered[T]) find(key string) (int, bool) {
	return slices.BinarySearchFunc(o, key, func(item T, key string) int { return cmp.Compare(item.key(), key) })
}

// get returns the item with a key, or the zero value.
func (o ordered[T]) get(key string) T {
	if at, ok := o.find(key); ok {
		return o[at]
	}
	var none T
	return none
}

// insert adds an item whose key is not present yet.
func (o *ordered[T]) insert(item T) {
	at, _ := o.find(item.key())
	*o = slices.Insert(*o, at, item)
}
