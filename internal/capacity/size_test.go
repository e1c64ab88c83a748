package capacity

import (
	"fmt"

	"balsamsail/internal/backing"
	"balsamsail/internal/declarations"
	pb "balsamsail/internal/declarations/declarationspb"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// The size for which the system is designed.
const (
	targetNodes    = 1200
	targetEngines  = 10000
	targetModels   = 51
	targetAdapters = 2700
	targetRegions  = 10
	targetDomains  = 35
)

const gib = 1 << 30

func engineName(i int) string { return fmt.Sprintf("engine-%05d", i) }
func hostName(i int) string   { return fmt.Sprintf("host-%05d", i) }
func domainName(i int) string {
	return fmt.Sprintf("region-%d-domain-%02d", i%targetRegions, i%targetDomains)
}
func adapterName(i int) string { return fmt.Sprintf("adapter-customer-%04d", i) }
func modelName(i int) string   { return fmt.Sprintf("narrator-%02d", i) }
func versionName(i int) string { return declarations.ModelVersion(modelName(i), "2026-11-02") }

func engineLabels(i int) map[string]string {
	return map[string]string{
		"accelerator": []string{"small", "large"}[i%2],
		"pool":        fmt.Sprintf("pool-%d", i%7),
		"rack":        fmt.Sprintf("rack-%04d", i/16),
	}
}

// snapshotOf returns declarations of the given numbers of models, adapters and labelled engines.
func snapshotOf(models, adapters, engines int) *pb.Snapshot {
	s := &pb.Snapshot{Revision: 1}
	for i := range models {
		s.Objects = append(s.Objects, declarations.ModelObject(&pb.Model{
			Name:           modelName(i),
			Versions:       []string{"2026-11-02"},
			DefaultVersion: "2026-11-02",
			Labels:         map[string]string{"team": fmt.Sprintf("team-%d", i%9), "tier": "sleeper"},
			EngineSelector: fmt.Sprintf("accelerator in (large,small),pool=pool-%d", i%7),
			MemoryBytes:    40 * gib,
			KvFloorBytes:   4 * gib,
			MinReplicas:    2,
			MaxReplicas:    400,
			MaxConcurrency: 16,
			LoadMillis:     12000,
		}))
	}
	for i := range adapters {
		s.Objects = append(s.Objects, adapterObject(i, max(models, 1)))
	}
	for i := range engines {
		labels := map[string]string{"pool": fmt.Sprintf("pool-%d", i%7), "maintenance": "none"}
		s.Objects = append(s.Objects, declarations.EngineObject(&pb.Engine{Name: engineName(i), Labels: labels}))
	}
	return s
}

func adapterObject(i, models int) *pb.Object {
	return declarations.AdapterObject(&pb.Adapter{
		Name:        adapterName(i),
		Model:       modelName(i % models),
		Version:     "2026-11-02",
		Labels:      map[string]string{"customer": fmt.Sprintf("customer-%04d", i)},
		MemoryBytes: 200 << 20,
	})
}

// deltaOf returns a delta to the given revision that edits one adapter.
func deltaOf(revision uint64) *pb.Delta {
	return &pb.Delta{
		Revision:    revision,
		OperationId: "5f2c1d0e9b7a4c3e8d6f1a2b3c4d5e6f",
		Author:      "operator@site",
		UnixMillis:  1796000000000,
		Put:         []*pb.Object{adapterObject(int(revision)%targetAdapters, targetModels)},
	}
}

// rowOf returns a model's row of grants with the given number of slots.
func rowOf(model, slots int) *replicaspb.Row {
	row := &replicaspb.Row{Model: versionName(model), Revision: 1000, OperationId: "entry-0001/1796000000000000/1234", DeclarationsRevision: 12000}
	for i := range slots {
		row.Slots = append(row.Slots, &replicaspb.Slot{
			Engine:        engineName(i),
			State:         replicaspb.SlotState_GRANTED,
			FailureDomain: domainName(i),
			Host:          hostName(i),
			HostsVersion:  4000,
		})
	}
	return row
}

// endpointHosts returns the host list entries of n engines, all with the same address.
func endpointHosts(n int, address string) []backing.Host {
	hosts := make([]backing.Host, n)
	for i := range hosts {
		hosts[i] = backing.Host{
			ID:            hostName(i),
			Role:          backing.RoleEndpoint,
			State:         backing.HostLive,
			FailureDomain: domainName(i),
			Address:       address,
			Endpoint:      engineName(i),
		}
	}
	return hosts
}

// statusOf returns a full status report of an engine with slots of the given number of model versions, of which two are
// loaded.
func statusOf(engine, models int) *wirepb.Status {
	s := &wirepb.Status{
		Full:                 true,
		Endpoint:             engineName(engine),
		Kind:                 "engine",
		FailureDomain:        domainName(engine),
		Labels:               engineLabels(engine),
		Ready:                true,
		MemoryBytes:          640 * gib,
		MemoryReservedBytes:  90 * gib,
		DeclarationsRevision: 12000,
		Load:                 &wirepb.Load{Running: 12, Queued: 3},
		Incarnation:          1796000000000000,
		OperatorAddress:      "10.20.30.40:9100",
	}
	for i := range models {
		r := &wirepb.Replica{Model: versionName(i), Revision: 1000, IdleMillis: 60000}
		if i < 2 {
			r.State = wirepb.ReplicaState_LOADED
			r.Running, r.Queued, r.IdleMillis = 6, 1, 0
			r.Adapters = []string{adapterName(i), adapterName(i + 51), adapterName(i + 102)}
		}
		s.Replicas = append(s.Replicas, r)
		s.Cached = append(s.Cached, versionName(i))
	}
	return s
}
