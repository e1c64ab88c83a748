package replicas

import (
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// Selector chooses engines by their labels. Selectors with equal String values must choose alike.
type Selector interface {
	Matches(labels map[string]string) bool
	String() string
}

// ModelSpec is what the decision must know of one declared model version.
type ModelSpec struct {
	// Model is "name@version".
	Model    string
	Selector Selector
	// MemoryBytes is what one replica takes of an engine: weights and the least KV cache.
	MemoryBytes int64
	// Min and Max bound the number of slots; 0 stands for the policy's default.
	Min, Max int
	// Warm is how many replicas stay loaded while idle.
	Warm int
	// Concurrency is how many requests one replica runs at once; 0 when not known.
	Concurrency int
}

// Declared is the declared set at one revision.
type Declared struct {
	// Revision is the revision of the declarations.
	Revision uint64
	// Head, when its key is not empty, is added to the conditions of each write: the table's row that names the newest
	// revision of the declarations, at the table revision read with this set. No grant decided under an older set can
	// then commit after an edit was accepted.
	Head   backing.Condition
	Models []ModelSpec
}

// EngineView is what a process knows of one engine.
type EngineView struct {
	Name          string
	FailureDomain string
	// Host is the identifier of the host that the engine runs on. Only an engine whose host is listed as live in the host
	// list gets slots.
	Host   string
	Labels map[string]string
	// MemoryBytes is the engine's accelerator memory; 0 when not known.
	MemoryBytes int64
	// Reachable says that the engine's agent answers and is ready; Since is when that last changed.
	Reachable bool
	Since     time.Time
	// Leaving says that the host or the endpoint stops. Drain is set by an operator.
	Leaving, Drain bool
}

// HostsView is the platform's host list as last read. The zero value knows nothing.
type HostsView struct {
	Version uint64
	States  map[string]backing.HostState
}

// Gone reports whether a host that was seen in the given version of the list (0: never) is known to be gone.
//
// The platform lists a gone host as such for a while and then no longer. A process that did not look during that while
// would count the host's slots for ever; the version tells a host that is not listed any more from one that is not
// listed yet.
func (v HostsView) Gone(host string, seen uint64) bool {
	if host == "" {
		return false
	}
	state, listed := v.States[host]
	if listed {
		return state == backing.HostGone
	}
	return seen > 0 && v.Version > seen
}

// Want is a wish for another slot elsewhere, because an engine cannot serve a model version's demand.
type Want struct {
	// Engine is empty when an entry found no engine at all.
	Engine string
	Reason wirepb.RefusalReason
	// Waiting is the number of requests that waited or were refused within the last second in which the engine said so.
	Waiting int
	// First and Last are when the engine first and last said so, without a longer pause between.
	First, Last time.Time
	// window is when the second of Waiting began.
	window time.Time
}

// Usage is how much a model version's replicas are used.
type Usage struct {
	// Peak is the greatest number of requests that ran or waited at once within the policy's ExtraHold.
	Peak int
	// Known says that Peak covers the whole of ExtraHold.
	Known bool
	// Loaded lists the engines that report a loaded or loading replica.
	Loaded []string
}

// Demand is what a process knows of the demand for one model version.
type Demand struct {
	Wants []Want
	Usage Usage
}

// Release is an engine's confirmation that it holds nothing of a model version and will load nothing under revisions up
// to the given one.
type Release struct {
	Model    string
	Engine   string
	Host     string
	Revision uint64
}

// Holder names one engine on one host: a replacement host may run an engine of the same name.
type Holder struct{ Engine, Host string }

// RowView is a row of the table and when this process first saw it at this revision.
type RowView struct {
	Row   *replicaspb.Row
	Since time.Time
}

// Snapshot is everything that a decision rests on.
type Snapshot struct {
	Declared Declared
	// Rows holds the rows of the table by model version.
	Rows map[string]RowView
	// Engines must not be changed after it was handed in; EnginesVersion differs whenever Engines does. With version 0
	// nothing that was worked out for earlier engines is used again.
	Engines        []EngineView
	EnginesVersion uint64
	Hosts          HostsView
	// Since is when the process began to follow the engines. One that it has not heard of counts as silent since then.
	Since  time.Time
	Demand map[string]Demand
	// Releases holds the highest revision that each engine has confirmed, by model version.
	Releases map[string]map[Holder]uint64
}
