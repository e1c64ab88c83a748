package nameset

import "testing"

func TestSets(t *testing.T) {
	set := Of([]string{"a", "b", "a"})
	if len(set) != 2 || !set["a"] || !set["b"] || set["c"] {
		t.Errorf("set %v", set)
	}
	cases := []struct {
		names []string
		want  bool
	}{{nil, false}, {[]string{"c"}, false}, {[]string{"c", "b"}, true}}
	for _, c := range cases {
		if got := HoldsAny(set, c.names); got != c.want {
			t.Errorf("%v: %v", c.names, got)
		}
	}
	// A key counts whatever its value.
	if !HoldsAny(map[string]map[string]bool{"m": nil}, []string{"m"}) {
		t.Error("a key without a value does not count")
	}
}
