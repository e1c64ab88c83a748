package loading

import (
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
)

// order is an order that was sent and may still take effect.
type order struct {
	endpoint.Order
	// holding is the target of the order; nil for the orders of previous agents.
	holding *holding
	// incarnation is the engine's incarnation when the order was created.
	incarnation string
	sentAt      time.Time
	fromStore   bool
	// permit is the permit that the load uses; its id is empty if there is none.
	permit permit
	// prevState is the state of the holding before the order.
	prevState state
	// unknown is set if the order ended at endedAt without a definite result.
	unknown bool
	endedAt time.Time
}

// isLoad reports whether an order loads a model version or an adapter.
func (o *order) isLoad() bool {
	return o.Kind == endpoint.OrderLoad || o.Kind == endpoint.OrderLoadAdapter
}

// outcome classifies the result of an order.
type outcome int

const (
	// outcomeDone: the order was carried out.
	outcomeDone outcome = iota
	// outcomeNoEffect: the order had no effect and never will.
	outcomeNoEffect
	// outcomeUnknown: the order may have taken effect or may still do so.
	outcomeUnknown
)

// noEffectErrors are the errors that prove that an order had no effect.
var noEffectErrors = []error{
	endpoint.ErrUnreachable,
	endpoint.ErrFenced,
	endpoint.ErrNoMemory,
	endpoint.ErrUnauthorized,
	endpoint.ErrUnavailable,
	endpoint.ErrInvalid,
}

// outcomeOf classifies the result of an order. Errors that do not prove that it had no effect count as unknown.
func outcomeOf(o *order, err error) outcome {
	if err == nil {
		return outcomeDone
	}
	for _, e := range noEffectErrors {
		if errors.Is(err, e) {
			return outcomeNoEffect
		}
	}
	if o.isLoad() && errors.Is(err, endpoint.ErrLoadFailed) {
		return outcomeNoEffect
	}
	return outcomeUnknown
}

// expired reports whether an order's lifetime had ended at the given time. The lifetime counts from when the order was
// abandoned, not from when the machine issued it: a suspended process may send it much later, but not after it was
// abandoned.
func (m *Machine) expired(o *order, at time.Time) bool { return !at.Before(m.expiresAt(o)) }

func (m *Machine) expiresAt(o *order) time.Time { return o.endedAt.Add(m.options.OrderLifetime) }

// ineffective reports whether an order of unknown outcome could no longer take effect after a read that began at the
// given time and step: its lifetime had ended, or the engine had accepted an order with a higher fencing token.
//
// An engine may lose the fencing tokens on restart, so the result can revert to false. Irreversible decisions must use
// expired.
func (m *Machine) ineffective(o *order, at time.Time, step uint64) bool {
	if m.expired(o, at) {
		return true
	}
	return m.options.ChecksFencing && m.accepted.fence > o.FencingToken && m.accepted.step <= step
}

// ineffectiveNow is ineffective as of the current step.
func (m *Machine) ineffectiveNow(o *order) bool { return m.ineffective(o, m.now, m.step) }
