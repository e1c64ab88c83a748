package app

import (
	"context"
	"log/slog"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/admission"
	"balsamsail/internal/atmostonce"
	"balsamsail/internal/backing"
	"balsamsail/internal/clock"
	"balsamsail/internal/declarations"
	"balsamsail/internal/entry"
	"balsamsail/internal/inbound"
	"balsamsail/internal/loading/permits"
	"balsamsail/internal/membership"
	"balsamsail/internal/operator"
	"balsamsail/internal/process"
	"balsamsail/internal/replicas"
	"balsamsail/internal/routing"
	"balsamsail/internal/settings"
	"balsamsail/internal/timeline"
)

// RunEntry runs an entry until ctx ends and it has drained.
func RunEntry(ctx context.Context, s *settings.Entry, out Output) error {
	limitRuntimeMemory(s.Resources)
	container := dig.New()
	if err := provideCommon(container, s.Entry.ID, s.Log, s.Timeline, out); err != nil {
		return err
	}
	err := provideAll(container,
		func() *settings.Entry { return s },
		func() platformClients { return newPlatformClients(s.Platform) },
		func(l *slog.Logger, r prometheus.Registerer) (*inbound.Budget, error) {
			return newBudget(s.Resources, l, r)
		},
		newMembership,
		newDeclarationStore,
		newClaims,
		newEntry,
		newReplicaManager,
		newOperatorServer,
	)
	if err != nil {
		return err
	}
	return invoke(container, func(role entryRole) error { return role.run(ctx) })
}

// entryRole holds the components of an entry.
type entryRole struct {
	dig.In

	Settings *settings.Entry
	Entry    *entry.Entry
	Replicas *replicas.Manager
	Operator *process.Server
	Budget   *inbound.Budget
	Logger   *slog.Logger
	Recorder *timeline.Recorder
}

func newMembership(s *settings.Entry, i Incarnation, hosts backing.HostList, c clock.Clock, l *slog.Logger, r prometheus.Registerer, recorder *timeline.Recorder) *membership.Manager {
	return membership.NewManager(membership.Options{
		EntryID:           s.Entry.ID,
		Incarnation:       uint64(i),
		ListInterval:      s.Membership.ListInterval,
		RedialDelay:       s.Membership.RedialDelay,
		HeartbeatInterval: s.Membership.HeartbeatInterval,
		SilenceLimit:      s.Membership.SilenceLimit,
		BatchDelay:        s.Membership.BatchDelay,
		Wire:              wireOptions(s.Wire),
	}, hosts, c, l, r, recorder)
}

func newDeclarationStore(s *settings.Entry, i Incarnation, table backing.Table, c clock.Clock, l *slog.Logger, r prometheus.Registerer) *declarations.Store {
	return declarations.NewStore(declarations.Options{
		PollInterval: s.Declarations.PollInterval,
		MaxBackoff:   s.Declarations.MaxBackoff,
		EditTimeout:  s.Declarations.EditTimeout,
		LogKeep:      s.Declarations.LogKeep,
		Seed:         uint64(i),
	}, table, c, l, r)
}

func newClaims(s *settings.Entry, i Incarnation, table backing.Table) *atmostonce.Claims {
	return atmostonce.NewClaims(table, atmostonce.ClaimsOptions{
		Timeout:      s.Claims.Patience,
		Retention:    s.Claims.Retention,
		MaxBodyBytes: int(s.Claims.MaxBody),
		Seed:         uint64(i),
	})
}

func newEntry(s *settings.Entry, i Incarnation, m *membership.Manager, store *declarations.Store, claims *atmostonce.Claims, c clock.Clock, l *slog.Logger, r prometheus.Registerer, recorder *timeline.Recorder) *entry.Entry {
	return entry.New(entryOptions(s, i), entry.Dependencies{
		Members:    m,
		Store:      store,
		Claims:     claims,
		Clock:      c,
		Logger:     l,
		Registerer: r,
		Recorder:   recorder,
	})
}

func entryOptions(s *settings.Entry, i Incarnation) entry.Options {
	return entry.Options{
		ID:                  s.Entry.ID,
		FailureDomain:       s.Entry.FailureDomain,
		Incarnation:         uint64(i),
		MaxDeadline:         s.Limits.MaxDeadline,
		MaxBody:             int64(s.Limits.MaxBody),
		Limiter:             limiterOptions(s.Limits, i),
		Router:              routing.Options{Seed: uint64(i), FailureDomain: s.Entry.FailureDomain},
		Budget:              routing.BudgetOptions{Share: s.Retries.Share, FloorPerSecond: s.Retries.FloorPerSecond, Burst: s.Retries.Burst},
		MaxAttempts:         s.Limits.MaxAttempts,
		CandidateTimeout:    s.Limits.CandidatePatience,
		MaxResponseDuration: s.Limits.MaxAnswer,
		Permits: permits.Options{
			Lease:       s.Loading.Lease,
			StartWithin: s.Loading.StartWithin,
			MinRetry:    s.Loading.MinRetry,
			MaxRetry:    s.Loading.MaxRetry,
			MaxPending:  s.Loading.MaxPending,
		},
	}
}

