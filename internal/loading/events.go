package loading

import (
	"time"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/replicas/replicaspb"
	"balsamsail/internal/wire/wirepb"
)

// ModelSpec is what the machine must know of a declared model version.
type ModelSpec struct {
	// Model is "name@version".
	Model        string
	MemoryBytes  int64
	KVFloorBytes int64
	// WarmReplicas is how many replicas stay loaded while idle: those in the first GRANTED slots of the row.
	WarmReplicas int
	// ExpectedLoad is the declared time of a load from the store; 0 when not known.
	ExpectedLoad time.Duration
}

// AdapterSpec is what the machine must know of a declared adapter.
type AdapterSpec struct {
	Adapter     string
	Model       string
	MemoryBytes int64
}

// Event is an input of the machine.
type Event interface{ event() }

// EngineRead is the engine's real state, read after start, after an unknown result and when the engine restarted.
type EngineRead struct {
	// ID is that of the newest ReadEngine that was known when the read began; 0 means the one that is not answered yet,
	// which is right for a shell that begins each read after the ReadEngine that asked for it.
	ID    uint64
	State endpoint.EngineState
}

// EngineLost says that the engine did not answer a read. ID is as in EngineRead.
type EngineLost struct{ ID uint64 }

// RowsRead is the result of a read of this engine's grants from the table itself: all rows that name the engine. A
// machine loads nothing before it has seen one, because rows that peers pushed may be older than a release that a
// predecessor of this agent confirmed.
//
// Before the first read the shell must write a row of its own to the table, so that Revision is above every revision that
// a predecessor of this agent has seen: the fencing numbers of orders are derived from it.
type RowsRead struct {
	Rows     []*replicaspb.Row
	Revision uint64
}

// RowSeen is one row pushed by a peer, in any order and possibly stale.
type RowSeen struct{ Row *replicaspb.Row }

// SpecsChanged replaces the declared models and adapters.
type SpecsChanged struct {
	Models   []ModelSpec
	Adapters []AdapterSpec
}

// Demanded says that a request waits for a model version and, perhaps, an adapter.
type Demanded struct {
	Request        string
	Model, Adapter string
	Deadline       time.Time
	Class          wirepb.Class
}

// DemandGone says that a waiting request was taken away: started, refused or cancelled.
type DemandGone struct{ Request string }

// Started and Finished bracket a running request, which pins its model and adapter.
type Started struct{ Request, Model, Adapter string }

// Finished ends what Started began.
type Finished struct{ Request string }

// PermitGiven allows one load from the weight store to start until Expires.
type PermitGiven struct {
	ID      string
	Expires time.Time
}

// PermitDenied asks to come again at RetryAt.
type PermitDenied struct {
	ID      string
	RetryAt time.Time
}

// OrderDone is the definite or unknown result of an order: Err is nil or one of endpoint's sentinels. It must come for
// each order, after the order has left the process or can no longer leave it.
type OrderDone struct {
	ID  string
	Err error
}

// Leaving says that the endpoint or the agent stops: no new load, running work goes on.
type Leaving struct{}

// Tick lets time pass.
type Tick struct{}

func (EngineRead) event()   {}
func (EngineLost) event()   {}
func (RowsRead) event()     {}
func (RowSeen) event()      {}
func (SpecsChanged) event() {}
func (Demanded) event()     {}
func (DemandGone) event()   {}
func (Started) event()      {}
func (Finished) event()     {}
func (PermitGiven) event()  {}
func (PermitDenied) event() {}
func (OrderDone) event()    {}
func (Leaving) event()      {}
func (Tick) event()         {}

// Action is an output of the machine.
type Action interface{ action() }

// GiveOrder tells the shell to send an order and report OrderDone.
type GiveOrder struct {
	Order endpoint.Order
	// FromStore is set when the load is expected to read the weight store.
	FromStore bool
}

// ReadEngine tells the shell to begin a read of the engine's state and report EngineRead or EngineLost. IDs rise.
type ReadEngine struct{ ID uint64 }

// ReadRows tells the shell to read this engine's grants from the table and report RowsRead.
type ReadRows struct{}

// AskPermit tells the shell to ask for a permit.
type AskPermit struct {
	ID       string
	Kind     wirepb.PermitKind
	Model    string
	Deadline time.Time
}

// EndPermit tells the shell that a permit is no longer used.
type EndPermit struct{ ID string }

// Usable says that requests of a model version and adapter may run from now on; Adapter is empty for the model alone.
type Usable struct{ Model, Adapter string }

// Unusable says that no further request of the model version (or only of the adapter) may start.
type Unusable struct{ Model, Adapter string }

// RefuseDemand tells the shell to refuse all waiting requests of a model version and adapter (adapter empty: all), or,
// with Request set, only that one.
type RefuseDemand struct {
	Request        string
	Model, Adapter string
	Reason         wirepb.RefusalReason
	RetryAfter     time.Duration
	Detail         string
}

// ConfirmRelease tells the entries that the engine holds nothing of the model version and that this agent will load
// nothing under revisions up to Revision.
type ConfirmRelease struct {
	Model    string
	Revision uint64
}

// WantSlot asks the entries for another slot elsewhere.
type WantSlot struct {
	Model  string
	Reason wirepb.RefusalReason
}

func (GiveOrder) action()      {}
func (ReadEngine) action()     {}
func (ReadRows) action()       {}
func (AskPermit) action()      {}
func (EndPermit) action()      {}
func (Usable) action()         {}
func (Unusable) action()       {}
func (RefuseDemand) action()   {}
func (ConfirmRelease) action() {}
func (WantSlot) action()       {}

// Options are the settings of a Machine.
type Options struct {
	Engine string
	// Host is the engine's host; a slot is this engine's only if it names both.
	Host string
	// MemoryBytes is the engine's memory that the ledger may hand out.
	MemoryBytes int64
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool
	// OrderLife is the longest time for which an order may still take effect after the shell gave it up or its sender
	// died. Of a model's load it means the beginning, which the engine's state shows; of an adapter's load the end.
	OrderLife time.Duration
	// StateInterval is the time between reads of the engine's state without a cause.
	StateInterval time.Duration
	// PermitPatience is how long a load waits for a permit before it starts without one, at a jittered time.
	PermitPatience time.Duration
	// LoadsAtOnce is how many model versions load at the same time (2).
	LoadsAtOnce int
	// Seed seeds the jitter.
	Seed uint64
}

// ReplicaStatus is one replica's state as told to the entries.
type ReplicaStatus struct {
	Model    string
	State    wirepb.ReplicaState
	Adapters []string
	Running  int
	IdleFor  time.Duration
	Revision uint64
}

// Status is the machine's state as told to the entries.
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

// IdlePolicy says for how long an idle replica is kept loaded.
type IdlePolicy interface {
	// Observe notes the arrival of a request for a model version.
	Observe(model string, now time.Time)
	// Keep returns how long the model version stays loaded after its last request ended, given the time that a cold
	// start takes and the share of the engine's memory that it holds.
	Keep(model string, now time.Time, coldStart time.Duration, memoryShare float64) time.Duration
}
