package fleet

import (
	"testing"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/crashes"
)

// Guards against endpoints that count as alive because another process answers after them, and against ones that count as ended
// although they have answered or reported since.
func TestMayHaveEnded(t *testing.T) {
	const started = 1000
	report := func(down bool) *EngineState { return &EngineState{EndpointID: "e", Started: started, Down: down} }
	for _, c := range []struct {
		name   string
		events func(f *Fleet, at time.Time)
		want   bool
	}{
		{"nothing is heard of it", func(*Fleet, time.Time) {}, true},
		{"it is gone", func(f *Fleet, _ time.Time) { f.SetEndpoints(nil) }, true},
		{"it has answered since", func(f *Fleet, at time.Time) {
			f.ObserveResponse(at.Add(time.Millisecond), choiceOf(f, "e"), time.Millisecond)
		}, false},
		{"it had answered before", func(f *Fleet, at time.Time) {
			f.ObserveResponse(at.Add(-time.Millisecond), choiceOf(f, "e"), time.Millisecond)
		}, true},
		{"its agent reports it at once", func(f *Fleet, at time.Time) { f.SetState("e", report(false), 0, 0, at.Add(100*time.Millisecond)) }, true},
		{"its agent reports it a while later", func(f *Fleet, at time.Time) {
			f.SetState("e", report(false), 0, 0, at.Add(EndDetectionTime+time.Millisecond))
		}, false},
		{"its agent had lost it, and reports again", func(f *Fleet, at time.Time) {
			f.SetState("e", report(true), 0, 0, at.Add(200*time.Millisecond))
			f.SetState("e", report(false), 0, 0, at.Add(1500*time.Millisecond))
		}, true},
		{"it had restarted under its ID before this gateway started, and answers", func(f *Fleet, at time.Time) {
			f.SetEndpoints(nil)
			f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Started: started + 1, Revision: 2}})
			f.ObserveResponse(at.Add(100*time.Millisecond), choiceOf(f, "e"), time.Millisecond)
		}, true},
		{"it has restarted under its ID, and answers", func(f *Fleet, at time.Time) {
			f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Started: started + 1, Revision: 2}})
			f.ObserveResponse(at.Add(100*time.Millisecond), choiceOf(f, "e"), time.Millisecond)
		}, true},
		{"an earlier process has answered since", func(f *Fleet, at time.Time) {
			f.SetEndpoints(nil)
			f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Started: started - 1, Revision: 1}})
			earlier := choiceOf(f, "e")
			f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Started: started, Revision: 2}})
			f.endpoints["e"].downAt = time.Time{}
			f.ObserveResponse(at.Add(time.Millisecond), earlier, time.Millisecond)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := New("here", 1)
			f.SetEndpoints([]catalog.Endpoint{{ID: "e", Service: "s", Started: started, Revision: 1}})
			at := time.Now()
			c.events(f, at)
			if got := f.MayHaveEnded(at.Add(1600*time.Millisecond), crashes.Process{EndpointID: "e", Started: started}, at); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
