package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"balsamsail/platform/standin"
)

// The sizes and times of the small sites' engines.
const (
	ModelMB        = 72_700
	EngineMB       = 230_000
	StoreLoad      = 6 * time.Second
	DiskLoad       = 1300 * time.Millisecond
	memoryLoad     = 600 * time.Millisecond
	AdapterMB      = 66
	Adapters       = 8
	loadsPerSecond = 2.4
)

// ModelService returns the declaration of a service whose engines can load the given models.
func ModelService(name string, models ...standin.Model) standin.Service {
	class := &standin.EngineClass{Slots: slots, WeightsMB: EngineMB, AdapterCapacity: Adapters, LoadsPerS: loadsPerSecond}
	for _, m := range models {
		m.WeightsMB, m.LoadTimeS, m.WarmS, m.DiskLoadS, m.AdapterMB = ModelMB, StoreLoad.Seconds(), memoryLoad.Seconds(), DiskLoad.Seconds(), AdapterMB
		class.Models = append(class.Models, m)
	}
	return standin.Service{Name: name, MaxConnections: 360, Engine: class}
}

// Models returns a number of models without adapters, m01 and so on.
func Models(number int) []standin.Model {
	var list []standin.Model
	for n := range number {
		list = append(list, standin.Model{Name: ModelName(n + 1)})
	}
	return list
}

// ModelName returns the name of the n-th model.
func ModelName(n int) string { return fmt.Sprintf("m%02d", n) }

// ModelNames returns the names of the models from the first to the last.
func ModelNames(first, last int) []string {
	var names []string
	for n := first; n <= last; n++ {
		names = append(names, ModelName(n))
	}
	return names
}

// EngineOptions are the options of an Engine.
type EngineOptions struct {
	Service string
	// Prefill is the time from a request's begin to its first event.
	Prefill time.Duration
	// Holds are the models loaded at the start, and Disk further ones that the host's disk has.
	Holds, Disk []string
}

const (
	engineHeartbeat = 1200 * time.Millisecond
	// EngineEvents is the number of events of each answer, one after each eventPause.
	EngineEvents = 10
	eventPause   = 20 * time.Millisecond
	// unloadTime is how long an unload waits for the requests that run.
	unloadTime = EngineEvents * eventPause
	slots      = 64
)

// Engine is a process of a model engine.
type Engine struct {
	*Site
	options     EngineOptions
	id, address string
	born        int64
	server      *http.Server
	// storeLoads receives a value when a load from the weight store begins.
	storeLoads chan struct{}

	mu       sync.Mutex
	ended    bool
	sequence int64
	busy     bool
	loaded   map[string]bool
	onDisk   map[string]bool
	running  int
}

