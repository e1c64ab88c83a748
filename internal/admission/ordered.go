package admission

import (
	"math/rand/v2"
	"time"
)

// waiter is one request in the queue.
type waiter struct {
	request Request
	// deadline is an offset from the queue's epoch, and sequence breaks ties in order of arrival.
	deadline time.Duration
	sequence uint64
	lane     *lane
}

func (w *waiter) before(other *waiter) bool {
	if w.deadline != other.deadline {
		return w.deadline < other.deadline
	}
	return w.sequence < other.sequence
}

// treap is a set of waiters ordered by deadline. Each node stores the size of its subtree and the minimum slack in it.
// With these, a rank and the first waiter that cannot meet its deadline at its rank are each found in O(log n).
//
// The slack of the waiter at rank r is deadline - r*spacing: if one waiter finishes every spacing, it is the latest
// time at which the first one may finish for this one to meet its deadline.
type treap struct {
	root    *node
	spacing time.Duration
	random  *rand.Rand
}

type node struct {
	waiter      *waiter
	left, right *node
	priority    uint64
	size        int
	slack       time.Duration
}

func (n *node) count() int {
	if n == nil {
		return 0
	}
	return n.size
}

// updateNode recomputes a node's size and slack from its children.
func (t *treap) updateNode(n *node) *node {
	rank := n.left.count()
	n.size = rank + 1 + n.right.count()
	n.slack = n.waiter.deadline - time.Duration(rank)*t.spacing
	if n.left != nil {
		n.slack = min(n.slack, n.left.slack)
	}
	if n.right != nil {
		n.slack = min(n.slack, n.right.slack-time.Duration(rank+1)*t.spacing)
	}
	return n
}

// split divides a subtree into the waiters before w and the others.
func (t *treap) split(n *node, w *waiter) (before, rest *node) {
	if n == nil {
		return nil, nil
	}
	if n.waiter.before(w) {
		n.right, rest = t.split(n.right, w)
		return t.updateNode(n), rest
	}
	before, n.left = t.split(n.left, w)
	return before, t.updateNode(n)
}

// merge joins two subtrees, all of a before all of b.
func (t *treap) merge(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = t.merge(a.right, b)
		return t.updateNode(a)
	default:
		b.left = t.merge(a, b.left)
		return t.updateNode(b)
	}
}

func (t *treap) len() int { return t.root.count() }

func (t *treap) insert(w *waiter) {
	added := t.updateNode(&node{waiter: w, priority: t.random.Uint64()})
	before, rest := t.split(t.root, w)
	t.root = t.merge(t.merge(before, added), rest)
}

func (t *treap) remove(w *waiter) {
	t.root = t.removeFrom(t.root, w)
}

func (t *treap) removeFrom(n *node, w *waiter) *node {
	switch {
	case n == nil:
		return nil
	case n.waiter == w:
		return t.merge(n.left, n.right)
	case w.before(n.waiter):
		n.left = t.removeFrom(n.left, w)
	default:
		n.right = t.removeFrom(n.right, w)
	}
	return t.updateNode(n)
}

// first returns the waiter with the earliest deadline, or nil.
func (t *treap) first() *waiter {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.left != nil {
		n = n.left
	}
	return n.waiter
}

// last returns the waiter with the latest deadline, or nil.
func (t *treap) last() *waiter {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.right != nil {
		n = n.right
	}
	return n.waiter
}

// rank returns how many waiters come before w, which need not be in the set.
func (t *treap) rank(w *waiter) int {
	rank := 0
	for n := t.root; n != nil; {
		if n.waiter.before(w) {
			rank += n.left.count() + 1
			n = n.right
			continue
		}
		n = n.left
	}
	return rank
}

// lastBefore returns the latest waiter that comes before w, or nil.
func (t *treap) lastBefore(w *waiter) *waiter {
	var found *waiter
	for n := t.root; n != nil; {
		if n.waiter.before(w) {
			found = n.waiter
			n = n.right
			continue
		}
		n = n.left
	}
	return found
}

// firstInfeasible returns the first waiter whose slack is before now, or nil.
func (t *treap) firstInfeasible(now time.Duration) *waiter {
	rank := 0
	for n := t.root; n != nil; {
		if n.slack-time.Duration(rank)*t.spacing >= now {
			return nil
		}
		if n.left != nil && n.left.slack-time.Duration(rank)*t.spacing < now {
			n = n.left
			continue
		}
		rank += n.left.count()
		if n.waiter.deadline-time.Duration(rank)*t.spacing < now {
			return n.waiter
		}
		rank++
		n = n.right
	}
	return nil
}

// spacingTolerance is the factor by which the spacing may change before all slacks are recomputed, which takes O(n).
const spacingTolerance = 1.25

// setSpacing changes the spacing if it differs from the current one by more than the tolerance.
func (t *treap) setSpacing(spacing time.Duration) {
	low := time.Duration(float64(t.spacing) / spacingTolerance)
	high := time.Duration(float64(t.spacing) * spacingTolerance)
	if spacing >= low && spacing <= high {
		return
	}
	t.spacing = spacing
	t.updateAll(t.root)
}

func (t *treap) updateAll(n *node) {
	if n == nil {
		return
	}
	t.updateAll(n.left)
	t.updateAll(n.right)
	t.updateNode(n)
}
