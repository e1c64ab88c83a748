package engineagent

import (
	"slices"
	"time"
)

// lateOrderTTL is how long an order without a response may still be carried out. Such orders have been seen to reach an
// engine up to 12 s late.
const lateOrderTTL = 15 * time.Second

// unansweredOrder is an order whose outcome is unknown.
type unansweredOrder struct {
	Order
	until time.Time
}

// forgetLateOrders forgets the orders that can no longer be carried out.
func (c *Core) forgetLateOrders(now time.Time) {
	expired := func(o unansweredOrder) bool { return !now.Before(o.until) }
	c.lateOrders = slices.DeleteFunc(c.lateOrders, expired)
	c.unansweredOrders = slices.DeleteFunc(c.unansweredOrders, expired)
}

// lateOrderMemory returns the memory, in MB, that late orders to an earlier process of the engine may still take.
//
// Neither the ID nor the sequence in such an order tells the new process that it is not meant for it. Without the
// reservation, a late load on top of the new process's own loads overcommits the engine's memory, which crashes it.
func (c *Core) lateOrderMemory() float64 {
	total := 0.0
	for _, o := range c.lateOrders {
		if o.Kind != Load {
			continue
		}
		if o.Adapter != "" {
			total += c.class.Models[o.Model].AdapterMB
			continue
		}
		total += c.class.Models[o.Model].SizeMB
	}
	return total
}

// lateAdapters returns the number of adapters that late orders to an earlier process of the engine may still load.
func (c *Core) lateAdapters() int {
	n := 0
	for _, o := range c.lateOrders {
		if o.Kind == Load && o.Adapter != "" {
			n++
		}
	}
	return n
}
