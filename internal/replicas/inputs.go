package replicas

// DeclarationSource provides the declared set.
type DeclarationSource interface {
	// Declared returns the newest applied set, or false if the process has none yet. A returned set is never modified.
	Declared() (Declared, bool)
}

// EngineSource provides the current view of engines and hosts.
type EngineSource interface {
	// Engines returns all known engines and a version that changes whenever any field of any engine does. A returned
	// slice is never modified. Engines is called often and should return the same slice while nothing has changed.
	Engines() ([]EngineView, uint64)
	// Hosts returns the host list as last read.
	Hosts() HostsView
}

// PeerSource identifies the processes that may decide.
type PeerSource interface {
	// Self returns this process's name. Live returns the names of all live processes, in any order.
	Self() string
	Live() []string
}

// UsageSource reports how replicas are used.
type UsageSource interface {
	// Usage returns how many requests run or wait at the replicas of a model version, and which engines report a loaded
	// or loading replica of it.
	Usage(model string) (running int, loaded []string)
}

// Inputs are a Manager's sources of information other than the table.
type Inputs struct {
	Declarations DeclarationSource
	Engines      EngineSource
	Peers        PeerSource
	Usage        UsageSource
}
