package timeline

// The events of a request, at the entry and at the agent.
const (
	RequestReceived Kind = "request.received"
	// RequestOffered is an attempt at one endpoint.
	RequestOffered  Kind = "request.offered"
	RequestAccepted Kind = "request.accepted"
	// RequestRefused ends a request or an attempt as not run.
	RequestRefused Kind = "request.refused"
	// RequestReady says that a request of two steps waits for its commit.
	RequestReady     Kind = "request.ready"
	RequestCommitted Kind = "request.committed"
	RequestStarted   Kind = "request.started"
	// RequestHead is the head of the endpoint's answer.
	RequestHead      Kind = "request.head"
	RequestCompleted Kind = "request.completed"
	// RequestFailed ends a request that was begun; its detail says whether the outcome is unknown.
	RequestFailed  Kind = "request.failed"
	RequestRetried Kind = "request.retried"
	// RequestCancelled says that the caller went away.
	RequestCancelled Kind = "request.cancelled"
	ClaimTaken       Kind = "claim.taken"
	ClaimRefused     Kind = "claim.refused"
	ClaimSettled     Kind = "claim.settled"
)

// The events of a model or an adapter at an engine.
const (
	LoadQueued    Kind = "load.queued"
	LoadOrdered   Kind = "load.ordered"
	Loaded        Kind = "load.done"
	LoadFailed    Kind = "load.failed"
	LoadUnknown   Kind = "load.unknown"
	UnloadOrdered Kind = "unload.ordered"
	Unloaded      Kind = "unload.done"
	UnloadFailed  Kind = "unload.failed"
	UnloadUnknown Kind = "unload.unknown"
	ReplicaIdle   Kind = "replica.idle"
	PermitAsked   Kind = "permit.asked"
	PermitGiven   Kind = "permit.given"
	PermitDenied  Kind = "permit.denied"
	EngineRead    Kind = "engine.read"
	EngineLost    Kind = "engine.lost"
	// EngineRestarted says that the engine came back and holds nothing.
	EngineRestarted Kind = "engine.restarted"
)

// The events of grants.
const (
	SlotGranted   Kind = "slot.granted"
	SlotReleasing Kind = "slot.releasing"
	SlotRemoved   Kind = "slot.removed"
	SlotWanted    Kind = "slot.wanted"
	// GrantConflict says that another process changed the row first.
	GrantConflict Kind = "grant.conflict"
)

// The events of declarations, hosts and processes.
const (
	DeclarationAccepted Kind = "declaration.accepted"
	DeclarationRefused  Kind = "declaration.refused"
	DeclarationApplied  Kind = "declaration.applied"
	HostSeen            Kind = "host.seen"
	HostLeaving         Kind = "host.leaving"
	HostGone            Kind = "host.gone"
	PeerConnected       Kind = "peer.connected"
	PeerLost            Kind = "peer.lost"
	DrainStarted        Kind = "drain.started"
	DrainDone           Kind = "drain.done"
	ProcessStarted      Kind = "process.started"
	ProcessReady        Kind = "process.ready"
	ProcessStopped      Kind = "process.stopped"
	PlatformLost        Kind = "platform.lost"
	PlatformBack        Kind = "platform.back"
)