func newReplicaManager(s *settings.Entry, i Incarnation, e *entry.Entry, table backing.Table, c clock.Clock, l *slog.Logger, r prometheus.Registerer, recorder *timeline.Recorder) *replicas.Manager {
	o := replicas.DefaultOptions()
	o.Incarnation = uint64(i)
	o.Seed = uint64(i)
	o.Interval = s.Replicas.Interval
	o.FullInterval = s.Replicas.FullInterval
	o.BatchDelay = s.Replicas.Settle
	o.DecideShare = s.Replicas.DecideShare
	o.RankDelay = s.Replicas.TurnStep
	o.WritesPerSecond = s.Replicas.WritesPerSecond
	o.WriteBurst = s.Replicas.WriteBurst
	o.ParallelWrites = s.Replicas.ParallelWrites
	o.MinBackoff = s.Replicas.MinBackoff
	o.MaxBackoff = s.Replicas.MaxBackoff
	o.Policy.UnreachableAfter = s.Replicas.SilentAfter
	o.Policy.ExtraHold = s.Replicas.ExtraHold
	m := replicas.NewManager(o, table, e.GrantInputs(), c, l, r, recorder)
	e.SetGrants(m)
	return m
}

func limiterOptions(l settings.EntryLimits, i Incarnation) admission.LimiterOptions {
	return admission.LimiterOptions{
		MaxInFlight:   l.MaxInFlight,
		MaxBatch:      l.MaxBatch,
		MaxRetryAfter: l.MaxRetryAfter,
		Seed:          uint64(i),
	}
}

// newOperatorServer returns the server for an entry's operator API, metrics and timeline.
func newOperatorServer(s *settings.Entry, e *entry.Entry, l *slog.Logger, r *prometheus.Registry, recorder *timeline.Recorder) *process.Server {
	server := process.NewServer(process.Options{
		Name:     s.Entry.ID,
		Ready:    e.Ready,
		Metrics:  r,
		Timeline: recorder,
		Logger:   l,
	})
	server.Router().Get(entry.SelfPath, e.ServeSelf)
	server.Router().Handle(operator.PathPrefix+"/*", operator.NewHandler(e.Operator()))
	return server
}

// run serves until ctx ends and the entry has drained. The operator API and the entry's background work continue until the
// callers' in-flight requests have ended.
func (r entryRole) run(ctx context.Context) error {
	listeners, err := r.listen()
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	work, stopWork := context.WithCancel(groupCtx)
	serving, stopServing := context.WithCancel(groupCtx)
	defer stopServing()
	stop := context.AfterFunc(ctx, stopServing)
	defer stop()
	group.Go(func() error { return r.Entry.Run(work) })
	group.Go(func() error {
		defer stopWork()
		return process.Serve(serving, listeners.callers, r.Entry.Handler(), process.ServeOptions{
			LameDuck:     r.Settings.Drain.ReadinessDelay,
			DrainTimeout: r.Settings.Drain.Timeout,
			OnStop:       r.Entry.StartDrain,
			Budget:       r.Budget,
			Listener:     inbound.Options{Name: "callers", MaxConnections: hostResources(r.Settings.Resources).ClientConnections()},
			Refuse:       r.Entry.RefuseForRoom,
			Logger:       r.Logger,
		})
	})
	serveHTTP(work, group, listeners.operators, r.Operator, auxiliary("operators", r.Settings.Resources, r.Budget, r.Logger))
	serveHTTP(work, group, listeners.metrics, r.Operator, auxiliary("metrics", r.Settings.Resources, r.Budget, r.Logger))
	recordListening(r.Logger, r.Recorder, "callers", listeners.callers.Addr(), "operators", listeners.operators.Addr())
	return group.Wait()
}

// entryListeners holds an entry's listeners.
type entryListeners struct{ callers, operators, metrics net.Listener }

func (r entryRole) listen() (entryListeners, error) {
	var l entryListeners
	var err error
	if l.callers, err = listen(r.Settings.Entry.Listen); err != nil {
		return l, err
	}
	if l.operators, err = listen(r.Settings.Entry.OperatorListen); err != nil {
		return l, err
	}
	l.metrics, err = listen(r.Settings.Entry.MetricsListen)
	return l, err
}
