// Package nameset holds what several slices need of sets of names, as maps.
package nameset

// Of returns the set of some names.
func Of(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// HoldsAny reports whether a map has one of the names as a key.
func HoldsAny[V any](m map[string]V, names []string) bool {
	for _, n := range names {
		if _, ok := m[n]; ok {
			return true
		}
	}
	return false
}
