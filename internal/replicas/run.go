package replicas

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/timeline"
)

// inputVersions are the versions of all inputs of a decision, compared to detect changes.
type inputVersions struct {
	declared, head, engines, hosts, rows, demand uint64
}

// Call names in logs and timeline events.
const (
	callRead  = "read rows"
	callWrite = "write row"
)

// Run follows the table, decides and proposes until the context is done.
func (m *Manager) Run(ctx context.Context) error {
	m.started = m.clock.Now()
	timer := m.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.wake:
			m.sleep(ctx, m.options.BatchDelay)
		case <-timer.C():
		}
		timer.Reset(m.round(ctx))
	}
}

// sleep waits for d or until the context is done.
func (m *Manager) sleep(ctx context.Context, d time.Duration) {
	timer := m.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// round reads, decides and proposes once, as far as each is due, and returns the delay until the next round.
func (m *Manager) round(ctx context.Context) time.Duration {
	now := m.clock.Now()
	if !now.Before(m.nextRead) {
		m.readRows(ctx)
		m.sampleUsage(m.clock.Now())
	}
	next := m.nextRead
	if m.readBackoff.wait == 0 && m.Synced() {
		next = earlier(next, m.decide(ctx))
	}
	return max(next.Sub(m.clock.Now()), m.options.BatchDelay)
}

// earlier returns the earlier of two times; a zero time means never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// readRows reads the rows that changed since the last read, or all rows when a full read is due.
func (m *Manager) readRows(ctx context.Context) {
	now := m.clock.Now()
	after, complete := m.store.progress()
	full := !complete || now.Sub(m.lastFullRead) >= m.options.FullInterval
	if full {
		after = 0
	}
	listing, err := m.table.List(ctx, KeyPrefix, after)
	if err != nil {
		m.metrics.reads.WithLabelValues(resultUnavailable).Inc()
		m.callFailed(ctx, &m.readBackoff, callRead, err)
		m.nextRead = m.readBackoff.until
		return
	}
	m.metrics.reads.WithLabelValues(resultOK).Inc()
	m.callSucceeded(&m.readBackoff, callRead)
	for _, key := range m.store.applyListing(m.clock.Now(), listing, full) {
		m.log.Error("cannot decode table row", "key", key, "error", ErrCorruptRow)
	}
	if full {
		m.lastFullRead = now
	}
	m.lastRead = now
	m.nextRead = m.clock.Now().Add(m.options.Interval)
}

// callFailed records a failed table call.
func (m *Manager) callFailed(ctx context.Context, b *backoff, what string, err error) {
	if ctx.Err() != nil || !b.fail(m.clock.Now(), m.options, m.random) {
		return
	}
	m.log.Warn("table unavailable; keeping current grants", "call", what, "error", err)
	m.timeline.Record(timeline.Event{Kind: timeline.PlatformLost, Detail: what + ": " + err.Error()})
}

// callSucceeded records a successful table call. After an outage the proposal schedule is reset: the delays of all
// processes have expired by then, and all would propose the same changes at once.
func (m *Manager) callSucceeded(b *backoff, what string) {
	if b.succeed() {
		m.schedule.reset()
		m.log.Info("table available again", "call", what)
		m.timeline.Record(timeline.Event{Kind: timeline.PlatformBack, Detail: what})
	}
}

// sampleUsage records the usage of the model versions that have slots above their baseline.
func (m *Manager) sampleUsage(now time.Time) {
	declared, ok := m.inputs.Declarations.Declared()
	if !ok {
		return
	}
	for i := range declared.Models {
		spec := &declared.Models[i]
		baseline, _ := m.options.Policy.bounds(*spec)
		if len(m.store.row(spec.Model).GetSlots()) <= baseline {
			m.demand.forgetUsage(spec.Model)
			continue
		}
		running, _ := m.inputs.Usage.Usage(spec.Model)
		m.demand.recordUsage(now, spec.Model, running)
	}
}

// decide repeats the decision if an input has changed, proposes the changes that are due, and returns the latest time
// for the next call (zero: at the next read).
func (m *Manager) decide(ctx context.Context) time.Time {
	declared, ok := m.inputs.Declarations.Declared()
	if !ok {
		return time.Time{}
	}
	now := m.clock.Now()
	if versions := m.currentVersions(declared); versions != m.lastVersions || m.recheckDue(now) {
		if now.Before(m.notBefore) {
			return m.notBefore
		}
		m.decision = m.decideNow(now, declared)
		m.lastVersions = versions
	}
	if now.Before(m.writeBackoff.until) {
		return m.writeBackoff.until
	}
	d := m.schedule.due(now, m.lastRead, m.decision.Changes, m.inputs.Peers.Self(), m.inputs.Peers.Live())
	if d.stale {
		m.readRows(ctx)
		return m.clock.Now()
	}
	if len(d.ready) > 0 {
		if m.writeBackoff.wait > 0 {
			// Recent writes failed or were not answered: send a single one as a probe.
			d.ready = d.ready[:1]
		}
		m.propose(ctx, d.ready)
		m.schedule.postpone(m.clock.Now(), d.ready)
		return m.clock.Now()
	}
	return earlier(d.next, m.decision.RecheckAt)
}

func (m *Manager) recheckDue(now time.Time) bool {
	return !m.decision.RecheckAt.IsZero() && !now.Before(m.decision.RecheckAt)
}

func (m *Manager) currentVersions(declared Declared) inputVersions {
	_, engines := m.inputs.Engines.Engines()
	return inputVersions{
		declared: declared.Revision,
		head:     declared.Head.Revision,
		engines:  engines,
		hosts:    m.inputs.Engines.Hosts().Version,
		rows:     m.store.currentSequence(),
		demand:   m.demand.currentSequence(),
	}
}

func (m *Manager) decideNow(now time.Time, declared Declared) Decision {
	rows, _ := m.store.views()
	engines, version := m.inputs.Engines.Engines()
	s := &Snapshot{
		Declared:       declared,
		Rows:           rows,
		Engines:        engines,
		EnginesVersion: version,
		Hosts:          m.inputs.Engines.Hosts(),
		Since:          m.started,
		Demand:         make(map[string]Demand, len(declared.Models)),
		Releases:       m.demand.confirmedRevisions(now, rows),
	}
	m.demand.expire(now)
	for i := range declared.Models {
		model := declared.Models[i].Model
		demand := m.demand.demand(now, model)
		_, demand.Usage.Loaded = m.inputs.Usage.Usage(model)
		s.Demand[model] = demand
	}
	begin := m.clock.Now()
	decision := m.decider.Decide(now, s)
	took := m.clock.Now().Sub(begin)
	m.notBefore = now.Add(time.Duration(float64(took) / m.options.DecideShare))
	m.metrics.decide.Observe(took.Seconds())
	m.metrics.count(rows)
	return decision
}

// propose writes changes in parallel. After a failed or unanswered write it starts no further one.
func (m *Manager) propose(ctx context.Context, changes []Change) {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(m.options.ParallelWrites)
	for _, c := range changes {
		if m.limiter.Wait(groupCtx) != nil {
			break
		}
		group.Go(func() error {
			err := m.proposeOne(ctx, c)
			if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown) {
				return err
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		m.callFailed(ctx, &m.writeBackoff, callWrite, err)
		return
	}
	m.callSucceeded(&m.writeBackoff, callWrite)
}

func (m *Manager) proposeOne(ctx context.Context, c Change) error {
	if c.Next != nil {
		c.Next.OperationId = m.operationID()
	}
	row, err := Propose(ctx, m.table, c)
	m.metrics.proposals.WithLabelValues(resultOf(err)).Inc()
	switch {
	case err == nil:
		m.applyCommitted(c, row)
	case errors.Is(err, ErrConflict):
		m.timeline.Record(timeline.Event{Kind: timeline.GrantConflict, Model: c.Model, Detail: c.String()})
		m.reread(ctx, c.Model)
	case errors.Is(err, ErrUnavailable):
		m.log.Debug("row change not applied", "model", c.Model, "change", c.String(), "error", err)
	default:
		m.log.Warn("row change failed or its outcome is unknown", "model", c.Model, "change", c.String(), "error", err)
	}
	return err
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return resultCommitted
	case errors.Is(err, ErrConflict):
		return resultConflict
	case errors.Is(err, ErrUnavailable):
		return resultUnavailable
	case errors.Is(err, ErrInvalid):
		return resultInvalid
	default:
		return resultUnknown
	}
}
