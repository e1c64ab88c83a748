package nameset

import "testing"

func TestSets(t *testing.T) {
	set := Of([]string{"a", "b", "a"})
	if len(set) != 2 || !set["a"] || !set["b"] || set["c"] {
		t.Errorf("set %v, want a and b", set)
	}
	cases := []struct {
		names []string
		want  bool
	}{{nil, false}, {[]string{"c"}, false}, {[]string{"c", "b"}, true}}
	for _, c := range cases {
		if got := HoldsAny(set, c.names); got != c.want {
			t.Errorf("HoldsAny(%v) is %v", c.names, got)
		}
	}
	// A key counts regardless of its value.
	if !HoldsAny(map[string]map[string]bool{"m": nil}, []string{"m"}) {
		t.Error("HoldsAny is false for a key with a nil value")
	}
}
