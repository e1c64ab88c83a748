package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Run sends the planned load and returns when every call has ended. When ctx ends, no further call is sent and those in
// flight are cut. It fails with ErrOptions or ErrNotLoopback, and then nothing was sent.
func Run(ctx context.Context, options Options) (Report, error) {
	options, err := options.check()
	if err != nil {
		return Report{}, err
	}
	into := newRecording(options.Targets)
	run(ctx, &options, into)
	return into.report(&options), nil
}

// run sends the load of checked options and adds what comes of it to the recording.
func run(ctx context.Context, options *Options, into *recording) {
	r := newRunner(options, into, noWatcher{})
	defer r.transport.CloseIdleConnections()
	r.dispatch(ctx)
	r.finish()
}

// watcher follows the calls of a run. Each call is planned once and ends once; it is opened at the first token of a
// stream.
type watcher interface {
	planned(Call)
	opened(Call)
	ended(Call)
}

// noWatcher follows nothing.
type noWatcher struct{}

func (noWatcher) planned(Call) {}
func (noWatcher) opened(Call)  {}
func (noWatcher) ended(Call)   {}

// runner drives one run.
type runner struct {
	transport *http.Transport
	client    *http.Client
	options   *Options
	into      *recording
	watcher   watcher
	free      chan struct{}
	start     time.Time
	inFlight  sync.WaitGroup
}

// newRunner takes checked options. The run starts now.
func newRunner(options *Options, into *recording, w watcher) *runner {
	transport := newTransport(options.Concurrency)
	return &runner{
		transport: transport,
		client:    &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		options:   options,
		into:      into,
		watcher:   w,
		free:      make(chan struct{}, options.Concurrency),
		start:     time.Now(),
	}
}

// keepRedirect hands redirects to the caller as they are, so that one planned call is one request.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dispatch starts each call at its planned time, or as soon after as the bound on calls in flight lets it.
func (r *runner) dispatch(ctx context.Context) {
	plan := newSchedule(r.options)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		call, ok := plan.call()
		if !ok {
			return
		}
		r.into.plan()
		r.watcher.planned(call)
		if !r.waitFor(ctx, timer, r.start.Add(call.At)) {
			r.end(call, &outcome{target: call.Target, result: ResultUnsent})
			continue
		}
		r.inFlight.Go(func() { r.exchange(ctx, call) })
	}
}

// waitFor waits for a call's planned time and then for a free place; it reports false when the run is over.
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
	case r.free <- struct{}{}:
		return true
	}
}

func (r *runner) exchange(ctx context.Context, call Call) {
	defer func() { <-r.free }()
	e := exchange{
		client:  r.client,
		options: r.options,
		call:    call,
		planned: r.start.Add(call.At),
		opened:  func() { r.watcher.opened(call) },
	}
	o := e.run(ctx)
	r.end(call, &o)
}

func (r *runner) end(call Call, o *outcome) {
	r.into.add(call.TargetIndex, o)
	r.watcher.ended(call)
}

// finish waits for the calls in flight.
func (r *runner) finish() {
	r.inFlight.Wait()
	r.into.pass(time.Since(r.start))
}
