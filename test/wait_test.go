package test

import (
	"testing"
	"time"
)

// eventually waits until the condition holds and fails the test if that takes longer than the timeout.
func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting until %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}
