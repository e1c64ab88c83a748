package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// The traffic of the case: streams and plain requests, some of whose clients leave before their answer is complete.
const (
	streamService  = "dossier-stream"
	streamEvents   = 20
	eventTime      = 40 * time.Millisecond
	plainTime      = 120 * time.Millisecond
	leaveDuration  = 20 * time.Second
	leaveInterval  = 100 * time.Millisecond
	leaveEvery     = 5
	leaveAfter     = 75 * time.Millisecond
	streamDeadline = 12 * time.Second
)

// playHalfClosed lets one client in five leave: it closes its side of the connection and reads on until the gateway closes the other.
func playHalfClosed(s *stage) error {
	runs := newRuns()
	for range 2 {
		for _, o := range []serverOptions{
			{service: ledgerService, slots: ledgerSlots, queue: 24, work: plainTime},
			{service: streamService, slots: 64, queue: 192, work: eventTime, events: streamEvents},
		} {
			if _, err := s.startServer(o, runs); err != nil {
				return err
			}
		}
	}
	err := s.declare([]standin.Service{{Name: ledgerService, MaxConnections: 100}, {Name: streamService, MaxConnections: 360}}, []standin.Route{
		{Name: "r-1", Host: siteHost, Prefix: "/rapu33/", Type: standin.RouteUnsafe, TimeoutMS: 800, TargetLatencyMS: 150, Service: ledgerService, MaxAttempts: 1},
		{Name: "r-2", Host: siteHost, Prefix: "/lohu930/", Type: standin.RouteStreaming, TimeoutMS: 12000, TargetLatencyMS: 500, TargetGapMS: 250, Service: streamService, MaxAttempts: 1},
	})
	if err != nil {
		return err
	}
	if err := s.startGateways(2); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	var sending sync.WaitGroup
	number := 0
	for began := time.Now(); time.Since(began) < leaveDuration; time.Sleep(leaveInterval) {
		number++
		c := visit{
			stage: s, runs: runs, id: fmt.Sprintf("%08x%08x", s.seed, number), gateway: s.gateways[number%len(s.gateways)],
			stream: number/leaveEvery%2 == 0, leaves: s.trouble && number%leaveEvery == 0,
		}
		sending.Go(c.run)
	}
	sending.Wait()
	s.record.printf("%d requests", number)
	return nil
}

// visit is one request of a client on a connection of its own.
type visit struct {
	stage   *stage
	runs    *runs
	id      string
	gateway *host
	stream  bool
	leaves  bool
}

func (v visit) run() {
	conn, err := net.Dial("tcp", v.gateway.frontend)
	if err != nil {
		v.stage.record.printf("client cannot connect to %s: %v", v.gateway.name, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	path, deadline := "/rapu33/notice", clientDeadline
	if v.stream {
		path, deadline = "/lohu930/2f", streamDeadline
	}
	body := "notice " + v.id
	v.stage.record.printf("client sends request %s to %s, leaves early: %t", v.id, v.gateway.name, v.leaves)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, siteHost, headerID, v.id, headerDeadline, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return
	}
	if v.leaves {
		time.AfterFunc(leaveAfter, func() {
			v.stage.record.printf("client of request %s leaves: it closes its side of the connection", v.id)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
	}
	v.judge(conn)
}

// judge reads the answer and checks that a success is the server's, whole, or does not look complete.
func (v visit) judge(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		v.stage.record.printf("client got no answer to request %s: %v", v.id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	complete := err == nil
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	v.stage.record.printf("client got %d to request %s, %d bytes, complete %t, signature %q, error %v, ran at %s",
		response.StatusCode, v.id, len(body), complete, response.Header.Get(headerSignature), err, strings.Join(v.runs.of(v.id), " and "))
	if !complete || response.StatusCode/100 != 2 {
		return
	}
	want := string(standin.PlainBody(v.id))
	if v.stream {
		want = allEvents(v.id, streamEvents)
	}
	switch {
	case response.Header.Get(headerSignature) != standin.Signature(v.id):
		v.stage.record.violate("MIXED: request %s got a success (%d) without the server's signature, %d bytes", v.id, response.StatusCode, len(body))
	case string(body) != want:
		v.stage.record.violate("MIXED: request %s got an answer that looks complete with %d of %d bytes", v.id, len(body), len(want))
	}
}

// allEvents returns the whole body of a stream.
func allEvents(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(standin.Event(id, n))
	}
	return b.String()
}
