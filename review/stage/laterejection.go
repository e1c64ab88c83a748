package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// The traffic of the case: clients send clumps of requests, as on the sheets.
const (
	ledgerService  = "signoff-ledger"
	ledgerServers  = 4
	ledgerSlots    = 6
	ledgerQueue    = 6
	ledgerWork     = 30 * time.Millisecond
	clumpRequests  = 64
	clumpInterval  = 400 * time.Millisecond
	lateDuration   = 30 * time.Second
	clientDeadline = 1500 * time.Millisecond
	routeTimeout   = 800 * time.Millisecond
	// garbledShare and garbledAnswers are the dose of the disruption: the share of the servers, and of their answers.
	garbledShare   = 0.5
	garbledAnswers = 0.03
)

// playLateRejection lets some servers send a few of their answers a second time, at the point where the next answer is due. Some of
// these are rejections of earlier requests that found the queue full.
func playLateRejection(s *stage) error {
	runs := newRuns()
	for i := range ledgerServers {
		o := serverOptions{service: ledgerService, slots: ledgerSlots, queue: ledgerQueue, work: ledgerWork}
		if s.trouble && float64(i) < garbledShare*ledgerServers {
			o.repeats = garbledAnswers
		}
		if _, err := s.startServer(o, runs); err != nil {
			return err
		}
	}
	err := s.declare([]standin.Service{{Name: ledgerService, MaxConnections: 100}}, []standin.Route{{
		Name: "r-1", Host: siteHost, Prefix: "/rapu33/", Type: standin.RouteUnsafe, TimeoutMS: int(routeTimeout.Milliseconds()),
		TargetLatencyMS: 150, Priority: 2, Service: ledgerService, MaxAttempts: 1,
	}})
	if err != nil {
		return err
	}
	if err := s.startGateways(2); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clumpRequests, DisableCompression: true}}
	var sending sync.WaitGroup
	number := 0
	for began := time.Now(); time.Since(began) < lateDuration; time.Sleep(clumpInterval) {
		for range clumpRequests {
			number++
			id, gateway := fmt.Sprintf("%08x%08x", s.seed, number), s.gateways[number%len(s.gateways)]
			sending.Go(func() { sendUnsafe(s, client, gateway, id, runs) })
		}
	}
	sending.Wait()
	repeated, rejections := 0, 0
	for _, e := range s.servers {
		repeated, rejections = repeated+e.repeated, rejections+e.repeatedRejections
	}
	s.record.printf("%d requests; %d answers were sent twice, %d of them rejections", number, repeated, rejections)
	for n := 1; n <= number; n++ {
		id := fmt.Sprintf("%08x%08x", s.seed, n)
		if at := runs.of(id); len(at) > 1 {
			s.record.violate("TWICE: request %s, which may run at most once, ran at %s", id, strings.Join(at, " and "))
		}
	}
	return nil
}

// sendUnsafe sends one request that may run at most once, and judges its answer.
func sendUnsafe(s *stage, client *http.Client, gateway *host, id string, runs *runs) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.frontend+"/rapu33/notice", strings.NewReader("notice "+id))
	if err != nil {
		return
	}
	request.GetBody = nil
	request.Host = siteHost
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	s.record.printf("client sends request %s to %s", id, gateway.name)
	response, err := client.Do(request)
	if err != nil {
		s.record.printf("client got no answer to request %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.record.printf("client got no whole answer to request %s: %v", id, err)
		return
	}
	s.record.printf("client got %d to request %s", response.StatusCode, id)
	switch {
	case standin.NotRun(response.StatusCode):
		// A run that begins later counts as well.
		time.Sleep(clientDeadline)
		if at := runs.of(id); len(at) > 0 {
			s.record.violate("REFUSED: request %s was answered %d and ran at %s", id, response.StatusCode, strings.Join(at, " and "))
		}
	case response.StatusCode/100 == 2:
		if response.Header.Get(headerSignature) != standin.Signature(id) || string(body) != string(standin.PlainBody(id)) {
			s.record.violate("MIXED: request %s got a success that is not the server's answer to it", id)
		}
	}
}
