package entry

import (
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/wire/wirepb"
)

// An operator restarts an agent while its engine lives on. The agent says that it leaves, so that it gets no new work. If
// the grants took that for the host's leaving, they would give up its slots, and after the restart its models would stay
// unserved until the new agent could be sure that no order of the old one is on its way: minutes, where the engine ignores
// fencing numbers. Only the host list makes an engine lose its slots.
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
		{"the host leaves and the agent does not know", false, backing.HostLeaving, true},
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
					t.Fatal("the entry does not know the endpoint as reported and listed")
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
