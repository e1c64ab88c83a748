// Package replicas decides how many replicas of each model version may exist and on which engines, and stores these
// grants in the platform's table.
//
// The table has one row per model version. A row lists slots; a slot is one engine's right to hold one replica. Decider
// computes row changes from the process's view (declarations, engines, rows, demand); it is deterministic and does no
// I/O. Propose writes one change, conditional on the row being unchanged since the decision. Manager runs the control
// loop: it follows the rows, runs the Decider and proposes the resulting changes.
//
// # Bound on loaded replicas
//
// An agent loads a model version only under a GRANTED slot that it has read. A slot is revoked in two steps: it becomes
// RELEASING, and it is removed from the row only after its engine has confirmed that it holds nothing and will load
// nothing under that revision or an older one, or after the engine's host is known to be gone. A RELEASING slot counts
// against the maximum until it is removed and never becomes GRANTED again. The engines that may hold a replica are
// therefore always among the slots of the row, whichever process decides and however late an order, a row or a
// confirmation arrives.
//
// # Concurrent proposals
//
// Any process may propose at any time. Each write is conditional on the row's revision, and table revisions increase
// with every commit, so of several writes decided from one state of a row at most one commits; a delayed write commits
// only against the state that it was decided from. A process that does not learn the outcome of its write reads the row
// again and decides from the result; it keeps no state about the lost write. The order in which processes propose only
// reduces conflicts; correctness does not depend on it.
package replicas
