package joined

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain makes the garbage collector run less often, because the simulations allocate a lot and retain little.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
