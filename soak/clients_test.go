package main

import (
	"net/http"
	"testing"
	"time"
)

// Guards against clients of several gateways that all ask for the same at the same time, so that one event counts several times.
func TestClientsOfSeveralGatewaysDiffer(t *testing.T) {
	s := &site{seed: 1, gateways: []*host{{name: "gateway-1"}, {name: "gateway-2"}}}
	if one, other := newClient(s, s.gateways[0], 3), newClient(s, s.gateways[1], 3); one.random.Uint64() == other.random.Uint64() {
		t.Error("the clients of two gateways draw the same numbers")
	}
}

// Guards against clients that come back sooner than those of the platform, and find again what they were told to wait for.
func TestClientsWaitAsLongAsTheyAreTold(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		header string
		left   time.Duration
		want   time.Duration
	}{
		{"within a third of the time left", http.StatusServiceUnavailable, "1.25", 6 * time.Second, 1250 * time.Millisecond},
		{"longer than a third of the time left", http.StatusTooManyRequests, "3", 6 * time.Second, 2 * time.Second},
		{"no time left", http.StatusServiceUnavailable, "1", -time.Second, 0},
		{"no time named", http.StatusServiceUnavailable, "", 6 * time.Second, 0},
		{"not a refusal", http.StatusOK, "1", 6 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := outcome{status: c.status, header: http.Header{"Retry-After": {c.header}}}
			if got := e.retryAfter(c.left); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
