package replicas

// DeclarationSource hands out the declared set.
type DeclarationSource interface {
	// Declared returns the newest applied set; false before the process has one. A set that was handed out is not changed.
	Declared() (Declared, bool)
}

// EngineSource hands out what is known of engines and hosts.
type EngineSource interface {
	// Engines returns all known engines and a version that differs whenever any field of any of them does. A slice that was
	// handed out is not changed. It is called often and should hand out the same slice while nothing has changed.
	Engines() ([]EngineView, uint64)
	// Hosts returns the host list as last read.
	Hosts() HostsView
}

// PeerSource names the processes that may decide.
type PeerSource interface {
	// Self returns this process's name and Live the names of all live ones, in any order.
	Self() string
	Live() []string
}

// UsageSource says how replicas are used.
type UsageSource interface {
	// Usage returns how many requests run or wait at the replicas of a model version, and which engines report a loaded or
	// loading replica of it.
	Usage(model string) (running int, loaded []string)
}

// Inputs are what a Manager decides from, beside the table.
type Inputs struct {
	Declarations DeclarationSource
	Engines      EngineSource
	Peers        PeerSource
	Usage        UsageSource
}
