// Package replicas decides how many replicas of each model version may exist and on which engines, and keeps the grants
// in the platform's table.
//
// One row per model version lists slots; a slot is one engine's right to hold one replica. Decider turns what a process
// knows (declarations, engines, rows, demand) into changes of rows: it is deterministic and does no I/O. Propose writes
// one change under the condition that the row is still the one that the decision was made from. Manager is the shell: it
// follows the rows, runs the Decider and proposes what it decides.
//
// # Why no more replicas are loaded than were decided
//
// An agent loads only under a GRANTED slot that it has read. A slot is taken back in two steps: it becomes RELEASING,
// and it leaves the row only after its engine has confirmed that it holds nothing and will load nothing under that
// revision or an older one, or after the engine's host is known to be gone. A RELEASING slot counts against the maximum
// for as long as it is in the row and never becomes GRANTED again. So the engines that may hold a replica are always
// among the slots of the row, whichever process decides and however late an order, a row or a confirmation arrives.
//
// # Why races are safe
//
// Any process may propose at any time. The row's revision is the condition of each write, revisions of the table rise
// with every commit, and so of several writes decided from one state of a row at most one commits; a delayed write
// either commits in the very state that it was decided from, or never. A process that does not know what became of its
// write reads the row again and decides from what it finds; nothing has to be remembered about the lost write. That one
// process usually proposes first is only there to save conflicts.
package replicas
