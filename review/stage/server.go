package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// Header fields of the platform.
const (
	headerID          = "Balsamsail-Request-Id"
	headerDeadline    = "Balsamsail-Deadline-Ms"
	headerExpected    = "Balsamsail-Expected-Instance"
	headerSignature   = "Balsamsail-Response-Signature"
	headerNotExecuted = "Balsamsail-Not-Executed"
	headerInstance    = "Balsamsail-Instance-Id"
	headerLoad        = "Balsamsail-Instance-Load"
)

// serverOptions are the properties of a server.
type serverOptions struct {
	service string
	// slots requests run at once, and queue more wait.
	slots, queue int
	work         time.Duration
	// repeats is the share of the answers that are sent a second time, at the point where the next answer on the connection is due.
	repeats float64
	// events makes the server answer with a stream of so many events, one after each work time.
	events int
}

// server is a sound server of the platform, but for repeats. It speaks HTTP/1.1 and serves one request at a time on a connection.
type server struct {
	id       string
	options  serverOptions
	address  string
	record   *record
	runs     *runs
	listener net.Listener
	slots    chan struct{}
	stop     chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	waiting int
	running int
	// repeated counts the answers that were sent a second time, and repeatedRejections those of them that were rejections.
	repeated, repeatedRejections int
}

// runs counts how often each request has run.
type runs struct {
	mu    sync.Mutex
	count map[string][]string
}

func newRuns() *runs { return &runs{count: make(map[string][]string)} }

func (r *runs) add(request, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[request] = append(r.count[request], server)
}

// of returns the servers at which a request has run.
func (r *runs) of(request string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.count[request]...)
}

// startServer starts a server and registers it.
func (s *stage) startServer(o serverOptions, r *runs) (*server, error) {
	number := firstServer + len(s.servers)
	listener, err := net.Listen("tcp", s.address(number, portServer))
	if err != nil {
		return nil, err
	}
	e := &server{
		id: fmt.Sprintf("i-%04x%04x", s.seed, number), options: o, address: listener.Addr().String(), record: s.record, runs: r,
		listener: listener, slots: make(chan struct{}, o.slots), stop: make(chan struct{}), random: rand.New(rand.NewPCG(s.seed, uint64(number))),
	}
	zone := zones[len(s.servers)%len(zones)]
	s.servers = append(s.servers, e)
	go e.accept()
	go e.register(s.store, zone)
	return e, nil
}

// register writes the server's entry in the store at each heartbeat.
func (e *server) register(store *standin.Store, zone string) {
	started := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		store.Put(standin.EndpointTable, e.id, map[string]any{
			"service": e.options.service, "address": e.address, "zone": zone, "version": "v1", "slots": e.options.slots, "state": "ready",
			"born": started, "sequence": sequence, "cold_remaining_ms": 0,
		})
		select {
		case <-e.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (e *server) close() {
	close(e.stop)
	_ = e.listener.Close()
}

func (e *server) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve serves the requests of a connection one after another.
func (e *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(headerID)
		if late != nil {
			e.record.printf("server %s sends its earlier answer once more, after it has read request %s: %s", e.id, id, summary(late))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		if e.options.events > 0 {
			if !e.stream(conn, id) {
				return
			}
			continue
		}
		answer, rejected := e.answer(request, id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if e.repeat(rejected) {
			late = answer
		}
	}
}

// repeat draws whether an answer is sent a second time.
func (e *server) repeat(rejected bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() >= e.options.repeats {
		return false
	}
	e.repeated++
	if rejected {
		e.repeatedRejections++
	}
	return true
}

// summary returns the status line and the request's ID of an answer.
func summary(answer []byte) string {
	status, rest, _ := bytes.Cut(answer, []byte("\r\n"))
	line, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(status) + ", " + string(line)
}

// answer runs or rejects a plain request and returns the whole answer.
func (e *server) answer(request *http.Request, id string) (answer []byte, rejected bool) {
	expected := request.Header.Get(headerExpected)
	switch {
	case id == "":
		return e.rejection(http.StatusBadRequest, id), true
	case expected != "" && expected != e.id:
		return e.rejection(http.StatusMisdirectedRequest, id), true
	case !e.admit():
		e.record.printf("server %s rejects request %s: its queue is full", e.id, id)
		return e.rejection(http.StatusServiceUnavailable, id), true
	}
	defer e.leave()
	e.runs.add(id, e.id)
	e.record.printf("server %s runs request %s", e.id, id)
	time.Sleep(e.options.work)
	body := standin.PlainBody(id)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerID, id, headerSignature, standin.Signature(id), headerInstance, e.id, headerLoad, e.load(), len(body), body), false
}

// rejection returns an answer that says that the request has not run.
func (e *server) rejection(status int, id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), headerID, id, headerNotExecuted, headerInstance, e.id, headerLoad, e.load())
}

// admit waits for a slot; it returns false if the queue is full.
func (e *server) admit() bool {
	e.mu.Lock()
	if e.running+e.waiting >= e.options.slots+e.options.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	e.slots <- struct{}{}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	return true
}

func (e *server) leave() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

func (e *server) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.options.slots)
}

// stream answers with a stream of events in chunks. It stops when the connection breaks, and reports whether it got to the end.
func (e *server) stream(conn net.Conn, id string) bool {
	e.runs.add(id, e.id)
	e.record.printf("server %s runs request %s", e.id, id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, id, headerSignature, standin.Signature(id), headerInstance, e.id)
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := 1; n <= e.options.events; n++ {
		time.Sleep(e.options.work)
		event := standin.Event(id, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.record.printf("server %s: request %s was broken off after %d events", e.id, id, n-1)
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
