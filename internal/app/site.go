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

// expiryCheckInterval is the interval between checks for expired endpoint registrations.
const expiryCheckInterval = 200 * time.Millisecond

// siteSync applies the operator's configuration and the endpoint registrations from the store. The sinks run in the
// goroutines of the watches and send their updates to run.
type siteSync struct {
	fleet  *fleet.Fleet
	agents *control.Agents
	logger *slog.Logger

	updates chan func()
	// stopped is closed when run has returned; updates are dropped from then on.
	stopped   chan struct{}
	endpoints *catalog.Endpoints
	// oddRows records the rows that are not registrations, and oddConfigs the configurations that cannot be decoded.
	oddRows, oddConfigs *watch.OddRows
	// ignoredStarts holds the process starts of ignored registrations of earlier processes, by ID.
	ignoredStarts map[string]int64
}

func newSiteSync(f *fleet.Fleet, a *control.Agents, m *watch.Metrics, l *slog.Logger) *siteSync {
	return &siteSync{
		fleet: f, agents: a, logger: l, updates: make(chan func()), stopped: make(chan struct{}), endpoints: catalog.NewEndpoints(), ignoredStarts: make(map[string]int64),
		oddRows:    watch.NewOddRows(platform.EndpointTable, "bad_endpoint", m, l),
		oddConfigs: watch.NewOddRows(platform.OperatorTable, "bad_config", m, l),
	}
}

// run applies updates from the watches one at a time until ctx ends.
func (s *siteSync) run(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-s.updates:
			update()
		case <-ticker.C:
			if next, ok := s.endpoints.NextChange(); ok && !time.Now().Before(next) {
				s.publish()
			}
		}
	}
}

// post passes an update to run.
func (s *siteSync) post(update func()) {
	select {
	case s.updates <- update:
	case <-s.stopped:
	}
}

// publish passes the live endpoints to the fleet and to the connections to agents.
func (s *siteSync) publish() {
	live := s.endpoints.Live(time.Now())
	added, removed := s.fleet.SetEndpoints(live)
	for _, e := range added {
		s.logger.Info("endpoint added", "event", "endpoint_added", "endpoint", e.ID, "service", e.Service, "address", e.Address, "version", e.Version, "revision", e.Revision)
	}
	for _, e := range removed {
		s.logger.Info("endpoint removed", "event", "endpoint_gone", "endpoint", e.ID, "service", e.Service)
	}
	s.agents.SetEndpoints(live)
}

// configSink receives the operator's configuration from a watch.
type configSink struct{ *siteSync }

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
			s.oddConfigs.Record(time.Now(), row, err)
			continue
		}
		if s.fleet.SetConfig(config) {
			s.logger.Info("configuration applied", "event", "config", "version", config.Version, "routes", config.Routes(), "revision", row.Revision)
			s.post(s.publish)
		}
	}
}

// endpointSink receives endpoint registrations from a watch.
type endpointSink struct{ *siteSync }

func (s endpointSink) Replace(rows []watch.Row) {
	s.post(func() {
		var list []catalog.Endpoint
		for _, row := range rows {
			if e, ok := s.decode(row); ok {
				list = append(list, e)
			} else {
				s.endpoints.Invalidate(row.Key, time.Now())
			}
		}
		clear(s.ignoredStarts)
		for _, e := range s.endpoints.Replace(list, time.Now()) {
			s.logEarlierProcess(e)
		}
		s.publish()
	})
}

func (s endpointSink) Apply(rows []watch.Row) {
	s.post(func() {
		for _, row := range rows {
			s.applyRow(row)
		}
		s.publish()
	})
}

func (s endpointSink) Unavailable(error) { s.post(s.endpoints.StoreLost) }
func (s endpointSink) Available()        { s.post(func() { s.endpoints.StoreBack(time.Now()) }) }

// applyRow applies one changed row. A row that is not a registration names no endpoint, whatever its key named before;
// the other rows are not affected.
func (s endpointSink) applyRow(row watch.Row) {
	if row.Deleted {
		delete(s.ignoredStarts, row.Key)
		s.endpoints.Remove(row.Key, time.Now())
		return
	}
	e, ok := s.decode(row)
	if !ok {
		s.endpoints.Invalidate(row.Key, time.Now())
		return
	}
	if !s.endpoints.Put(e) {
		s.logEarlierProcess(e)
	}
}

func (s endpointSink) decode(row watch.Row) (catalog.Endpoint, bool) {
	e, err := platform.DecodeEndpoint(row.Key, row.Value, row.Revision)
	if err != nil {
		s.oddRows.Record(time.Now(), row, err)
	}
	return e, err == nil
}

// maxIgnoredStarts bounds the ignored process starts that are remembered so that each is logged once.
const maxIgnoredStarts = 1000

// logEarlierProcess logs an ignored registration, once for each process.
func (s endpointSink) logEarlierProcess(e catalog.Endpoint) {
	if known, ok := s.ignoredStarts[e.ID]; ok && known == e.Started || len(s.ignoredStarts) >= maxIgnoredStarts {
		return
	}
	s.ignoredStarts[e.ID] = e.Started
	s.logger.Warn("registration of an earlier process ignored", "event", "old_registration", "endpoint", e.ID, "started", e.Started, "revision", e.Revision)
}
