package loading

import (
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// ModelSpec is a declared model version.
type ModelSpec struct {
	// Model is "name@version".
	Model        string
	MemoryBytes  int64
	KVFloorBytes int64
	// WarmReplicas is the number of replicas that stay loaded while idle: those in the first GRANTED slots of the row.
	WarmReplicas int
	// ExpectedLoad is the declared duration of a load from the store; 0 if unknown.
	ExpectedLoad time.Duration
}

// AdapterSpec is a declared adapter.
type AdapterSpec struct {
	Adapter     string
	Model       string
	MemoryBytes int64
}

// Event is an input of the machine.
type Event interface{ event() }

// EngineRead is the result of a successful read of the engine's state.
type EngineRead struct {
	// ID is that of the newest ReadEngine known when the read began. 0 means the outstanding one, which is correct if
	// the agent begins each read after the ReadEngine that requested it.
	ID    uint64
	State endpoint.EngineState
}

// EngineReadFailed reports that a read of the engine's state failed. ID has the same meaning as in EngineRead.
type EngineReadFailed struct{ ID uint64 }

// RowsRead is the result of a read of this engine's grants from the table itself: all rows that name the engine. The
// machine loads nothing before the first one, because rows pushed by peers may be older than a release that a previous
// agent confirmed.
//
// Before the first read the agent must write a row of its own to the table, so that Revision is above every revision
// that a previous agent has seen: the fencing tokens of orders are derived from it.
type RowsRead struct {
	Rows     []*replicaspb.Row
	Revision uint64
}

// RowSeen is a row pushed by a peer, in any order and possibly stale.
type RowSeen struct{ Row *replicaspb.Row }

// SpecsChanged replaces the declared models and adapters.
type SpecsChanged struct {
	Models   []ModelSpec
	Adapters []AdapterSpec
}

// RequestWaiting reports that a request waits for a model version and optionally an adapter.
type RequestWaiting struct {
	Request        string
	Model, Adapter string
	Deadline       time.Time
	Class          wirepb.Class
}

// RequestGone reports that a request no longer waits: it was started, refused or cancelled.
type RequestGone struct{ Request string }

// Started and Finished mark the start and end of a request, which pins its model and adapter while it runs.
type Started struct{ Request, Model, Adapter string }

// Finished reports the end of a request reported by Started.
type Finished struct{ Request string }

// PermitGranted allows one load from the weight store to start until Expires.
type PermitGranted struct {
	ID      string
	Expires time.Time
}

// PermitDenied rejects a permit request, which may be repeated at RetryAt.
type PermitDenied struct {
	ID      string
	RetryAt time.Time
}

// OrderDone is the result of an order: Err is nil or one of endpoint's sentinel errors, which may mean that the outcome
// is unknown. It is required for each order, after the order was sent or can no longer be sent.
type OrderDone struct {
	ID  string
	Err error
}

// Leaving reports that the endpoint or the agent is stopping: no new loads start, running requests continue.
type Leaving struct{}

// Tick only advances the time.
type Tick struct{}

func (EngineRead) event()       {}
func (EngineReadFailed) event() {}
func (RowsRead) event()         {}
func (RowSeen) event()          {}
func (SpecsChanged) event()     {}
func (RequestWaiting) event()   {}
func (RequestGone) event()      {}
func (Started) event()          {}
func (Finished) event()         {}
func (PermitGranted) event()    {}
func (PermitDenied) event()     {}
func (OrderDone) event()        {}
func (Leaving) event()          {}
func (Tick) event()             {}

// Action is an output of the machine.
type Action interface{ action() }

// SendOrder requests that an order be sent to the engine and its result be reported by OrderDone.
type SendOrder struct {
	Order endpoint.Order
	// FromStore is set if the load is expected to read from the weight store.
	FromStore bool
}

// ReadEngine requests a read of the engine's state, to be reported by EngineRead or EngineReadFailed. IDs increase.
type ReadEngine struct{ ID uint64 }

// ReadRows requests a read of this engine's grants from the table, to be reported by RowsRead.
type ReadRows struct{}

// AskPermit requests a permit for a load from the weight store.
type AskPermit struct {
	ID       string
	Kind     wirepb.PermitKind
	Model    string
	Deadline time.Time
}

// ReleasePermit reports that a permit, or a request for one, is no longer needed.
type ReleasePermit struct{ ID string }

// Usable reports that requests for a model version and adapter may start; Adapter is empty for the model alone.
type Usable struct{ Model, Adapter string }

// Unusable reports that no further request for the model version, or only for the adapter if set, may start.
type Unusable struct{ Model, Adapter string }

// RefuseRequests refuses all waiting requests of a model version, or of one adapter if set; with Request set, only that
// one.
type RefuseRequests struct {
	Request        string
	Model, Adapter string
	Reason         wirepb.RefusalReason
	RetryAfter     time.Duration
	Detail         string
}

// ConfirmRelease reports to the entries that the engine does not hold the model version and that this agent will not
// load it under any revision up to Revision.
type ConfirmRelease struct {
	Model    string
	Revision uint64
}

// WantSlot asks the entries for a slot on another engine.
type WantSlot struct {
	Model  string
	Reason wirepb.RefusalReason
}

func (SendOrder) action()      {}
func (ReadEngine) action()     {}
func (ReadRows) action()       {}
func (AskPermit) action()      {}
func (ReleasePermit) action()  {}
func (Usable) action()         {}
func (Unusable) action()       {}
func (RefuseRequests) action() {}
func (ConfirmRelease) action() {}
func (WantSlot) action()       {}

// Options are the settings of a Machine.
type Options struct {
	Engine string
	// Host is the engine's host; a slot belongs to this engine only if it names both.
	Host string
	// MemoryBytes is the engine memory that the ledger may allocate.
	MemoryBytes int64
	// ChecksFencing is set if the engine rejects orders with a stale fencing token.
	ChecksFencing bool
	// OrderLifetime is the longest time for which an order may still take effect after it was abandoned or its sender
	// died. For a model load that means the start of the load, which the engine's state shows; for an adapter load, its
	// end.
	OrderLifetime time.Duration
	// StateInterval is the time between periodic reads of the engine's state.
	StateInterval time.Duration
	// PermitTimeout is how long a load waits for a permit before it starts without one; the time is jittered.
	PermitTimeout time.Duration
	// LoadsAtOnce is the maximum number of concurrent loads of model versions (default 2).
	LoadsAtOnce int
	// Seed seeds the jitter.
	Seed uint64
}

// ReplicaStatus is the state of one replica as reported to the entries.
type ReplicaStatus struct {
	Model    string
	State    wirepb.ReplicaState
	Adapters []string
	Running  int
	IdleFor  time.Duration
	Revision uint64
}

// Status is the machine's state as reported to the entries.
type Status struct {
	Ready            bool
	Leaving          bool
	MemoryBytes      int64
	ReservedBytes    int64
	LoadsInFlight    int
	AdaptersInFlight int
	Replicas         []ReplicaStatus
	Cached           []string
}

// IdlePolicy determines how long an idle replica stays loaded.
type IdlePolicy interface {
	// Observe records the arrival of a request for a model version.
	Observe(model string, now time.Time)
	// Keep returns how long the model version stays loaded after its last request ended, given the duration of a cold
	// start and the fraction of the engine's memory that it uses.
	Keep(model string, now time.Time, coldStart time.Duration, memoryShare float64) time.Duration
}
