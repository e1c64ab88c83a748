package timeline

// The events of a request, at the entry and at the agent.
const (
	RequestReceived Kind = "request.received"
	// RequestOffered is an attempt at one endpoint.
	RequestOffered  Kind = "request.offered"
	RequestAccepted Kind = "request.accepted"
	// RequestRefused ends a request or an attempt that was not executed.
	RequestRefused Kind = "request.refused"
	// RequestReady means that a two-step request is waiting for its commit.
	RequestReady     Kind = "request.ready"
	RequestCommitted Kind = "request.committed"
	RequestStarted   Kind = "request.started"
	// RequestHead means that the header of the endpoint's response has arrived.
	RequestHead      Kind = "request.head"
	RequestCompleted Kind = "request.completed"
	// RequestFailed ends a request whose execution had started; its detail states whether the outcome is unknown.
	RequestFailed  Kind = "request.failed"
	RequestRetried Kind = "request.retried"
	// RequestCancelled means that the caller disconnected.
	RequestCancelled Kind = "request.cancelled"
	ClaimTaken       Kind = "claim.taken"
	ClaimRefused     Kind = "claim.refused"
	ClaimSettled     Kind = "claim.settled"
)

// The events of a model or an adapter at an engine.
const (
	LoadQueued      Kind = "load.queued"
	LoadOrdered     Kind = "load.ordered"
	Loaded          Kind = "load.done"
	LoadFailed      Kind = "load.failed"
	LoadUnknown     Kind = "load.unknown"
	UnloadOrdered   Kind = "unload.ordered"
	Unloaded        Kind = "unload.done"
	UnloadFailed    Kind = "unload.failed"
	UnloadUnknown   Kind = "unload.unknown"
	ReplicaIdle     Kind = "replica.idle"
	PermitRequested Kind = "permit.asked"
	PermitGranted   Kind = "permit.given"
	PermitDenied    Kind = "permit.denied"
	EngineRead      Kind = "engine.read"
	EngineLost      Kind = "engine.lost"
	// EngineRestarted means that the engine restarted and has no models loaded.
	EngineRestarted Kind = "engine.restarted"
)

// The events of grants.
const (
	SlotGranted   Kind = "slot.granted"
	SlotReleasing Kind = "slot.releasing"
	SlotRemoved   Kind = "slot.removed"
	SlotWanted    Kind = "slot.wanted"
	// GrantConflict means that another process changed the row first.
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
