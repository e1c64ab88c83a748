package replicas

import (
	"time"

	"balsamsail/internal/backing"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// Selector selects engines by their labels. Selectors with equal String values must select the same engines.
type Selector interface {
	Matches(labels map[string]string) bool
	String() string
}

// ModelSpec is the part of a declared model version that the decision depends on.
type ModelSpec struct {
	// Model is "name@version".
	Model    string
	Selector Selector
	// MemoryBytes is the engine memory that one replica needs: weights and the minimum KV cache.
	MemoryBytes int64
	// Min and Max bound the number of slots; 0 means the policy's default.
	Min, Max int
	// Warm is how many replicas stay loaded while idle.
	Warm int
	// Concurrency is how many requests one replica runs at once; 0 if not known.
	Concurrency int
}

// Declared is the declared set at one revision.
type Declared struct {
	// Revision is the revision of the declarations.
	Revision uint64
	// Head, if its key is not empty, is added to the conditions of each write: the table row that names the newest
	// revision of the declarations, at the table revision read with this set. It prevents a grant decided under an
	// older set from committing after an edit was accepted.
	Head   backing.Condition
	Models []ModelSpec
}

// EngineView is a process's view of one engine.
type EngineView struct {
	Name          string
	FailureDomain string
	// Host identifies the host that the engine runs on. Only an engine whose host the host list names as live gets
	// slots.
	Host   string
	Labels map[string]string
	// MemoryBytes is the engine's accelerator memory; 0 when not known.
	MemoryBytes int64
	// Reachable is true while the engine's agent answers and is ready. Since is when Reachable last changed.
	Reachable bool
	Since     time.Time
	// Leaving is true when the host or the endpoint is shutting down. Drain is set by an operator.
	Leaving, Drain bool
}

// HostsView is the platform's host list as last read. The zero value lists no hosts.
type HostsView struct {
	Version uint64
	States  map[string]backing.HostState
}

// Gone reports whether a host that was seen in the given version of the list (0: never) is known to be gone.
//
// The platform lists a gone host for a limited time and then drops it. A process that missed that period would
// otherwise count the host's slots forever; the version distinguishes a host that is no longer listed from one that is
// not listed yet.
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

// SlotRequest is an engine's request for another slot elsewhere because it cannot serve a model version's demand.
type SlotRequest struct {
	// Engine is empty if an entry found no engine at all.
	Engine string
	Reason wirepb.RefusalReason
	// Waiting is the number of requests that waited or were refused, summed over the last slotRequestWindow with a
	// report.
	Waiting int
	// First and Last are the times of the first and the last report with this reason, with no gap of SlotRequestTTL or
	// more between reports.
	First, Last time.Time
	// windowStart is when the window of Waiting began.
	windowStart time.Time
}

// Usage describes the load on a model version's replicas.
type Usage struct {
	// Peak is the maximum number of requests that ran or waited at once within the policy's ExtraHold.
	Peak int
	// Known is true if Peak covers the whole of ExtraHold.
	Known bool
	// Loaded lists the engines that report a loaded or loading replica.
	Loaded []string
}

// Demand is a process's view of the demand for one model version.
type Demand struct {
	SlotRequests []SlotRequest
	Usage        Usage
}

// Release is an engine's confirmation that it holds nothing of a model version and will load nothing under revisions up
// to the given one.
type Release struct {
	Model    string
	Engine   string
	Host     string
	Revision uint64
}

// Holder identifies one engine on one host; a replacement host may run an engine of the same name.
type Holder struct{ Engine, Host string }

// RowView is a row of the table and the time at which this process first saw it at this revision.
type RowView struct {
	Row   *replicaspb.Row
	Since time.Time
}

// Snapshot is the complete input of a decision.
type Snapshot struct {
	Declared Declared
	// Rows holds the rows of the table by model version.
	Rows map[string]RowView
	// Engines must not be modified after it was passed in. EnginesVersion changes whenever Engines does; with version 0
	// nothing computed for earlier engines is reused.
	Engines        []EngineView
	EnginesVersion uint64
	Hosts          HostsView
	// Since is when the process began to follow the engines. An engine without any report counts as unreachable since
	// then.
	Since  time.Time
	Demand map[string]Demand
	// Releases holds the highest revision that each engine has confirmed, by model version.
	Releases map[string]map[Holder]uint64
}
