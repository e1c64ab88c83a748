package load

import (
	"testing"
	"time"

	"balsamsail/internal/faultlink/endlesstest"
)

// Guards against an entry whose bytes never end: a call of the load generator ends in time, counts as not answered, and holds no
// more than a response may take.
func TestCallsEndWhereBytesDoNot(t *testing.T) {
	const timeout = 500 * time.Millisecond
	targets := map[string]Target{
		"call":       {Path: "/x"},
		"completion": {Model: "m"},
		"stream":     {Model: "m", Stream: true},
	}
	for name, target := range targets {
		t.Run(name, func(t *testing.T) {
			endlesstest.Run(t, endlesstest.Bounds{Time: timeout + 2*time.Second, Bytes: maxAnswerBytes + 8<<20}, func(t *testing.T, address string) {
				report, err := Run(t.Context(), Options{URL: "http://" + address, Burst: 1, Duration: time.Millisecond, Timeout: timeout, Targets: []Target{target}})
				if err != nil {
					t.Fatal(err)
				}
				if n := report.Total.Served; n > 0 {
					t.Errorf("%d calls count as served", n)
				}
			})
		})
	}
}
