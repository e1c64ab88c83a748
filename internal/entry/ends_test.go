package entry

import "testing"

// Guards against a request that ends every endpoint that runs it being sent to more than three, over all calls of its caller.
func TestCallThatEndsEndpointsIsNotSentOn(t *testing.T) {
	const mostEnded = 3
	s := newSite(t, siteOptions{agents: 8})
	for _, a := range s.agents {
		// The endpoint ends while it works on the call, and its agent reports that the outcome is unknown.
		a.setScript(func(x *fakeStream) {
			x.accepted()
			x.ready()
			x.failed(true)
		})
	}
	ended := func() int {
		n := 0
		for _, a := range s.agents {
			n += len(a.offered())
		}
		return n
	}
	for range 4 {
		got := s.send(t.Context(), call{})
		t.Logf("%s; %d endpoints have ended", got.text(), ended())
	}
	if n := ended(); n > mostEnded {
		t.Errorf("%d endpoints ended under one call and its repeats, want at most %d", n, mostEnded)
	}
}
