package entry

import (
	"testing"
	"time"

	"balsamsail/internal/faultlink/endlesstest"
)

// Guards against another entry, or what listens at its address, whose bytes never end: the query of it fails in time.
func TestPeerQueryEndsWhereBytesDoNot(t *testing.T) {
	endlesstest.Run(t, endlesstest.Bounds{Time: peerTimeout + time.Second, Bytes: 16 << 20}, func(t *testing.T, address string) {
		if _, err := fetchPeerRevision(t.Context(), address); err == nil {
			t.Error("the query succeeded")
		}
	})
}
