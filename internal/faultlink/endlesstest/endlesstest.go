// Package endlesstest runs a client against servers whose bytes do not end.
package endlesstest

import (
	"runtime"
	"testing"
	"time"

	"balsamsail/internal/faultlink"
)

// Bounds limit one call: how long it may take, and how many bytes the server may get rid of meanwhile, with those that lie in the
// buffers of the connection.
type Bounds struct {
	Time  time.Duration
	Bytes int64
}

// callsAtOnce bounds the calls at a time. A server that writes without end and its caller keep two processors busy; more of them
// delay the callers' time limits.
var callsAtOnce = make(chan struct{}, max(1, runtime.NumCPU()/2))

// Run makes one call to each kind of server, whose address it gets, and checks the bounds. A call that keeps its connection open
// hangs the test.
func Run(t *testing.T, b Bounds, call func(t *testing.T, address string)) {
	for kind, answer := range faultlink.EndlessAnswers("") {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			callsAtOnce <- struct{}{}
			defer func() { <-callsAtOnce }()
			if err := answer.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(answer.Close)
			began := time.Now()
			call(t, answer.Address())
			if took := time.Since(began); took > b.Time {
				t.Errorf("the call took %v", took)
			}
			if n := answer.Sent(); n > b.Bytes {
				t.Errorf("%d MB were read", n>>20)
			}
		})
	}
}
