package control

import (
	"time"

	"balsamsail/internal/control/controlpb"
)

// permitRequestTTL is how long a request for a permit stays valid. Gateways repeat it every 250 ms while requests wait.
const permitRequestTTL = 400 * time.Millisecond

// grantPermits gives permits to the gateways that wait for one, in random order, as far as this hub's share of the
// endpoints' limits goes.
func (h *Hub) grantPermits(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		h.grantTo(now, s)
	}
}

// grantTo gives a gateway the permits that it waits for. The caller holds mu.
func (h *Hub) grantTo(now time.Time, s *subscriber) {
	var granted []string
	for id, askedAt := range s.wantedPermits {
		switch {
		case now.Sub(askedAt) > permitRequestTTL:
			delete(s.wantedPermits, id)
		case h.fleet.TakePermit(now, id):
			granted = append(granted, id)
			delete(s.wantedPermits, id)
		}
	}
	if len(granted) > 0 {
		s.send(&controlpb.SiteUpdate{Permits: granted})
	}
}

// requestPermits takes in the requests of a gateway for permits.
func (h *Hub) requestPermits(now time.Time, s *subscriber, ids []string) {
	if len(ids) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		s.wantedPermits[id] = now
	}
	h.grantTo(now, s)
}
