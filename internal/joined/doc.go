// Package joined contains deterministic simulation tests of the whole system. It has no code other than tests.
//
// The tests of the other packages check each state machine on its own. This package checks their interaction: a release
// confirmation that crosses a grant, a drain while an entry is frozen, an order that arrives after its agent was replaced.
// It simulates several entries, agents, engines and plain services in virtual time in one goroutine, with one seeded random
// source, and connects the state machines in the same way as the I/O code of packages agent and entry.
//
// The production code under test is admission.Queue and Limiter, atmostonce.Exchange, Execution and Claims,
// declarations.Store and Receiver, loading.Machine with its permits and idle policy, membership.View, replicas.Manager with
// its Decider and proposals, and routing.Router, Decide and RetryBudget. The network, the table, the host list, the
// engines, the plain services, the callers and the code that connects the state machines are simulated here.
//
// After each step the tests check the invariants P1 to P9:
//
//   - P1: an engine holds only models for which it has a slot, and grants respect the declared maximum.
//   - P2: loads never exceed an engine's memory.
//   - P3: each call gets exactly one final answer, in time.
//   - P4: an answer belongs to its call and is complete.
//   - P5: a call that is reported as not run has not run and does not run later.
//   - P6: a call that must not be repeated runs at most once.
//   - P7: an endpoint that is leaving or drained gets no new requests after a few seconds.
//   - P8: planned stops and unloads do not abort running requests.
//   - P9: an accepted edit comes into force in time in all reachable processes, and revisions never go back.
//
// At the end of a run, after all faults have ended, they check that the declared state is reached and calls are served.
package joined
