package engine

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
)

// model is one model version in an engine's memory.
type model struct {
	endpoint.LoadedModel
	adapters map[string]*adapter
	// ctx ends when the model is unloaded or its load is cancelled.
	ctx  context.Context
	drop context.CancelFunc
	// loadDone is closed when the load ends, removed when the model is no longer in memory.
	loadDone, removed chan struct{}
	running           int
}

// adapter is one adapter of a loaded model.
type adapter struct {
	memoryBytes int64
	loaded      bool
	loadDone    chan struct{}
}

func (p *process) usedBytes() int64 {
	used := p.options.KVBytes
	for _, m := range p.models {
		used += m.MemoryBytes
		for _, a := range m.adapters {
			used += a.memoryBytes
		}
	}
	return used
}

func (p *process) loadedModels() []endpoint.LoadedModel {
	models := []endpoint.LoadedModel{}
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		m := p.models[name]
		listed := m.LoadedModel
		for _, adapterName := range slices.Sorted(maps.Keys(m.adapters)) {
			if m.adapters[adapterName].loaded {
				listed.Adapters = append(listed.Adapters, adapterName)
			}
		}
		models = append(models, listed)
	}
	return models
}

// load loads a model. If the model is loaded already it returns at once; if another order is loading it, it waits for that
// load.
func (s *Server) load(p *process, order endpoint.Order) error {
	s.mu.Lock()
	for {
		if err := s.checkFence(p, order); err != nil {
			s.mu.Unlock()
			return err
		}
		m, ok := p.models[order.Model]
		if !ok {
			break
		}
		m.FencingToken = max(m.FencingToken, order.FencingToken)
		loaded, err := s.joinLoad(p, m)
		if loaded || err != nil {
			s.mu.Unlock()
			return err
		}
	}
	if err := s.reserve(p, order); err != nil {
		s.mu.Unlock()
		return err
	}
	m := p.beginLoad(order)
	s.recordHistory(HistoryLoadStarted, order)
	s.mu.Unlock()
	return s.finishLoad(p, m, order, s.transfer(m.ctx, order))
}

// joinLoad waits until a model is loaded or removed, and reports whether it is loaded. It is called with mu held, releases
// it while waiting and returns with it held.
func (s *Server) joinLoad(p *process, m *model) (loaded bool, err error) {
	until := m.removed
	if m.State == endpoint.EngineLoading {
		until = m.loadDone
	}
	if m.State != endpoint.EngineLoaded {
		s.mu.Unlock()
		alive := wait(p, until)
		s.mu.Lock()
		if !alive {
			return false, errProcessEnded
		}
	}
	return m.State == endpoint.EngineLoaded, nil
}

func (p *process) beginLoad(order endpoint.Order) *model {
	ctx, drop := context.WithCancel(p.ctx)
	m := &model{
		LoadedModel: endpoint.LoadedModel{
			Model:        order.Model,
			State:        endpoint.EngineLoading,
			MemoryBytes:  order.MemoryBytes,
			FencingToken: order.FencingToken,
		},
		adapters: map[string]*adapter{},
		ctx:      ctx,
		drop:     drop,
		loadDone: make(chan struct{}),
		removed:  make(chan struct{}),
	}
	p.models[order.Model] = m
	return m
}

func (s *Server) finishLoad(p *process, m *model, order endpoint.Order, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ctx.Err() != nil {
		return errProcessEnded
	}
	defer close(m.loadDone)
	if err != nil {
		s.recordHistory(HistoryLoadFailed, order)
		p.remove(m)
		return err
	}
	m.State = endpoint.EngineLoaded
	s.recordHistory(HistoryLoaded, order)
	s.memoryCache.touch(m.Model, m.MemoryBytes)
	s.diskCache.touch(m.Model, m.MemoryBytes)
	return nil
}

// remove frees a model's memory.
func (p *process) remove(m *model) {
	m.drop()
	delete(p.models, m.Model)
	close(m.removed)
}

// unload removes a model, cancelling its load if that is in progress, and drops the connections of its running requests.
func (s *Server) unload(p *process, order endpoint.Order) error {
	s.mu.Lock()
	if err := s.checkFence(p, order); err != nil {
		s.mu.Unlock()
		return err
	}
	m, ok := p.models[order.Model]
	if !ok {
		s.mu.Unlock()
		return nil
	}
	m.FencingToken = max(m.FencingToken, order.FencingToken)
	state := m.State
	if state == endpoint.EngineLoaded {
		m.State = endpoint.EngineUnloading
		s.truth.CutByUnload += m.running
		s.recordHistory(HistoryUnloadStarted, order)
	}
	m.drop()
	s.mu.Unlock()
	if state == endpoint.EngineLoaded {
		return s.finishUnload(p, m, order)
	}
	if !wait(p, m.removed) {
		return errProcessEnded
	}
	return nil
}

func (s *Server) finishUnload(p *process, m *model, order endpoint.Order) error {
	if !control.Sleep(p.ctx, s.clock, s.options.Unload) {
		return errProcessEnded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.remove(m)
	s.recordHistory(HistoryUnloaded, order)
	return nil
}

// loadAdapter loads an adapter of a model, which must be loaded.
func (s *Server) loadAdapter(p *process, order endpoint.Order) error {
	s.mu.Lock()
	if err := s.checkFence(p, order); err != nil {
		s.mu.Unlock()
		return err
	}
	m, ok := p.models[order.Model]
	if !ok || m.State != endpoint.EngineLoaded {
		s.mu.Unlock()
		return errLoadFailed("the adapter's model is not loaded")
	}
	if joined, ok := m.adapters[order.Adapter]; ok {
		s.mu.Unlock()
		return s.joinAdapter(p, m, order.Adapter, joined)
	}
	if err := s.reserve(p, order); err != nil {
		s.mu.Unlock()
		return err
	}
	a := &adapter{memoryBytes: order.MemoryBytes, loadDone: make(chan struct{})}
	m.adapters[order.Adapter] = a
	s.recordHistory(HistoryAdapterStarted, order)
	s.mu.Unlock()

	err := s.transfer(m.ctx, order)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ctx.Err() != nil {
		return errProcessEnded
	}
	defer close(a.loadDone)
	if err != nil {
		delete(m.adapters, order.Adapter)
		s.recordHistory(HistoryAdapterFailed, order)
		return err
	}
	a.loaded = true
	s.recordHistory(HistoryAdapterLoaded, order)
	return nil
}

// joinAdapter waits for the load of an adapter that another order has started.
func (s *Server) joinAdapter(p *process, m *model, name string, a *adapter) error {
	if !wait(p, a.loadDone) {
		return errProcessEnded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.adapters[name] != a {
		return errLoadFailed("the load that this one joined failed")
	}
	return nil
}

func (s *Server) unloadAdapter(p *process, order endpoint.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFence(p, order); err != nil {
		return err
	}
	m, ok := p.models[order.Model]
	if !ok {
		return nil
	}
	a, ok := m.adapters[order.Adapter]
	if !ok {
		return nil
	}
	if !a.loaded {
		return &orderError{http.StatusServiceUnavailable, endpoint.CodeUnavailable, "the adapter is being loaded"}
	}
	delete(m.adapters, order.Adapter)
	s.recordHistory(HistoryAdapterUnloaded, order)
	return nil
}

// wait waits until a channel is closed. It returns false if the process ends first.
func wait(p *process, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-p.ctx.Done():
		return false
	}
}
