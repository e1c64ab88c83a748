// Package peak counts events in sliding windows, for tests of rates.
package peak

import "time"

// Within returns the largest number of events that lie within a window. The times are in ascending order.
func Within(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
