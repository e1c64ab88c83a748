package joined

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets garbage gather: the runs make much of it and keep little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
