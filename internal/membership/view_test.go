package membership

import (
	"slices"
	"testing"
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/wire/wirepb"
)

// endpointHost returns a listed host of the endpoint "engine".
func endpointHost(id string, state backing.HostState) backing.Host {
	return backing.Host{ID: id, Role: backing.RoleEndpoint, State: state, Address: id, Endpoint: "engine"}
}

// An engine's host is replaced, and for a while the platform lists the old host as gone beside the new one. The view
// used to discard the connection and status of the new host with each read of such a list, so the engine got no
// requests and no declarations although its connection worked.
func TestReplacementKeepsItsConnectionWhileTheGoneHostIsListed(t *testing.T) {
	gone, live := endpointHost("h1", backing.HostGone), endpointHost("h2", backing.HostLive)
	cases := []struct {
		name string
		list []backing.Host
	}{
		{"the gone host first", []backing.Host{gone, live}},
		{"the live host first", []backing.Host{live, gone}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := NewView()
			v.ApplyHosts([]backing.Host{endpointHost("h1", backing.HostLive)}, 1)
			v.ApplyHosts(slices.Clone(c.list), 2)
			replica := &wirepb.Replica{Model: "m@1", State: wirepb.ReplicaState_LOADED, Revision: 3}
			status := &wirepb.Status{Full: true, Ready: true, Replicas: []*wirepb.Replica{replica}}
			if !v.ApplyReport(time.Unix(1, 0), "engine", status) {
				t.Fatal("the full report was not accepted")
			}
			for version := range uint64(3) {
				v.ApplyHosts(slices.Clone(c.list), 2+version)
				e, _ := v.Endpoint("engine")
				if e.HostID != "h2" || !e.Connected || e.Leaving || e.Replicas["m@1"] == nil {
					t.Fatalf("unexpected endpoint after reading version %d: %+v", 2+version, e)
				}
			}
			if !v.ApplyReport(time.Unix(2, 0), "engine", &wirepb.Status{Ready: true}) {
				t.Error("the change report was not accepted")
			}
		})
	}
}
