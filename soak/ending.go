package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"balsamsail/platform/standin"
)

const (
	// endingTries is how often a client sends a request that ends endpoints, each time to the next gateway, and endingPause the
	// time between two tries.
	endingTries = 6
	endingPause = 100 * ms
	// endedPause is how long an endpoint that such a request has ended is away.
	endedPause = 700 * ms
)

// endingMark begins the body of a request that ends the endpoints that run it; the rest is its name.
var endingMark = []byte("ends endpoints: ")

// endsUnder returns the function by which an endpoint ends under such a request.
func (s *site) endsUnder(p *endpointHost) func(standin.Arrival) bool {
	return func(a standin.Arrival) bool {
		name, ends := bytes.CutPrefix(a.Body, endingMark)
		if !ends {
			return false
		}
		s.mu.Lock()
		began := s.endings[string(name)]
		s.mu.Unlock()
		s.checker.recordEndedUnder(string(name), a.Incarnation, began, s.gateways)
		go func() {
			start := s.crash(p)
			time.Sleep(endedPause)
			start()
		}()
		return true
	}
}

// sendEnding sends a request that ends endpoints, again and again as a client would that gets no answer: a read, or a stream that
// may be resumed.
func (s *site) sendEnding(pick uint64) {
	name := fmt.Sprint("ending-", pick)
	s.mu.Lock()
	s.endings[name] = time.Now()
	s.mu.Unlock()
	go func() {
		for try := range uint64(endingTries) {
			gateway := s.gateway(pick + try)
			c := newClient(s, gateway, 2000)
			r := &record{kind: read, gateway: gateway.name, call: standin.Call{
				ID: fmt.Sprintf("%s-%d", name, try), Host: siteHost, Method: http.MethodGet, Path: prefixRead + "ending", Body: append(endingMark, name...),
				Timeout: 1500 * ms,
			}}
			if pick%2 == 1 {
				r.kind, r.call.Method, r.call.Path, r.call.Model, r.call.Events = chat, http.MethodPost, prefixChat+"ending", s.models[pick/2%3], 5
			}
			ctx, cancel := context.WithTimeout(context.Background(), r.call.Timeout+responseSlack)
			c.attempt(ctx, r)
			cancel()
			c.close()
			time.Sleep(endingPause)
		}
	}()
}
