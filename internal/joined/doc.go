// Package joined holds the test of the deciding machines joined into one system; it has no code of its own.
//
// The slices prove their machines one by one. What is left are the seams: a confirmation that crosses a grant, a drain
// that meets a frozen entry, an order that arrives after its agent was replaced. The test runs several entries, agents,
// engines and plain services in virtual time in one goroutine, with one seeded source of randomness, and joins the
// machines as the shells of packages agent and entry do. Used as they are: admission.Queue and Limiter,
// atmostonce.Exchange, Execution and Claims, declarations.Store and Receiver, loading.Machine and its permits and idle
// policy, membership.View, replicas.Manager with its Decider and proposals, routing.Router, Decide and RetryBudget. Made
// here are the network, the table, the host list, the engines, the plain services, the callers, and the joining itself.
//
// After each step the test checks what must always hold, and at the end of a run, when all faults have ended, that the
// system does again all that is asked of it.
package joined
