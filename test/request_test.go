package test

import (
	"net/http"
	"testing"
)

// TestColdRequest sends requests to a cluster without load, the first one for a model that no engine has loaded. The
// entry requests a slot, the agent loads the model, and each request is served in time: streamed and non-streamed chats
// and calls of each kind.
func TestColdRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	caller := newCaller()
	var exchanges []*exchange
	for i, kind := range []kind{chatStream, chatWhole, chatStream, readCall, onceCall, keyedCall} {
		r := newRequest(0)
		r.kind = kind
		r.marker = "cold-" + string(rune('a'+i))
		if kind == keyedCall {
			r.key = "key-" + r.marker
		}
		e := c.entries[i%len(c.entries)]
		x := caller.do(e.name, e.callersURL(), r)
		if x.status != http.StatusOK {
			t.Errorf("not served: %v", x)
		}
		exchanges = append(exchanges, x)
	}
	c.awaitIdle()
	e := &evidence{cluster: c, exchanges: exchanges, truth: c.readTruth(), rows: c.platform.rowHistory(), onlyPlannedStops: true}
	e.check()
}