// StartEngine starts a process of the n-th engine. It has an ID of its own.
func (s *Site) StartEngine(n int, o EngineOptions) (*Engine, error) {
	e := &Engine{
		Site: s, options: o, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: s.EndpointAddress(n), born: time.Now().UnixMilli(),
		loaded: make(map[string]bool), onDisk: make(map[string]bool), storeLoads: make(chan struct{}, 1),
	}
	for _, m := range o.Holds {
		e.loaded[m], e.onDisk[m] = true, true
	}
	for _, m := range o.Disk {
		e.onDisk[m] = true
	}
	listener, err := Listen(e.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	go e.sendHeartbeats()
	return e, nil
}

// Stop ends the process without a word, and returns the models on the host's disk.
func (e *Engine) Stop() (disk []string) {
	e.mu.Lock()
	e.ended = true
	disk = sorted(e.onDisk)
	e.mu.Unlock()
	_ = e.server.Close()
	return disk
}

// AwaitStoreLoad waits for the next begin of a load from the weight store.
func (e *Engine) AwaitStoreLoad() {
	select {
	case <-e.storeLoads:
	default:
	}
	<-e.storeLoads
}

// Unregister removes the entry of a process that has ended, as the platform does after three heartbeats of silence.
func (e *Engine) Unregister() { e.Store.Remove(standin.EndpointTable, e.id) }

func sorted(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *Engine) modelsLocked() []map[string]any {
	list := []map[string]any{}
	for _, m := range sorted(e.loaded) {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (e *Engine) sendHeartbeats() {
	for beat := 1; ; beat++ {
		e.mu.Lock()
		if e.ended {
			e.mu.Unlock()
			return
		}
		e.Store.Put(standin.EndpointTable, e.id, map[string]any{
			"service": e.options.Service, "address": e.address, "zone": Zone, "version": "v1", "slots": slots, "state": "ready", "born": e.born,
			"cold_remaining_ms": 0, "sequence": beat, "models": e.modelsLocked(),
		})
		e.mu.Unlock()
		time.Sleep(engineHeartbeat)
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	WriteJSON(w, http.StatusOK, map[string]any{
		"born": e.born, "phase": "combined", "models": e.modelsLocked(), "busy": e.busy, "sequence": e.sequence, "queued": 0,
		"active": e.running, "pending": []string{}, "available": map[string]any{"resident": []string{}, "on_disk": sorted(e.onDisk)},
	})
}

// engineOrder is an order to the engine.
type engineOrder struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Token     *int64 `json:"fencing_token"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	status := http.StatusBadRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err == nil && o.Holder != "" && o.Token != nil {
		status = e.handle(o, r.Header.Get(HeaderExpected))
	}
	e.Printf("%s: order %s %s by %s: %d", e.id, o.Operation, o.Model, o.Holder, status)
	WriteJSON(w, status, map[string]any{})
}

// handle decides on an order as the pages say, and carries it out.
func (e *Engine) handle(o engineOrder, expected string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := o.Operation == "loading"
	switch {
	case expected != "" && expected != e.id:
		return http.StatusMisdirectedRequest
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case e.loaded[o.Model] == load:
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	took := DiskLoad
	switch {
	case !load:
		took = unloadTime
	case !e.onDisk[o.Model]:
		took = StoreLoad
		select {
		case e.storeLoads <- struct{}{}:
		default:
		}
	}
	if load && (len(e.loaded)+1)*ModelMB > EngineMB {
		e.Printf("%s is ordered to load more than it holds", e.id)
	}
	time.AfterFunc(took, func() { e.finish(o.Model, load) })
	return http.StatusAccepted
}

func (e *Engine) finish(model string, load bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
	if !load {
		delete(e.loaded, model)
		return
	}
	e.loaded[model], e.onDisk[model] = true, true
	e.Printf("%s has loaded %s", e.id, model)
}

// serve runs a client's request.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(HeaderInstance, e.id)
	e.mu.Lock()
	runs := r.Header.Get(HeaderExpected) == e.id && e.loaded[r.Header.Get(standin.HeaderModel)]
	if runs {
		e.running++
	}
	e.mu.Unlock()
	if !runs {
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		e.Printf("%s rejects request %s", e.id, id)
		return
	}
	e.Printf("%s runs request %s", e.id, id)
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	w.Header().Set(standin.HeaderSignature, standin.Signature(id))
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(e.options.Prefill)
	for n := 1; n <= EngineEvents; n++ {
		if _, err := io.WriteString(w, standin.Event(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

// StartEngines starts engines, of which the n-th has the n-th options. The returned function ends those that are there then.
func (s *Site) StartEngines(options []EngineOptions) (engines []*Engine, stop func(), err error) {
	stop = func() {
		for _, e := range engines {
			e.Stop()
		}
	}
	for n, o := range options {
		e, err := s.StartEngine(n+1, o)
		if err != nil {
			return engines, stop, err
		}
		engines = append(engines, e)
	}
	return engines, stop, nil
}

// LosePower ends all engines without a word, and starts others on their hosts, with nothing loaded, after some time.
func (s *Site) LosePower(engines []*Engine, dark time.Duration) error {
	var disks [][]string
	for _, e := range engines {
		disks = append(disks, e.Stop())
		time.AfterFunc(silenceLimit, e.Unregister)
	}
	time.Sleep(dark)
	for n, e := range engines {
		o := e.options
		o.Holds, o.Disk = nil, disks[n]
		next, err := s.StartEngine(n+1, o)
		if err != nil {
			return err
		}
		engines[n] = next
	}
	return nil
}
