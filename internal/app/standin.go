package app

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
	"balsamsail/internal/process"
	"balsamsail/internal/settings"
	standinengine "balsamsail/internal/standin/engine"
	standinplatform "balsamsail/internal/standin/platform"
	standinservice "balsamsail/internal/standin/service"
)

// standinDrainTimeout limits the wait for in-flight requests when a stand-in stops.
const standinDrainTimeout = 5 * time.Second

// RunStandinPlatform runs the stand-in for the platform's services until ctx ends.
func RunStandinPlatform(ctx context.Context, s *settings.StandinPlatform, out Output) error {
	server := standinplatform.New(standinplatform.Options{
		Seed:    uint64(s.Standin.Seed),
		Table:   standinplatform.StoreLimits{ReadsPerSecond: s.Table.ReadsPerSecond, WritesPerSecond: s.Table.WritesPerSecond},
		Objects: standinplatform.StoreLimits{ReadsPerSecond: s.Objects.ReadsPerSecond, WritesPerSecond: s.Objects.WritesPerSecond},
		Weights: standinplatform.WeightLimits{
			Loads:          s.Weights.Loads,
			LoadsPerSecond: s.Weights.LoadsPerSecond,
			Adapters:       s.Weights.Adapters,
		},
		HostsLag:      s.List.Lag,
		GoneRetention: s.List.GoneListed,
		Hosts:         listedHosts(s.Hosts),
	})
	return runStandin(ctx, s.Standin, s.Log, server.Handler(), out)
}

func listedHosts(hosts []settings.StandinHost) []backing.Host {
	var list []backing.Host
	for _, h := range hosts {
		list = append(list, backing.Host{
			ID:            h.ID,
			Role:          backing.HostRole(h.Role),
			State:         backing.HostState(h.State),
			FailureDomain: h.FailureDomain,
			Address:       string(h.Address),
			Endpoint:      h.Endpoint,
		})
	}
	return list
}

// RunStandinEngine runs the stand-in for an engine until ctx ends.
func RunStandinEngine(ctx context.Context, s *settings.StandinEngine, out Output) error {
	o, err := engineOptions(s)
	if err != nil {
		return err
	}
	return runStandin(ctx, s.Standin, s.Log, standinengine.New(o).Handler(), out)
}

func engineOptions(s *settings.StandinEngine) (standinengine.Options, error) {
	e := s.Engine
	o := standinengine.Options{
		Seed:             uint64(s.Standin.Seed),
		Name:             s.Standin.Name,
		MemoryBytes:      int64(e.Memory),
		KVBytes:          int64(e.KV),
		MemoryCacheBytes: int64(e.MemoryCache),
		DiskCacheBytes:   int64(e.DiskCache),
		LoadFromMemory:   e.LoadFromMemory,
		LoadFromDisk:     e.LoadFromDisk,
		LoadFromStore:    e.LoadFromStore,
		LoadAdapter:      e.LoadAdapter,
		Unload:           e.Unload,
		WeightsURL:       string(e.WeightsURL),
		MaxBatch:         e.MaxBatch,
		MaxRunning:       e.MaxRunning,
		MaxWaiting:       e.MaxWaiting,
		FirstToken:       e.FirstToken,
		BetweenTokens:    e.BetweenTokens,
		DefaultTokens:    e.DefaultTokens,
		PrefixEntries:    e.PrefixEntries,
		Fencing:          standinengine.FencingMode(e.Fencing),
		Overcommit:       standinengine.OvercommitMode(e.Overcommit),
		ReportLag:        e.ReportLag,
		EventLag:         e.EventLag,
	}
	if e.CredentialsFile == "" {
		return o, nil
	}
	secret, err := settings.ReadSecret(e.CredentialsFile)
	o.Token = secret.Reveal()
	return o, err
}

// RunStandinService runs the stand-in for a plain service until ctx ends.
func RunStandinService(ctx context.Context, s *settings.StandinService, out Output) error {
	server := standinservice.New(standinservice.Options{
		Seed:           uint64(s.Standin.Seed),
		ServiceTime:    s.Service.ServiceTime,
		Concurrency:    s.Service.Concurrency,
		HidesRequestID: s.Service.HidesRequestID,
	})
	return runStandin(ctx, s.Standin, s.Log, server.Handler(), out)
}

func runStandin(ctx context.Context, s settings.Standin, log settings.Log, handler http.Handler, out Output) error {
	logger, err := newLogger(log, out, s.Name)
	if err != nil {
		return err
	}
	listener, err := listen(s.Listen)
	if err != nil {
		return err
	}
	logger.Info("listening", "address", listener.Addr())
	err = process.Serve(ctx, listener, handler, process.ServeOptions{DrainTimeout: standinDrainTimeout, Logger: logger})
	if errors.Is(err, process.ErrDrainTimeout) {
		// A stand-in can be configured to hang, so some calls may never end.
		logger.Log(ctx, slog.LevelInfo, "aborted calls that were still in flight at shutdown")
		return nil
	}
	return err
}
