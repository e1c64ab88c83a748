// Command 10 runs one gateway and one engine agent between a store, an engine and clients, and checks that the engine is never ordered to
// hold more adapters than it can (rule LIMIT). The disruption is an order that gets no response and is carried out seconds later, while
// the engine's host loses power in between.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/childprocess"
	"balsamsail/platform/standin"
	"balsamsail/review/rig"
)

const (
	service  = "llm"
	engineID = "i-7f3a91c2"
	model    = "m0"

	adapterCapacity = rig.Adapters
	heartbeat       = 1200 * time.Millisecond
	adapterLoad     = 14 * time.Millisecond
	eventPause      = 20 * time.Millisecond
	events          = 10

	// lateBy is when the unanswered order is carried out; the pages name 2 to 12 s.
	lateBy = 10 * time.Second
	// powerLossAfter is the time from that order to the loss of power, and powerOff its length.
	powerLossAfter = 2 * time.Second
	powerOff       = 1500 * time.Millisecond
	// runAfter is how long the run goes on after the order was carried out.
	runAfter = 3 * time.Second
)

// order is an order to the engine.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     *int64 `json:"fencing_token"`
}

// engineHost is the host of the engine, which runs one process of it after another. Its disk outlasts them.
type engineHost struct {
	*rig.Site
	address string

	mu      sync.Mutex
	process *engine
	// late is set once an order has been left unanswered, at lateAt.
	late   bool
	lateAt chan struct{}
}

// engine is one process of the engine. It is guarded by the host's mu.
type engine struct {
	host     *engineHost
	server   *http.Server
	born     int64
	sequence int64
	busy     bool
	loaded   bool
	adapters map[string]bool
	pending  map[string]bool
	running  int
	ended    bool
	stop     context.CancelFunc
}

