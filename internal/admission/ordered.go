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

// ordered is a set of waiters by deadline: a treap whose nodes know the size of their subtree, so that a waiter's rank
// is found in O(log n), and the least slack in it, so that a waiter whose rank is hopeless is found in O(log n).
//
// The slack of the waiter at rank r is deadline - r*spacing: the time by which the first must be done for this one to be
// in time when one is done every spacing.
type ordered struct {
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

// renew computes what a node knows of its subtree.
func (o *ordered) renew(n *node) *node {
	rank := n.left.count()
	n.size = rank + 1 + n.right.count()
	n.slack = n.waiter.deadline - time.Duration(rank)*o.spacing
	if n.left != nil {
		n.slack = min(n.slack, n.left.slack)
	}
	if n.right != nil {
		n.slack = min(n.slack, n.right.slack-time.Duration(rank+1)*o.spacing)
	}
	return n
}

// split parts a subtree into the waiters before w and the rest.
func (o *ordered) split(n *node, w *waiter) (before, rest *node) {
	if n == nil {
		return nil, nil
	}
	if n.waiter.before(w) {
		n.right, rest = o.split(n.right, w)
		return o.renew(n), rest
	}
	before, n.left = o.split(n.left, w)
	return before, o.renew(n)
}

// merge joins two subtrees, all of a before all of b.
func (o *ordered) merge(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = o.merge(a.right, b)
		return o.renew(a)
	default:
		b.left = o.merge(a, b.left)
		return o.renew(b)
	}
}

func (o *ordered) len() int { return o.root.count() }

func (o *ordered) insert(w *waiter) {
	added := o.renew(&node{waiter: w, priority: o.random.Uint64()})
	before, rest := o.split(o.root, w)
	o.root = o.merge(o.merge(before, added), rest)
}

func (o *ordered) remove(w *waiter) {
	o.root = o.removeFrom(o.root, w)
}

func (o *ordered) removeFrom(n *node, w *waiter) *node {
	switch {
	case n == nil:
		return nil
	case n.waiter == w:
		return o.merge(n.left, n.right)
	case w.before(n.waiter):
		n.left = o.removeFrom(n.left, w)
	default:
		n.right = o.removeFrom(n.right, w)
	}
	return o.renew(n)
}

// first returns the waiter with the earliest deadline, or nil.
func (o *ordered) first() *waiter {
	if o.root == nil {
		return nil
	}
	n := o.root
	for n.left != nil {
		n = n.left
	}
	return n.waiter
}

// last returns the waiter with the latest deadline, or nil.
func (o *ordered) last() *waiter {
	if o.root == nil {
		return nil
	}
	n := o.root
	for n.right != nil {
		n = n.right
	}
	return n.waiter
}

// rank returns how many waiters come before w, which need not be in the set.
func (o *ordered) rank(w *waiter) int {
	rank := 0
	for n := o.root; n != nil; {
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
func (o *ordered) lastBefore(w *waiter) *waiter {
	var found *waiter
	for n := o.root; n != nil; {
		if n.waiter.before(w) {
			found = n.waiter
			n = n.right
			continue
		}
		n = n.left
	}
	return found
}

// hopeless returns the first waiter whose slack ended before now, or nil.
func (o *ordered) hopeless(now time.Duration) *waiter {
	rank := 0
	for n := o.root; n != nil; {
		if n.slack-time.Duration(rank)*o.spacing >= now {
			return nil
		}
		if n.left != nil && n.left.slack-time.Duration(rank)*o.spacing < now {
			n = n.left
			continue
		}
		rank += n.left.count()
		if n.waiter.deadline-time.Duration(rank)*o.spacing < now {
			return n.waiter
		}
		rank++
		n = n.right
	}
	return nil
}

// spacingTolerance is the factor by which the spacing may change before the slacks are computed anew, which takes O(n).
const spacingTolerance = 1.25

// respace changes the spacing when it moved beyond the tolerance.
func (o *ordered) respace(spacing time.Duration) {
	low := time.Duration(float64(o.spacing) / spacingTolerance)
	high := time.Duration(float64(o.spacing) * spacingTolerance)
	if spacing >= low && spacing <= high {
		return
	}
	o.spacing = spacing
	o.renewAll(o.root)
}

func (o *ordered) renewAll(n *node) {
	if n == nil {
		return
	}
	o.renewAll(n.left)
	o.renewAll(n.right)
	o.renew(n)
}
