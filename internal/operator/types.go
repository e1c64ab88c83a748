package operator

import (
	"encoding/json"
	"time"
)

// ObjectKey identifies a declaration by kind ("model", "adapter", "engine", "service", "limits") and name.
type ObjectKey struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

func (k ObjectKey) String() string { return k.Kind + "/" + k.Name }

// ApplyRequest creates or replaces the declarations of an INI text and deletes others, all in one revision.
type ApplyRequest struct {
	// INI is the text of the file. File is its name, used in error messages.
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

// Edit holds the fields common to all edits.
type Edit struct {
	// Base is the revision that the edit is based on; the edit is rejected if a newer one exists. 0 disables the check.
	Base uint64 `json:"base,omitempty"`
	// Author is the person who makes the edit, shown to others.
	Author string `json:"author"`
	// OperationID uniquely identifies the edit; the client generates one if it is empty.
	OperationID string `json:"operation_id"`
}

// Accepted is the result of a stored edit: it is durable and will come into force everywhere.
type Accepted struct {
	Revision    uint64 `json:"revision"`
	OperationID string `json:"operation_id"`
	// Changed lists the modified declarations; it is empty if the edit changed nothing.
	Changed []ObjectKey `json:"changed,omitempty"`
}

// ObjectQuery selects declarations; an empty field matches all.
type ObjectQuery struct {
	Kind string
	Name string
}

// Object is one declaration.
type Object struct {
	ObjectKey
	Labels map[string]string `json:"labels,omitempty"`
	// INI is the declaration as a section of an INI file.
	INI string `json:"ini"`
	// Declaration is the complete declaration as JSON.
	Declaration json.RawMessage `json:"declaration,omitempty"`
}

// Objects holds declarations as of one revision.
type Objects struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// OperationState is the known outcome of an edit.
type OperationState string

// The states of an operation.
const (
	// OperationApplied: the edit is stored.
	OperationApplied OperationState = "applied"
	// OperationNotCommitted: the edit did not and will not take effect.
	OperationNotCommitted OperationState = "never"
	// OperationUnknown: the edit is not stored yet and may still take effect.
	OperationUnknown OperationState = "unknown"
)

// Operation is the outcome of an edit, looked up by its identifier.
type Operation struct {
	OperationID string         `json:"operation_id"`
	State       OperationState `json:"state"`
	// Revision is the revision of an applied edit.
	Revision uint64 `json:"revision,omitempty"`
}

// ProcessRevision is the revision that is in force in one process.
type ProcessRevision struct {
	Process       string `json:"process"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Address       string `json:"address,omitempty"`
	Revision      uint64 `json:"revision"`
	// Unreachable is set for a process that is listed as live but does not respond; Revision is then its last known one.
	Unreachable bool `json:"unreachable,omitempty"`
}

// InForce reports in which live processes a revision or a later one is in force.
type InForce struct {
	// Revision is the requested revision, or the newest accepted one.
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
	// URL is the base URL of the process's operational paths, such as the timeline.
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
	// ReplicaGranted: the engine holds a slot for the model, which is not loaded.
	ReplicaGranted ReplicaState = "granted"
	// ReplicaReleasing: the slot is being released and still counts.
	ReplicaReleasing ReplicaState = "releasing"
	ReplicaLoading   ReplicaState = "loading"
	// ReplicaLoaded: loaded, with requests running or queued.
	ReplicaLoaded ReplicaState = "loaded"
	// ReplicaIdle: loaded without requests.
	ReplicaIdle      ReplicaState = "idle"
	ReplicaUnloading ReplicaState = "unloading"
	// ReplicaUnknown: the result of a load or unload is not known, or the agent does not respond.
	ReplicaUnknown ReplicaState = "unknown"
)

// ReplicaStatus is one model version at one engine.
type ReplicaStatus struct {
	Engine        string       `json:"engine"`
	FailureDomain string       `json:"failure_domain,omitempty"`
	State         ReplicaState `json:"state"`
	Running       int          `json:"running"`
	Queued        int          `json:"queued"`
	// IdleSince is the time at which the last request ended; zero unless the state is idle.
	IdleSince time.Time `json:"idle_since,omitzero"`
	Adapters  []string  `json:"adapters,omitempty"`
	// Revision is the revision of the grant.
	Revision uint64 `json:"revision"`
	// Why is the reason for the state.
	Why string `json:"why,omitempty"`
}

// ModelStatus is the state of one model version across all engines.
type ModelStatus struct {
	// Model is "name@version".
	Model string `json:"model"`
	// MinReplicas, MaxReplicas and WarmReplicas are the declared values.
	MinReplicas  int `json:"min_replicas"`
	MaxReplicas  int `json:"max_replicas"`
	WarmReplicas int `json:"warm_replicas"`
	// Eligible is the number of live engines that match the selector.
	Eligible int             `json:"eligible"`
	Replicas []ReplicaStatus `json:"replicas,omitempty"`
	// Queued is the number of requests waiting at the agents.
	Queued int    `json:"queued"`
	Why    string `json:"why,omitempty"`
}

// EndpointStatus is the state of one endpoint and its agent.
type EndpointStatus struct {
	Endpoint      string `json:"endpoint"`
	Kind          string `json:"kind"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Reachable     bool   `json:"reachable"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Drained       bool   `json:"drained"`
	MemoryBytes   int64  `json:"memory_bytes"`
	// ReservedBytes is the memory reserved in the agent's ledger.
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
	// Outage is the time since which the platform's table has not responded; zero if there is no outage.
	Outage    time.Time        `json:"outage,omitzero"`
	Models    []ModelStatus    `json:"models"`
	Endpoints []EndpointStatus `json:"endpoints"`
}
