package peak

import (
	"testing"
	"time"
)

func TestWithin(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		seconds []int
		want    int
	}{
		{"none", nil, 0},
		{"one", []int{3}, 1},
		{"the window's end is not in it", []int{0, 4}, 1},
		{"the fullest window is in the middle", []int{0, 5, 6, 7, 7, 12}, 4},
		{"all", []int{0, 1, 2, 3}, 4},
	} {
		var times []time.Time
		for _, s := range c.seconds {
			times = append(times, start.Add(time.Duration(s)*time.Second))
		}
		if got := Within(times, 4*time.Second); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
