// Package nameset provides helpers for sets of names that are represented as maps.
package nameset

// Of returns the set of the given names.
func Of(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// HoldsAny reports whether m has any of the names as a key.
func HoldsAny[V any](m map[string]V, names []string) bool {
	for _, n := range names {
		if _, ok := m[n]; ok {
			return true
		}
	}
	return false
}