// start starts a process of the engine; the first one of the day holds the model.
func (h *engineHost) start(loaded bool) error {
	listener, err := rig.Listen(h.address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &engine{host: h, born: time.Now().UnixMilli(), loaded: loaded, adapters: map[string]bool{}, pending: map[string]bool{}, stop: stop}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	h.mu.Lock()
	h.process = e
	h.mu.Unlock()
	h.Printf("engine %s starts, born %d", engineID, e.born)
	go func() { _ = e.server.Serve(listener) }()
	go func() {
		for ctx.Err() == nil {
			e.register()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// end ends the process without a word.
func (h *engineHost) end(why string) {
	h.mu.Lock()
	e := h.process
	h.process = nil
	if e != nil {
		e.ended = true
	}
	h.mu.Unlock()
	if e == nil {
		return
	}
	h.Printf("engine ends: %s", why)
	e.stop()
	_ = e.server.Close()
}

func (e *engine) modelsLocked() []map[string]any {
	list := []map[string]any{}
	if e.loaded {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": sorted(e.adapters)})
	}
	return list
}

func sorted(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *engine) register() {
	e.host.mu.Lock()
	row := map[string]any{
		"service": service, "address": e.host.address, "zone": rig.Zone, "version": "v1", "slots": 64, "state": "ready", "born": e.born,
		"sequence": e.sequence, "models": e.modelsLocked(),
	}
	ended := e.ended
	e.host.mu.Unlock()
	if !ended {
		e.host.Store.Put(standin.EndpointTable, engineID, row)
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()
	pending := make([]string, 0, len(e.pending))
	for _, name := range sorted(e.pending) {
		pending = append(pending, model+"/"+name+"@1")
	}
	rig.WriteJSON(w, http.StatusOK, map[string]any{
		"born": e.born, "phase": "combined", "models": e.modelsLocked(), "busy": e.busy, "sequence": e.sequence, "queued": 0,
		"active": e.running, "pending": pending, "available": map[string]any{"resident": []string{}, "on_disk": []string{model}},
	})
}

// order answers an order. With trouble, the first one that loads an adapter once the capacity has been used gets no response, and is
// carried out later by the process that is there then.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == nil {
		rig.WriteJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	expected := r.Header.Get(rig.HeaderExpected)
	h := e.host
	h.mu.Lock()
	leave := h.Trouble && !h.late && o.Operation == "loading" && o.Adapter != "" && o.Expected != nil && *o.Expected > adapterCapacity
	if leave {
		h.late = true
	}
	h.mu.Unlock()
	if leave {
		h.Printf("order %s, expected instance %s: no response, to be carried out %v later", o, expected, lateBy)
		close(h.lateAt)
		time.AfterFunc(lateBy, func() { h.carryOutLate(o, expected) })
		<-r.Context().Done()
		return
	}
	status := e.handle(o, expected)
	h.Printf("order %s, expected instance %s: %d", o, expected, status)
	rig.WriteJSON(w, status, map[string]any{})
}

func (o order) String() string {
	expected := "none"
	if o.Expected != nil {
		expected = strconv.FormatInt(*o.Expected, 10)
	}
	return fmt.Sprintf("%s %s/%s by %s, expected sequence %s", o.Operation, o.Model, o.Adapter, o.Holder, expected)
}

func (h *engineHost) carryOutLate(o order, expected string) {
	h.mu.Lock()
	e := h.process
	h.mu.Unlock()
	if e == nil {
		h.Printf("late order %s: no engine", o)
		return
	}
	h.Printf("late order %s arrives at the process born %d", o, e.born)
	h.Printf("late order %s: %d", o, e.handle(o, expected))
}

// handle decides on an order as the pages say, and carries it out.
func (e *engine) handle(o order, expected string) int {
	h := e.host
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case expected != "" && expected != engineID:
		return http.StatusMisdirectedRequest
	case o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case e.busy:
		return http.StatusConflict
	case o.Model != model:
		return http.StatusBadRequest
	case o.Adapter == "":
		return e.handleModel(o)
	case !e.loaded:
		return http.StatusMisdirectedRequest
	case o.Operation == "unloading":
		delete(e.adapters, o.Adapter)
		e.sequence++
		return http.StatusOK
	case e.adapters[o.Adapter] || e.pending[o.Adapter]:
		return http.StatusOK
	case len(e.pending) >= 4:
		return http.StatusConflict
	}
	e.sequence++
	if held := len(e.adapters) + len(e.pending); held >= adapterCapacity {
		h.Broken("an order to load adapter %s reached an engine that holds %d of %d adapters: %s", o.Adapter, held, adapterCapacity, strings.Join(sorted(e.adapters), " "))
		go h.end("crash, ordered to load more than it holds")
		return http.StatusAccepted
	}
	e.pending[o.Adapter] = true
	time.AfterFunc(adapterLoad, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(e.pending, o.Adapter)
		e.adapters[o.Adapter] = true
	})
	return http.StatusAccepted
}

// handleModel handles an order on the model. The caller holds mu.
func (e *engine) handleModel(o order) int {
	if e.loaded == (o.Operation == "loading") {
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	time.AfterFunc(rig.DiskLoad, func() {
		e.host.mu.Lock()
		e.busy, e.loaded = false, o.Operation == "loading"
		clear(e.adapters)
		e.host.mu.Unlock()
		e.register()
	})
	return http.StatusAccepted
}

// serve runs a client's request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	name, adapter, _ := strings.Cut(r.Header.Get(standin.HeaderModel), "/")
	e.host.mu.Lock()
	absent := name != model || !e.loaded || adapter != "" && !e.adapters[adapter]
	other := r.Header.Get(rig.HeaderExpected) != engineID
	if !absent && !other {
		e.running++
	}
	e.host.mu.Unlock()
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(rig.HeaderInstance, engineID)
	if absent || other {
		w.Header().Set(rig.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		e.host.Printf("engine rejects request %s", id)
		return
	}
	e.host.Printf("engine runs request %s", id)
	defer func() {
		e.host.mu.Lock()
		defer e.host.mu.Unlock()
		e.running--
	}()
	w.Header().Set(standin.HeaderSignature, standin.Signature(id))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		if _, err := io.WriteString(w, standin.Event(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// ask sends one request for an adapter.
func ask(ctx context.Context, s *rig.Site, id, adapter string) {
	s.Send(ctx, standin.Call{
		ID: id, Host: rig.SiteHost, Method: http.MethodPost, Path: "/narrate/1", Body: []byte("{}"), Model: model + "/" + adapter,
		Events: events, Timeout: 12 * time.Second,
	}, s.ClientsAddress(1))
}

// askRegularly asks for the adapters that are in regular use, each twice a second, until ctx ends.
func askRegularly(ctx context.Context, s *rig.Site) {
	for n := 0; ctx.Err() == nil; n++ {
		go ask(ctx, s, fmt.Sprintf("a%015x", n), fmt.Sprintf("a%d", 1+n%adapterCapacity))
		time.Sleep(time.Second / (2 * adapterCapacity))
	}
}

func main() { rig.Main("LIMIT", run) }

func run(s *rig.Site) error {
	declared := standin.Model{Name: model, Adapters: 32}
	s.Declare([]standin.Service{rig.ModelService(service, declared)}, standin.Route{
		Name: "narrate", Prefix: "/narrate/", Type: standin.RouteStreaming, TimeoutMS: 12000, TargetLatencyMS: 500, TargetGapMS: 250, Service: service, MaxAttempts: 1,
	})
	h := &engineHost{Site: s, address: s.EndpointAddress(1), lateAt: make(chan struct{})}
	if err := h.start(true); err != nil {
		return err
	}
	defer h.end("end of the run")
	processes, agents, err := s.Programs(1, 1, 1, 1)
	if err != nil {
		return err
	}
	defer rig.Kill(processes)
	if err := rig.Start(processes); err != nil {
		return err
	}
	if err := s.AwaitReady(1, 1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go askRegularly(ctx, s)
	time.Sleep(4 * time.Second)
	s.Printf("a client asks for a further adapter, once")
	go ask(ctx, s, "b000000000000001", "a9")
	if !s.Trouble {
		time.Sleep(lateBy + runAfter)
		return nil
	}
	return h.losePower(agents[0])
}

// losePower stops and starts the engine and its agent after an order has been left unanswered.
func (h *engineHost) losePower(agent *childprocess.Process) error {
	select {
	case <-h.lateAt:
	case <-time.After(10 * time.Second):
		return errors.New("no order was left unanswered")
	}
	time.Sleep(powerLossAfter)
	h.Printf("the engine's host loses power")
	agent.Kill()
	h.end("power lost")
	time.Sleep(powerOff)
	if err := h.start(false); err != nil {
		return err
	}
	if err := agent.Start(); err != nil {
		return err
	}
	time.Sleep(lateBy - powerLossAfter - powerOff + runAfter)
	return nil
}
