package agent

import (
	"strconv"
	"time"

	"balsamsail/internal/declarations"
	"balsamsail/internal/loading"
)

// loadingSpecs returns the loading machine's part of the declarations.
func loadingSpecs(set *declarations.Set) loading.SpecsChanged {
	specs := loading.SpecsChanged{}
	for _, m := range set.Models() {
		for _, version := range m.Versions {
			specs.Models = append(specs.Models, loading.ModelSpec{
				Model:        declarations.ModelVersion(m.Name, version),
				MemoryBytes:  m.MemoryBytes,
				KVFloorBytes: m.KvFloorBytes,
				WarmReplicas: int(m.WarmReplicas),
				ExpectedLoad: time.Duration(m.LoadMillis) * time.Millisecond,
			})
		}
	}
	for _, d := range set.Adapters() {
		specs.Adapters = append(specs.Adapters, loading.AdapterSpec{
			Adapter:     d.Name,
			Model:       declarations.ModelVersion(d.Model, d.Version),
			MemoryBytes: d.MemoryBytes,
		})
	}
	return specs
}

// concurrencyLimits returns the declared concurrency limits by model version and by plain service.
func concurrencyLimits(set *declarations.Set) map[string]int {
	limits := map[string]int{}
	for _, m := range set.Models() {
		for _, version := range m.Versions {
			limits[declarations.ModelVersion(m.Name, version)] = int(m.MaxConcurrency)
		}
	}
	for _, service := range set.Services() {
		limits[service.Name] = int(service.MaxConcurrency)
	}
	return limits
}

func revisionText(revision uint64) string { return "revision " + strconv.FormatUint(revision, 10) }
