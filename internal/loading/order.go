package loading

import (
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// order is an order that was given and may still take effect.
type order struct {
	endpoint.Order
	// holding is what the order is for; nil for the orders of a predecessor.
	holding *holding
	// incarnation is that of the engine when the order was given.
	incarnation string
	sentAt      time.Time
	fromStore   bool
	// permit is the permit that the load uses; its identifier is empty when there is none.
	permit permit
	// held is the state that the order found.
	held state
	// unknown is set when the order ended without a definite result, at endedAt.
	unknown bool
	endedAt time.Time
}

// isLoad reports whether an order puts something into memory.
func (o *order) isLoad() bool {
	return o.Kind == endpoint.OrderLoad || o.Kind == endpoint.OrderLoadAdapter
}

// outcome is what a result says of an order.
type outcome int

const (
	// outcomeDone: the order was carried out.
	outcomeDone outcome = iota
	// outcomeNoEffect: the order had no effect and never will.
	outcomeNoEffect
	// outcomeUnknown: the order may have had its effect, or may have it yet.
	outcomeUnknown
)

// noEffect are the errors by which an order is known to have had no effect.
var noEffect = []error{
	endpoint.ErrUnreachable,
	endpoint.ErrFenced,
	endpoint.ErrNoMemory,
	endpoint.ErrUnauthorized,
	endpoint.ErrUnavailable,
	endpoint.ErrInvalid,
}

// outcomeOf reads a result. What is not known to be without effect counts as unknown.
func outcomeOf(o *order, err error) outcome {
	if err == nil {
		return outcomeDone
	}
	for _, e := range noEffect {
		if errors.Is(err, e) {
			return outcomeNoEffect
		}
	}
	if o.isLoad() && errors.Is(err, endpoint.ErrLoadFailed) {
		return outcomeNoEffect
	}
	return outcomeUnknown
}

// spent reports whether an order's life was over at a time. The life counts from when the shell gave the order up, not
// from when the machine gave it out: a frozen process may send it long after that, but not after it was given up.
func (m *Machine) spent(o *order, at time.Time) bool { return !at.Before(m.spentAt(o)) }

func (m *Machine) spentAt(o *order) time.Time { return o.endedAt.Add(m.options.OrderLife) }

// over reports whether an order with an unknown result could have no more effect after a read that began at a time and
// step: its life was over, or the engine had accepted an order with a higher fencing number.
//
// An engine may forget the numbers it has seen when it restarts. So over can become false again, and what cannot be
// taken back asks for spent.
func (m *Machine) over(o *order, at time.Time, step uint64) bool {
	if m.spent(o, at) {
		return true
	}
	return m.options.ChecksFencing && m.accepted.fence > o.Fence && m.accepted.step <= step
}

// overNow is over as of this step.
func (m *Machine) overNow(o *order) bool { return m.over(o, m.now, m.step) }
