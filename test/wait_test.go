package test

import (
	"testing"
	"time"
)

// eventually waits until the condition holds and fails the test if that takes longer than patience.
func eventually(t *testing.T, patience time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(pollInterval)
	}
}
