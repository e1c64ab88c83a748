package operator

import (
	"encoding/json"
	"time"
)

// ObjectKey names a declaration by kind ("model", "adapter", "engine", "service", "limits") and name.
type ObjectKey struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

func (k ObjectKey) String() string { return k.Kind + "/" + k.Name }

// ApplyRequest puts the declarations of an INI text and deletes others, all in one revision.
type ApplyRequest struct {
	// INI is the text of the file and File its name, which errors show.
	INI  string `json:"ini"`
	File string `json:"file,omitempty"`
	// Delete lists declarations to delete.
	Delete []ObjectKey `json:"delete,omitempty"`
	Edit
}

// LabelRequest changes the labels of one declaration.
type LabelRequest struct {
	ObjectKey
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
	Edit
}

// DrainRequest sets or ends the drain of one endpoint.
type DrainRequest struct {
	Endpoint string `json:"endpoint"`
	Drain    bool   `json:"drain"`
	Edit
}

// Edit is what all edits have in common.
type Edit struct {
	// Base is the revision that the edit was made on: the edit is refused when another one has come since. 0 means any.
	Base uint64 `json:"base,omitempty"`
	// Author says who makes the edit, for others to see.
	Author string `json:"author"`
	// OperationID is unique to the edit; the client chooses one when it is empty.
	OperationID string `json:"operation_id"`
}

// Accepted says that an edit is stored: it will be in force everywhere and never reverts.
type Accepted struct {
	Revision    uint64 `json:"revision"`
	OperationID string `json:"operation_id"`
	// Changed lists the declarations that differ; none when the edit changed nothing.
	Changed []ObjectKey `json:"changed,omitempty"`
}

// ObjectQuery chooses declarations; an empty field chooses all.
type ObjectQuery struct {
	Kind string
	Name string
}

// Object is one declaration.
type Object struct {
	ObjectKey
	Labels map[string]string `json:"labels,omitempty"`
	// INI is the declaration's section as an operator would write it.
	INI string `json:"ini"`
	// Declaration is the whole declaration as JSON.
	Declaration json.RawMessage `json:"declaration,omitempty"`
}

// Objects are declarations as of one revision.
type Objects struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// OperationState is what is known of an edit.
type OperationState string

// The states of an operation.
const (
	// OperationApplied: the edit is stored.
	OperationApplied OperationState = "applied"
	// OperationNever: the edit did not and will not take effect.
	OperationNever OperationState = "never"
	// OperationUnknown: the edit is not stored now and may still take effect.
	OperationUnknown OperationState = "unknown"
)

// Operation is the outcome of an edit, looked up by its identifier.
type Operation struct {
	OperationID string         `json:"operation_id"`
	State       OperationState `json:"state"`
	// Revision is that of an applied edit.
	Revision uint64 `json:"revision,omitempty"`
}

// ProcessRevision is the revision that is in force in one process.
type ProcessRevision struct {
	Process       string `json:"process"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Address       string `json:"address,omitempty"`
	Revision      uint64 `json:"revision"`
	// Unreachable is set for a process that is listed as live and does not answer; Revision is then its last known one.
	Unreachable bool `json:"unreachable,omitempty"`
}

// InForce says where a revision is in force: in each live process that has it or a later one.
type InForce struct {
	// Revision is the one asked for, or the newest accepted one.
	Revision  uint64            `json:"revision"`
	Processes []ProcessRevision `json:"processes"`
}

// Missing returns the processes in which the revision is not in force.
func (f InForce) Missing() []ProcessRevision {
	var missing []ProcessRevision
	for _, p := range f.Processes {
		if p.Unreachable || p.Revision < f.Revision {
			missing = append(missing, p)
		}
	}
	return missing
}

// Process is one process of the system.
type Process struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// URL is the base of the process's operators' paths, such as the time line.
	URL string `json:"url"`
}

// ProcessList lists the live processes.
type ProcessList struct {
	Processes []Process `json:"processes"`
}

// ReplicaState is the state of one model version at one engine.
type ReplicaState string

// The states of a replica.
const (
	// ReplicaGranted: the engine holds a slot and the model sleeps.
	ReplicaGranted ReplicaState = "granted"
	// ReplicaReleasing: the slot is to be given up and still counts.
	ReplicaReleasing ReplicaState = "releasing"
	ReplicaLoading   ReplicaState = "loading"
	// ReplicaLoaded: loaded with requests running or waiting.
	ReplicaLoaded ReplicaState = "loaded"
	// ReplicaIdle: loaded without requests.
	ReplicaIdle      ReplicaState = "idle"
	ReplicaUnloading ReplicaState = "unloading"
	// ReplicaUnknown: the result of an order is not known, or the agent does not answer.
	ReplicaUnknown ReplicaState = "unknown"
)

// ReplicaStatus is one model version at one engine.
type ReplicaStatus struct {
	Engine        string       `json:"engine"`
	FailureDomain string       `json:"failure_domain,omitempty"`
	State         ReplicaState `json:"state"`
	Running       int          `json:"running"`
	Queued        int          `json:"queued"`
	// IdleSince is when the last request ended; zero unless the state is idle.
	IdleSince time.Time `json:"idle_since,omitzero"`
	Adapters  []string  `json:"adapters,omitempty"`
	// Revision is that of the grant.
	Revision uint64 `json:"revision"`
	// Why gives the reason of the state.
	Why string `json:"why,omitempty"`
}

// ModelStatus is one model version over all engines.
type ModelStatus struct {
	// Model is "name@version".
	Model string `json:"model"`
	// MinReplicas, MaxReplicas and WarmReplicas are declared.
	MinReplicas  int `json:"min_replicas"`
	MaxReplicas  int `json:"max_replicas"`
	WarmReplicas int `json:"warm_replicas"`
	// Eligible counts the live engines that the selector matches.
	Eligible int             `json:"eligible"`
	Replicas []ReplicaStatus `json:"replicas,omitempty"`
	// Queued counts the requests that wait at the agents.
	Queued int    `json:"queued"`
	Why    string `json:"why,omitempty"`
}

// EndpointStatus is one endpoint and its agent.
type EndpointStatus struct {
	Endpoint      string `json:"endpoint"`
	Kind          string `json:"kind"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Drained       bool   `json:"drained"`
	MemoryBytes   int64  `json:"memory_bytes"`
	// ReservedBytes is what the agent's ledger has reserved.
	ReservedBytes int64             `json:"reserved_bytes"`
	Running       int               `json:"running"`
	Queued        int               `json:"queued"`
	Revision      uint64            `json:"revision"`
	Labels        map[string]string `json:"labels,omitempty"`
	Why           string            `json:"why,omitempty"`
}

// Status is the system as one entry sees it.
type Status struct {
	Entry    string    `json:"entry"`
	At       time.Time `json:"at"`
	Revision uint64    `json:"revision"`
	// Outage says since when the platform's table does not answer; zero when it does.
	Outage    time.Time        `json:"outage,omitzero"`
	Models    []ModelStatus    `json:"models"`
	Endpoints []EndpointStatus `json:"endpoints"`
}
