package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"balsamsail/internal/httpstrict"
)

// Run sends the planned load and returns when every call has ended. When ctx is done, no further calls are sent and those
// in flight are aborted. Its errors wrap ErrOptions or ErrNotLoopback; in this case nothing was sent.
func Run(ctx context.Context, options Options) (Report, error) {
	options, err := options.check()
	if err != nil {
		return Report{}, err
	}
	stats := newRunStats(options.Targets)
	run(ctx, &options, stats)
	return stats.report(&options), nil
}

// run sends the load described by checked options and adds the outcomes to stats.
func run(ctx context.Context, options *Options, stats *runStats) {
	r := newRunner(options, stats, noWatcher{})
	defer r.transport.CloseIdleConnections()
	r.dispatch(ctx)
	r.finish()
}

// watcher receives the lifecycle events of the calls of a run. Each call is planned once and ended once; opened is called
// at the first token of a stream.
type watcher interface {
	planned(Call)
	opened(Call)
	ended(Call)
}

// noWatcher ignores all events.
type noWatcher struct{}

func (noWatcher) planned(Call) {}
func (noWatcher) opened(Call)  {}
func (noWatcher) ended(Call)   {}

// runner executes one run.
type runner struct {
	transport *httpstrict.Transport
	client    *http.Client
	options   *Options
	stats     *runStats
	watcher   watcher
	slots     chan struct{}
	start     time.Time
	inFlight  sync.WaitGroup
}

// newRunner returns a runner for checked options. Planned times are relative to this call.
func newRunner(options *Options, stats *runStats, w watcher) *runner {
	transport := httpstrict.Wrap(newTransport(options.Concurrency))
	return &runner{
		transport: transport,
		client:    &http.Client{Transport: transport, CheckRedirect: disableRedirects},
		options:   options,
		stats:     stats,
		watcher:   w,
		slots:     make(chan struct{}, options.Concurrency),
		start:     time.Now(),
	}
}

// disableRedirects returns redirect responses to the caller, so that each planned call sends exactly one request.
func disableRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dispatch starts each call at its planned time, or as soon afterwards as the concurrency limit allows.
func (r *runner) dispatch(ctx context.Context) {
	plan := newSchedule(r.options)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		call, ok := plan.call()
		if !ok {
			return
		}
		r.stats.addPlanned()
		r.watcher.planned(call)
		if !r.waitFor(ctx, timer, r.start.Add(call.At)) {
			r.end(call, &outcome{target: call.Target, result: ResultUnsent})
			continue
		}
		r.inFlight.Go(func() { r.exchange(ctx, call) })
	}
}

// waitFor waits for a call's planned time and then for a free concurrency slot; it returns false if ctx is done first.
func (r *runner) waitFor(ctx context.Context, timer *time.Timer, planned time.Time) bool {
	if wait := time.Until(planned); wait > 0 {
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	select {
	case <-ctx.Done():
		return false
	case r.slots <- struct{}{}:
		return true
	}
}

func (r *runner) exchange(ctx context.Context, call Call) {
	defer func() { <-r.slots }()
	e := exchange{
		client:       r.client,
		options:      r.options,
		call:         call,
		planned:      r.start.Add(call.At),
		onFirstToken: func() { r.watcher.opened(call) },
	}
	o := e.run(ctx)
	r.end(call, &o)
}

func (r *runner) end(call Call, o *outcome) {
	r.stats.add(call.TargetIndex, o)
	r.watcher.ended(call)
}

// finish waits for the calls in flight.
func (r *runner) finish() {
	r.inFlight.Wait()
	r.stats.addElapsed(time.Since(r.start))
}
