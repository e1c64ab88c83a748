package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// The traffic of the case: notices whose key holds a slash, which clients encode, as it belongs to one segment of the path.
const (
	permitService  = "permit-ledger"
	slashDuration  = 14 * time.Second
	slashInterval  = 100 * time.Millisecond
	changeAfter    = 4 * time.Second
	configApply    = 2 * time.Second
	noticePrefix   = "/rapu33/"
	permitPrefix   = "/rapu33/cuti104/"
	noticePath     = "/rapu33/cuti104%2F17"
	permitPath     = "/rapu33/cuti104/17"
	safeAttempts   = 2
	unsafeAttempts = 1
)

// playEncodedSlash adds a route below an existing one while clients send requests that belong to the existing one.
func playEncodedSlash(s *stage) error {
	runs := newRuns()
	services := make(map[string]string)
	for _, service := range []string{ledgerService, permitService} {
		for range 2 {
			e, err := s.startServer(serverOptions{service: service, slots: ledgerSlots, queue: 24, work: ledgerWork}, runs)
			if err != nil {
				return err
			}
			services[e.id] = service
		}
	}
	notices := standin.Route{
		Name: "r-1", Host: siteHost, Prefix: noticePrefix, Type: standin.RouteUnsafe, TimeoutMS: 800, TargetLatencyMS: 150,
		Service: ledgerService, MaxAttempts: unsafeAttempts,
	}
	permits := standin.Route{
		Name: "r-2", Host: siteHost, Prefix: permitPrefix, Type: standin.RouteSafe, TimeoutMS: 800, TargetLatencyMS: 150,
		Service: permitService, MaxAttempts: safeAttempts,
	}
	err := s.declare([]standin.Service{{Name: ledgerService, MaxConnections: 100}, {Name: permitService, MaxConnections: 100}}, []standin.Route{notices})
	if err != nil {
		return err
	}
	if err := s.startGateways(2); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	var sending sync.WaitGroup
	number, changed := 0, false
	for began := time.Now(); time.Since(began) < slashDuration; time.Sleep(slashInterval) {
		if s.trouble && !changed && time.Since(began) >= changeAfter {
			changed = true
			if _, _, ok := s.operator.Change(func(c *standin.Config) { c.Routes = append(c.Routes, permits) }); !ok {
				return fmt.Errorf("the store took no change")
			}
			s.record.printf("the store acknowledges a configuration that adds a route for %s to %s", permitPrefix, permitService)
		}
		number++
		id, gateway := fmt.Sprintf("%08x%08x", s.seed, number), s.gateways[number%len(s.gateways)]
		path, want := noticePath, ledgerService
		if changed && time.Since(began) >= changeAfter+configApply && number%4 == 0 {
			path, want = permitPath, permitService
		}
		sending.Go(func() {
			sendPath(s, client, gateway, id, path)
			for _, server := range runs.of(id) {
				if services[server] != want {
					s.record.violate("ROUTE: request %s for %s ran at %s of %s; every configuration that was sent routes it to %s", id, path, server, services[server], want)
				}
			}
		})
	}
	sending.Wait()
	s.record.printf("%d requests", number)
	return nil
}

// sendPath sends a request for a path, exactly as it is written, and records its answer.
func sendPath(s *stage, client *http.Client, gateway *host, id, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.frontend, strings.NewReader("notice "+id))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.URL = &url.URL{Scheme: "http", Host: gateway.frontend, Opaque: path}
	request.Host = siteHost
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	s.record.printf("client sends request %s for %s to %s", id, path, gateway.name)
	response, err := client.Do(request)
	if err != nil {
		s.record.printf("client got no answer to request %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	s.record.printf("client got %d to request %s", response.StatusCode, id)
}
