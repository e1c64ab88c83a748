package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"balsamsail/internal/endpoint"
	"balsamsail/internal/standin/control"
	"balsamsail/internal/standin/platform"
)

// orderError is the error response to an order.
type orderError struct {
	status  int
	code    string
	message string
}

func (r *orderError) Error() string { return r.code + ": " + r.message }

// errProcessEnded is the error of orders that were in progress when the process ended.
var errProcessEnded = errors.New("engine: process ended")

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	if s.hang(r) {
		return
	}
	if s.options.Token != "" && r.Header.Get("Authorization") != "Bearer "+s.options.Token {
		s.mu.Lock()
		s.truth.Unauthorized++
		s.mu.Unlock()
		control.WriteError(w, http.StatusUnauthorized, endpoint.CodeUnauthorized, "wrong credentials")
		return
	}
	if s.faults.Get().Refuse {
		control.WriteError(w, http.StatusServiceUnavailable, endpoint.CodeUnavailable, "refusing")
		return
	}
	var order endpoint.Order
	if err := control.ReadJSON(r, &order); err != nil {
		control.WriteError(w, http.StatusBadRequest, endpoint.CodeInvalid, err.Error())
		return
	}
	result := make(chan error, 1)
	// The order is executed even if its sender disconnects, as if it were still in transit.
	go func() { result <- s.execute(order) }()
	select {
	case err := <-result:
		s.answerOrder(w, err)
	case <-r.Context().Done():
	}
}

func (s *Server) answerOrder(w http.ResponseWriter, err error) {
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.LoseOrders }) {
		control.DropConnection()
	}
	var orderErr *orderError
	switch {
	case err == nil:
		control.WriteJSON(w, http.StatusOK, struct{}{})
	case errors.As(err, &orderErr):
		control.WriteError(w, orderErr.status, orderErr.code, orderErr.message)
	default:
		control.DropConnection()
	}
}

// execute executes an order and waits for its end. It returns an *orderError, or errProcessEnded if the process ends first.
func (s *Server) execute(order endpoint.Order) error {
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.DelayOrders }) {
		control.Sleep(context.Background(), s.clock, control.Seconds(s.faults.Get().DelayOrdersSeconds))
	}
	p := s.current()
	switch order.Kind {
	case endpoint.OrderLoad:
		return s.load(p, order)
	case endpoint.OrderUnload:
		return s.unload(p, order)
	case endpoint.OrderLoadAdapter:
		return s.loadAdapter(p, order)
	case endpoint.OrderUnloadAdapter:
		return s.unloadAdapter(p, order)
	}
	return &orderError{http.StatusBadRequest, endpoint.CodeInvalid, "unknown kind of order"}
}

// checkFence rejects an order with an old fencing token. The caller holds mu and must not release it before the order has
// started. Otherwise a load that passed the check could start after a newer unload that found nothing to remove.
func (s *Server) checkFence(p *process, order endpoint.Order) error {
	if order.FencingToken < p.highestFence {
		s.truth.OldFences++
		if s.options.Fencing == FencingChecks {
			return &orderError{http.StatusConflict, endpoint.CodeFenced, "the order's fencing number is old"}
		}
	}
	p.highestFence = max(p.highestFence, order.FencingToken)
	return nil
}

// reserve checks that there is memory for a load. The caller holds mu.
func (s *Server) reserve(p *process, order endpoint.Order) error {
	used := p.usedBytes() + order.MemoryBytes
	if used <= s.options.MemoryBytes {
		s.truth.MemoryPeak = max(s.truth.MemoryPeak, used)
		return nil
	}
	if s.options.Overcommit == OvercommitRefused {
		s.truth.NoMemory++
		return &orderError{http.StatusInsufficientStorage, endpoint.CodeNoMemory, "not enough memory"}
	}
	s.truth.Overcommits++
	s.truth.MemoryPeak = max(s.truth.MemoryPeak, used)
	s.recordHistory(HistoryOvercommitted, order)
	return &orderError{http.StatusBadGateway, endpoint.CodeLoadFailed, "out of memory"}
}

// errLoadFailed returns the error response for a load that has definitely failed.
func errLoadFailed(message string) error {
	return &orderError{http.StatusBadGateway, endpoint.CodeLoadFailed, message}
}

// transfer fetches what a load needs, which takes the whole time of the load. It fails if the load is cancelled, the store
// fails or a fault is injected.
func (s *Server) transfer(ctx context.Context, order endpoint.Order) error {
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.LoadHangs }) {
		<-ctx.Done()
	}
	if err := s.fetch(ctx, order); err != nil {
		return errLoadFailed(err.Error())
	}
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.LoadFails }) {
		return errLoadFailed("fault")
	}
	return nil
}

func (s *Server) fetch(ctx context.Context, order endpoint.Order) error {
	if order.Kind == endpoint.OrderLoadAdapter {
		request := platform.FetchRequest{Kind: platform.FetchAdapter, Model: order.Adapter}
		request.Seconds = s.options.LoadAdapter.Seconds()
		return s.fetchFromStore(ctx, request)
	}
	s.mu.Lock()
	inMemory, onDisk := s.memoryCache.has(order.Model), s.diskCache.has(order.Model)
	s.mu.Unlock()
	duration := s.options.LoadFromDisk
	if inMemory {
		duration = s.options.LoadFromMemory
	}
	if inMemory || onDisk {
		if !control.Sleep(ctx, s.clock, duration) {
			return ctx.Err()
		}
		return nil
	}
	request := platform.FetchRequest{Kind: platform.FetchWeights, Model: order.Model}
	request.Seconds = s.options.LoadFromStore.Seconds()
	return s.fetchFromStore(ctx, request)
}

func (s *Server) fetchFromStore(ctx context.Context, request platform.FetchRequest) error {
	if s.options.WeightsURL == "" {
		if !control.Sleep(ctx, s.clock, control.Seconds(request.Seconds)) {
			return ctx.Err()
		}
		return nil
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.WeightsURL+"/weights/fetch", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.weights.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("weight store: status %d", resp.StatusCode)
	}
	return nil
}
