package app

import (
	"context"
	"log/slog"
	"time"

	"balsamsail/internal/catalog"
	"balsamsail/internal/control"
	"balsamsail/internal/fleet"
	"balsamsail/internal/watch"
	"balsamsail/platform"
)

// refreshInterval is the time between two looks at endpoints whose registration lapsed.
const refreshInterval = 200 * time.Millisecond

// site follows what the operator and the endpoints declare in the store. Its sinks run in goroutines of their own.
type site struct {
	fleet  *fleet.Fleet
	agents *control.Agents
	logger *slog.Logger

	events    chan func()
	endpoints *catalog.Endpoints
}

func newSite(f *fleet.Fleet, a *control.Agents, l *slog.Logger) *site {
	return &site{fleet: f, agents: a, logger: l, events: make(chan func()), endpoints: catalog.NewEndpoints()}
}

// run applies what the watches read, one event after another, until ctx ends.
func (s *site) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events:
			event()
		case <-ticker.C:
			if next, ok := s.endpoints.NextChange(); ok && !time.Now().Before(next) {
				s.publish()
			}
		}
	}
}

// publish hands the endpoints that count to all that use them.
func (s *site) publish() {
	live := s.endpoints.Live(time.Now())
	added, removed := s.fleet.SetEndpoints(live)
	for _, e := range added {
		s.logger.Info("endpoint listed", "event", "endpoint_added", "endpoint", e.ID, "service", e.Service, "address", e.Address, "revision", e.Revision)
	}
	for _, e := range removed {
		s.logger.Info("endpoint gone", "event", "endpoint_gone", "endpoint", e.ID, "service", e.Service)
	}
	s.agents.SetEndpoints(live)
}

// configSink takes in the operator's configuration.
type configSink struct{ *site }

func (s configSink) Replace(rows []watch.Row) { s.Apply(rows) }
func (s configSink) Unavailable(error)        {}
func (s configSink) Available()               {}

func (s configSink) Apply(rows []watch.Row) {
	for _, row := range rows {
		if row.Key != platform.ConfigKey || row.Deleted {
			continue
		}
		config, err := platform.DecodeConfig(row.Value)
		if err != nil {
			s.logger.Error("configuration not understood, the one before stays in force", "event", "bad_config", "revision", row.Revision, "error", err)
			continue
		}
		if s.fleet.SetConfig(config) {
			s.logger.Info("configuration in force", "event", "config", "version", config.Version, "routes", config.Routes(), "revision", row.Revision)
			s.events <- s.publish
		}
	}
}

// endpointSink takes in the endpoints' registrations.
type endpointSink struct{ *site }

func (s endpointSink) Replace(rows []watch.Row) {
	s.events <- func() {
		var list []catalog.Endpoint
		for _, row := range rows {
			if e, ok := s.decode(row); ok {
				list = append(list, e)
			}
		}
		s.endpoints.Replace(list, time.Now())
		s.publish()
	}
}

func (s endpointSink) Apply(rows []watch.Row) {
	s.events <- func() {
		for _, row := range rows {
			if row.Deleted {
				s.endpoints.Remove(row.Key, time.Now())
			} else if e, ok := s.decode(row); ok {
				s.endpoints.Put(e)
			}
		}
		s.publish()
	}
}

func (s endpointSink) Unavailable(error) { s.events <- s.endpoints.StoreLost }
func (s endpointSink) Available()        { s.events <- func() { s.endpoints.StoreBack(time.Now()) } }

func (s endpointSink) decode(row watch.Row) (catalog.Endpoint, bool) {
	e, err := platform.DecodeEndpoint(row.Key, row.Value, row.Revision)
	if err != nil {
		s.logger.Error("registration of an endpoint not understood", "event", "bad_endpoint", "endpoint", row.Key, "error", err)
	}
	return e, err == nil
}
