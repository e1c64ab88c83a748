package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
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
		if part, bad := badPartOf(a.Prompt); bad {
			s.checker.recordBadEnd(part, a.Incarnation)
			s.end(p)
			return true
		}
		name, ends := bytes.CutPrefix(a.Body, endingMark)
		if !ends {
			return false
		}
		s.mu.Lock()
		began := s.endings[string(name)]
		s.mu.Unlock()
		s.checker.recordEndedUnder(string(name), a.Incarnation, began, s.gateways)
		s.end(p)
		return true
	}
}

// end ends an endpoint, which starts again after endedPause.
func (s *site) end(p *endpointHost) {
	go func() {
		start := s.crash(p)
		time.Sleep(endedPause)
		start()
	}()
}

// sendEnding sends a request that ends endpoints, again and again as a client would that gets no answer: a read, or a stream that
// may be resumed. Two clients may send the same one.
func (s *site) sendEnding(pick uint64) {
	client := s.endingClients.Add(1)
	name := endingName(pick)
	s.mu.Lock()
	if s.endings[name].IsZero() {
		s.endings[name] = time.Now()
	}
	s.mu.Unlock()
	go func() {
		for try := range uint64(endingTries) {
			gateway := s.gateway(pick + try)
			c := newClient(s, gateway, 2000)
			r := &record{kind: read, gateway: gateway.name, call: endingCall(pick, client, try, s.models)}
			if r.call.Model != "" {
				r.kind = chat
			}
			ctx, cancel := context.WithTimeout(context.Background(), r.call.Timeout+responseSlack)
			c.attempt(ctx, r)
			cancel()
			c.close()
			time.Sleep(endingPause)
		}
	}()
}

func endingName(pick uint64) string { return fmt.Sprint("ending-", pick) }

// endingCall returns a client's try of a request that ends endpoints. All tries of all its clients differ only in their IDs.
func endingCall(pick uint64, client int64, try uint64, models []string) standin.Call {
	name := endingName(pick)
	call := standin.Call{
		ID: fmt.Sprintf("%s-c%d-%d", name, client, try), Host: siteHost, Method: http.MethodGet, Path: prefixRead + "ending", Body: slices.Concat(endingMark, []byte(name)),
		Timeout: 1500 * ms,
	}
	if pick%2 == 1 {
		call.Method, call.Path, call.Model, call.Events = http.MethodPost, prefixChat+"ending", models[pick/2%3], 5
	}
	return call
}
