// Package loading decides, beside one engine, which model versions and adapters the engine holds: the memory ledger, the
// load queue and the sleeping and waking of replicas inside granted slots.
//
// Machine is a deterministic state machine without I/O: Step takes one event and returns the actions that the agent's
// shell must carry out. The shell feeds the results back as events. Events may come late, in any order and more than once;
// what the shell owes is one OrderDone for each GiveOrder, an answer to each ReadEngine, and a Step at NextDeadline.
//
// # Why no more replicas are loaded than were decided
//
// A load is ordered only under a GRANTED slot in the newest row known, and not before the table itself was read once: a
// pushed row may be older than a release that a predecessor confirmed. A release is confirmed for the newest revision
// known, and no row up to it is accepted again. The confirmation waits until the engine's state, read after all else,
// shows nothing, and until no load order can still take effect.
//
// # What may still take effect
//
// An order whose result is not known may be carried out at any time until its life (Options.OrderLife) is over, counted
// from when it was given up. The orders of predecessors count from this agent's start, because no earlier agent lives
// then. Where the engine refuses old fencing numbers, an order is also over once the engine has carried out one with a
// higher number: from then on the machine uses its memory and orders the same model again. But an engine that restarts
// may have forgotten the numbers that it saw, and then carry out what it would have refused. The machine counts such
// orders again as soon as it learns of a restart. A confirmed release cannot be taken back; so it alone never rests on a
// fencing number.
//
// One gap is left where numbers are checked and do not outlive a restart: between the restart and the read that tells of
// it, an order that reached neither process before can still take memory that the ledger has given away. It takes an
// order that survives the process it was sent to, within its life.
//
// # Why memory is not overcommitted
//
// The ledger counts all that is loaded, on its way in or out, or not known, and it counts the memory that the engine uses
// beside. Only a definite result, or a read of the state that began after the orders in question were over, frees any.
//
// # Why no request is forgotten
//
// Each waiting request is in one list until it starts, is refused or goes away. It is refused at once when there is no
// slot, no room, a failed load or no time for the load, and at its deadline at the latest.
package loading
