// Package loading decides which model versions and adapters one engine holds in memory. It keeps the memory ledger and
// the load queue, and it loads and unloads replicas within the slots granted to the engine.
//
// Machine is a deterministic state machine without I/O: Step takes one event and returns the actions that the agent
// must carry out; their results come back as events. Events may be late, reordered or duplicated. The agent must report
// one OrderDone for each SendOrder, answer each ReadEngine, and call Step at NextDeadline.
//
// # Replica count
//
// A load is ordered only under a GRANTED slot in the newest known row, and only after the table itself has been read
// once: a row pushed by a peer may be older than a release that a previous agent confirmed. A release is confirmed at
// the newest known revision, and rows up to that revision are rejected from then on. The confirmation is sent only once
// no load order can still take effect and a read of the engine's state, begun after that, shows that the model is not
// loaded.
//
// # Orders that may still take effect
//
// An order whose outcome is unknown may take effect until Options.OrderLifetime has passed since it was abandoned. For
// orders of previous agents the time counts from the start of this agent, because no earlier agent runs after that. If
// the engine rejects stale fencing tokens, an order also becomes ineffective once the engine has carried out one with a
// higher token: from then on the machine reuses its memory and may order the same model again. But an engine that
// restarts may lose the tokens it has seen and accept an order that it would have rejected. The machine counts such
// orders again as soon as it detects a restart. A confirmed release cannot be undone, so it never relies on fencing
// tokens.
//
// One window remains if the engine checks fencing tokens but loses them on restart: between the restart and the read
// that detects it, an order that had reached neither process can still take memory that the ledger has already reused.
// This requires an order that outlives the process it was sent to and arrives within its lifetime.
//
// # Memory accounting
//
// The ledger counts everything that is loaded, being loaded or unloaded, or in an unknown state, plus the memory that
// the engine uses for other purposes. Memory is freed only by a definite result, or by a read of the engine's state
// that began after the orders in question could no longer take effect.
//
// # Waiting requests
//
// Each waiting request is tracked until it starts, is refused or is cancelled. It is refused immediately if there is no
// slot, no memory, a failed load or too little time for the load, and at its deadline at the latest.
package loading
