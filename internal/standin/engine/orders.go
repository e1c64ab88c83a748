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

// refusal ends an order without success.
type refusal struct {
	status  int
	code    string
	message string
}

func (r *refusal) Error() string { return r.code + ": " + r.message }

// errStopped ends what the process did not live to finish.
var errStopped = errors.New("engine: process ended")

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
	ended := make(chan error, 1)
	// The order goes on if its sender goes away, as one that is on its way does.
	go func() { ended <- s.carryOut(order) }()
	select {
	case err := <-ended:
		s.answerOrder(w, err)
	case <-r.Context().Done():
	}
}

func (s *Server) answerOrder(w http.ResponseWriter, err error) {
	if s.faults.Hit(func(f *Faults) *control.Chance { return &f.LoseOrders }) {
		control.Lose()
	}
	var refused *refusal
	switch {
	case err == nil:
		control.WriteJSON(w, http.StatusOK, struct{}{})
	case errors.As(err, &refused):
		control.WriteError(w, refused.status, refused.code, refused.message)
	default:
		control.Lose()
	}
}

// carryOut runs an order to its end. It fails with a *refusal, or with errStopped if the process ends.
func (s *Server) carryOut(order endpoint.Order) error {
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
	return &refusal{http.StatusBadRequest, endpoint.CodeInvalid, "unknown kind of order"}
}

// checkFence refuses an order with an old fencing number. The caller holds mu and keeps it until the order has begun:
// otherwise a load that has passed could begin after a newer unload that found nothing to drop.
func (s *Server) checkFence(p *process, order endpoint.Order) error {
	if order.Fence < p.highestFence {
		s.truth.OldFences++
		if s.options.Fencing == FencingChecks {
			return &refusal{http.StatusConflict, endpoint.CodeFenced, "the order's fencing number is old"}
		}
	}
	p.highestFence = max(p.highestFence, order.Fence)
	return nil
}

// reserve takes memory for a load, or refuses. The caller holds mu.
func (s *Server) reserve(p *process, order endpoint.Order) error {
	used := p.usedBytes() + order.MemoryBytes
	if used <= s.options.MemoryBytes {
		s.truth.MemoryPeak = max(s.truth.MemoryPeak, used)
		return nil
	}
	if s.options.Overcommit == OvercommitRefused {
		s.truth.NoMemory++
		return &refusal{http.StatusInsufficientStorage, endpoint.CodeNoMemory, "not enough memory"}
	}
	s.truth.Overcommits++
	s.truth.MemoryPeak = max(s.truth.MemoryPeak, used)
	s.note(HistoryOvercommitted, order)
	return &refusal{http.StatusBadGateway, endpoint.CodeLoadFailed, "out of memory"}
}

// errLoadFailed is the definite end of a load that failed.
func errLoadFailed(message string) error {
	return &refusal{http.StatusBadGateway, endpoint.CodeLoadFailed, message}
}

// transfer takes the time of a load, and fails if it is cancelled, the store fails or a fault says so.
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
