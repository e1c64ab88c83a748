package entry

import (
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/wire/wirepb"
)

// An agent is restarted while its engine keeps running. The agent reports that it is leaving, so that it gets no new
// work. If the grants treated that as the host leaving, they would release its slots, and after the restart its models
// would be unserved until no order of the old agent could still be in flight: minutes, for an engine that ignores
// fencing tokens. Only the host list may make an engine lose its slots.
func TestRestartOfAnAgentKeepsItsSlots(t *testing.T) {
	cases := []struct {
		name   string
		report bool
		listed backing.HostState
		want   bool
	}{
		{"serving", false, backing.HostLive, false},
		{"the agent stops", true, backing.HostLive, false},
		{"the host leaves", true, backing.HostLeaving, true},
		{"the host leaves, not reported by the agent", false, backing.HostLeaving, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agent := newScriptedAgent(t)
			e, site := startEntryAt(t, agent.address)
			host := backing.Host{
				ID: "host-1", Role: backing.RoleEndpoint, State: c.listed, FailureDomain: "a",
				Address: agent.address, Endpoint: "engine-1",
			}
			site.PutHost(host)
			control := <-agent.stream
			status := &wirepb.Status{Full: true, Endpoint: "engine-1", Kind: kindEngine, Ready: true, Leaving: c.report}
			if err := control.Write(&wirepb.ControlUp{Status: status}); err != nil {
				t.Fatal(err)
			}
			deadline := time.Now().Add(10 * time.Second)
			for {
				changed := e.changes.wait()
				ep := e.members.Endpoint("engine-1")
				if ep != nil && ep.Connected && ep.Listed == c.listed {
					break
				}
				select {
				case <-changed:
				case <-time.After(time.Until(deadline)):
					t.Fatal("the entry did not process the report and the host list")
				}
			}
			views, _ := e.GrantInputs().Engines.Engines()
			if len(views) != 1 || views[0].Leaving != c.want {
				t.Errorf("engines %+v, want one with leaving %v", views, c.want)
			}
			if !e.members.Endpoint("engine-1").Leaving && (c.report || c.want) {
				t.Error("the endpoint still gets new work")
			}
		})
	}
}
