package replicas

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"balsamsail/internal/timeline"
)

// stamp tells whether anything that a decision rests on has changed.
type stamp struct {
	declared, head, engines, hosts, rows, demand uint64
}

// The kinds of calls in logs and on the time line.
const (
	callRead  = "read rows"
	callWrite = "write row"
)

// Run follows the table, decides and proposes until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	m.started = m.clock.Now()
	timer := m.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.wake:
			m.pause(ctx, m.options.Settle)
		case <-timer.C():
		}
		timer.Reset(m.round(ctx))
	}
}

// pause waits, or returns early when the context ends.
func (m *Manager) pause(ctx context.Context, d time.Duration) {
	timer := m.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// round reads, decides and proposes once, as far as each is due, and returns the time until the next round.
func (m *Manager) round(ctx context.Context) time.Duration {
	now := m.clock.Now()
	if !now.Before(m.nextRead) {
		m.readRows(ctx)
		m.sample(m.clock.Now())
	}
	next := m.nextRead
	if m.reading.wait == 0 && m.Complete() {
		next = earlier(next, m.decide(ctx))
	}
	return max(next.Sub(m.clock.Now()), m.options.Settle)
}

// earlier returns the earlier of two times; a zero time stands for never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// readRows reads the rows that changed since the last read, or all of them when that is due.
func (m *Manager) readRows(ctx context.Context) {
	now := m.clock.Now()
	after, complete := m.store.progress()
	full := !complete || now.Sub(m.fullRead) >= m.options.FullInterval
	if full {
		after = 0
	}
	listing, err := m.table.List(ctx, KeyPrefix, after)
	if err != nil {
		m.metrics.reads.WithLabelValues(resultUnavailable).Inc()
		m.failed(ctx, &m.reading, callRead, err)
		m.nextRead = m.reading.until
		return
	}
	m.metrics.reads.WithLabelValues(resultOK).Inc()
	m.succeeded(&m.reading, callRead)
	for _, key := range m.store.take(m.clock.Now(), listing, full) {
		m.log.Error("row of the table cannot be read", "key", key, "error", ErrCorruptRow)
	}
	if full {
		m.fullRead = now
	}
	m.readAt = now
	m.nextRead = m.clock.Now().Add(m.options.Interval)
}

// failed notes that the table did not answer a kind of call.
func (m *Manager) failed(ctx context.Context, b *backoff, what string, err error) {
	if ctx.Err() != nil || !b.fail(m.clock.Now(), m.options, m.random) {
		return
	}
	m.log.Warn("table does not answer; grants stay as they are", "call", what, "error", err)
	m.timeline.Record(timeline.Event{Kind: timeline.PlatformLost, Detail: what + ": " + err.Error()})
}

// succeeded notes that the table answered a kind of call. After an outage, the turns begin anew: all processes have waited
// theirs out, and would propose the same changes.
func (m *Manager) succeeded(b *backoff, what string) {
	if b.succeed() {
		m.turns.reset()
		m.log.Info("table answers again", "call", what)
		m.timeline.Record(timeline.Event{Kind: timeline.PlatformBack, Detail: what})
	}
}

// sample notes the use of the model versions that have slots which might be taken back.
func (m *Manager) sample(now time.Time) {
	declared, ok := m.inputs.Declarations.Declared()
	if !ok {
		return
	}
	for i := range declared.Models {
		spec := &declared.Models[i]
		home, _ := m.options.Policy.bounds(*spec)
		if len(m.store.row(spec.Model).GetSlots()) <= home {
			m.demand.unsample(spec.Model)
			continue
		}
		running, _ := m.inputs.Usage.Usage(spec.Model)
		m.demand.sample(now, spec.Model, running)
	}
}

// decide runs the decision if anything has changed, proposes what is this process's turn, and returns when to come again
// at the latest (zero: at the next read).
func (m *Manager) decide(ctx context.Context) time.Time {
	declared, ok := m.inputs.Declarations.Declared()
	if !ok {
		return time.Time{}
	}
	now := m.clock.Now()
	if seen := m.stamp(declared); seen != m.lastSeen || m.due(now) {
		if now.Before(m.notBefore) {
			return m.notBefore
		}
		m.decision = m.decideNow(now, declared)
		m.lastSeen = seen
	}
	if now.Before(m.writing.until) {
		return m.writing.until
	}
	d := m.turns.take(now, m.readAt, m.decision.Changes, m.inputs.Peers.Self(), m.inputs.Peers.Live())
	if d.stale {
		m.readRows(ctx)
		return m.clock.Now()
	}
	if len(d.ready) > 0 {
		if m.writing.wait > 0 {
			// The table did not answer the last writes: one shows whether it does again.
			d.ready = d.ready[:1]
		}
		m.propose(ctx, d.ready)
		m.turns.proposed(m.clock.Now(), d.ready)
		return m.clock.Now()
	}
	return earlier(d.next, m.decision.Again)
}

func (m *Manager) due(now time.Time) bool {
	return !m.decision.Again.IsZero() && !now.Before(m.decision.Again)
}

func (m *Manager) stamp(declared Declared) stamp {
	_, engines := m.inputs.Engines.Engines()
	return stamp{
		declared: declared.Revision,
		head:     declared.Head.Revision,
		engines:  engines,
		hosts:    m.inputs.Engines.Hosts().Version,
		rows:     m.store.at(),
		demand:   m.demand.at(),
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
		Releases:       m.demand.confirmed(now, rows),
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

// propose writes changes, several at once. When the table does not answer one, no further one is begun.
func (m *Manager) propose(ctx context.Context, changes []Change) {
	group, unanswered := errgroup.WithContext(ctx)
	group.SetLimit(m.options.ParallelWrites)
	for _, c := range changes {
		if m.limiter.Wait(unanswered) != nil {
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
		m.failed(ctx, &m.writing, callWrite, err)
		return
	}
	m.succeeded(&m.writing, callWrite)
}

func (m *Manager) proposeOne(ctx context.Context, c Change) error {
	if c.Next != nil {
		c.Next.OperationId = m.operationID()
	}
	row, err := Propose(ctx, m.table, c)
	m.metrics.proposals.WithLabelValues(resultOf(err)).Inc()
	switch {
	case err == nil:
		m.committed(c, row)
	case errors.Is(err, ErrConflict):
		m.timeline.Record(timeline.Event{Kind: timeline.GrantConflict, Model: c.Model, Detail: c.String()})
		m.reread(ctx, c.Model)
	case errors.Is(err, ErrUnavailable):
		m.log.Debug("grant not changed", "model", c.Model, "change", c.String(), "error", err)
	default:
		m.log.Warn("grant not known to be changed", "model", c.Model, "change", c.String(), "error", err)
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
