package rig

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// silenceLimit is the time without a heartbeat after which the platform removes an entry: three intervals.
const silenceLimit = 3 * engineHeartbeat

// serverSlots is the number of requests that a server of a plain service processes concurrently.
const serverSlots = 6

// Server is a process of a plain service.
type Server struct {
	*Site
	service, id, address string
	born                 int64
	work                 time.Duration
	server               *http.Server
	// dark is closed once the server answers nothing any more.
	dark chan struct{}

	mu    sync.Mutex
	ended bool
}

// StartServer starts a process of the n-th server. It has an ID of its own.
func (s *Site) StartServer(n int, service string, work time.Duration) (*Server, error) {
	e := &Server{
		Site: s, service: service, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: s.EndpointAddress(n), born: time.Now().UnixMilli(), work: work,
		dark: make(chan struct{}),
	}
	listener, err := Listen(e.address)
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	go e.sendHeartbeats()
	e.Printf("%s starts", e.id)
	return e, nil
}

func (e *Server) sendHeartbeats() {
	for beat := 1; ; beat++ {
		e.mu.Lock()
		if e.ended {
			e.mu.Unlock()
			return
		}
		e.Store.Put(standin.EndpointTable, e.id, map[string]any{
			"service": e.service, "address": e.address, "zone": Zone, "version": "v1", "slots": serverSlots, "state": "ready", "born": e.born,
			"cold_remaining_ms": 0, "sequence": beat,
		})
		e.mu.Unlock()
		time.Sleep(engineHeartbeat)
	}
}

// GoDark makes the server answer nothing any more. The platform removes its entry after some time.
func (e *Server) GoDark() {
	e.Printf("%s goes dark", e.id)
	close(e.dark)
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	time.AfterFunc(silenceLimit, func() { e.Store.Remove(standin.EndpointTable, e.id) })
}

// Stop ends the process.
func (e *Server) Stop() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// ServeHTTP implements http.Handler.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	select {
	case <-e.dark:
		e.Printf("%s does not answer request %s", e.id, id)
		<-r.Context().Done()
		return
	case <-time.After(e.work):
	}
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(HeaderInstance, e.id)
	if r.Header.Get(HeaderExpected) != e.id {
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.Printf("%s runs request %s", e.id, id)
	w.Header().Set(standin.HeaderSignature, standin.Signature(id))
	_, _ = w.Write(standin.PlainBody(id))
}
