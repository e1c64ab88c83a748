package atmostonce

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/backing"
)

// ClaimOutcome is what came of an attempt to claim a key.
type ClaimOutcome int

// The outcomes of a claim.
const (
	// ClaimGranted: the key is the owner's; the request may be offered, and Finish or Free must follow.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimInProgress: another attempt holds the key, or died holding it; its outcome is unknown.
	ClaimInProgress
	// ClaimAnswered: the request ran before; its recorded answer is in the claim.
	ClaimAnswered
	// ClaimLost: the request may have run before; its outcome is unknown for good.
	ClaimLost
	// ClaimMismatch: another request was made under the same key.
	ClaimMismatch
)

// ClaimRequest names what is to be claimed.
type ClaimRequest struct {
	// Service is the service or model whose idempotency key Key is, and Caller whose: callers don't share keys.
	Service, Caller, Key string
	// Owner names the request in the row. Claims adds what makes it unique to this call.
	Owner       string
	Fingerprint uint64
	Deadline    time.Time
}

// Held is a row of the table as last seen.
type Held struct {
	// RowKey and Revision name the row's version.
	RowKey   string
	Revision uint64
	Claim    Claim
}

// Answer is a recorded answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped says that Body is not the whole body.
	Dropped bool
}

const (
	defaultPatience      = time.Second
	defaultRetention     = 24 * time.Hour
	defaultMaxBodyBytes  = 16 << 10
	defaultSweepInterval = time.Minute
	// firstPause and lastPause bound the pause before a call is tried again.
	firstPause = 10 * time.Millisecond
	lastPause  = 200 * time.Millisecond
)

// ClaimsOptions are the settings of Claims.
type ClaimsOptions struct {
	// Patience bounds one call of Claim, Finish or Free (0: 1 s).
	Patience time.Duration
	// Retention is how long a key stays claimed (0: 24 h).
	Retention time.Duration
	// MaxBodyBytes bounds a recorded answer (0: 16 KiB).
	MaxBodyBytes int
	// SweepInterval is the time between two looks for claims older than the retention (0: 1 min).
	SweepInterval time.Duration
	// Services names the services whose old claims Run deletes, besides those claimed here since the start.
	Services func() []string
	// Seed seeds the jitter.
	Seed uint64
}

func (o ClaimsOptions) withDefaults() ClaimsOptions {
	o.Patience = cmp.Or(o.Patience, defaultPatience)
	o.Retention = cmp.Or(o.Retention, defaultRetention)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.SweepInterval = cmp.Or(o.SweepInterval, defaultSweepInterval)
	return o
}

// Claims keeps idempotency keys in the platform's table. It is safe for concurrent use.
type Claims struct {
	table   backing.Table
	options ClaimsOptions
	// nonce sets this process's owners apart from those of all others.
	nonce    string
	releases chan release

	mu       sync.Mutex
	random   *rand.Rand
	calls    uint64
	services map[string]bool
}

// NewClaims returns the claims in a table.
func NewClaims(table backing.Table, options ClaimsOptions) *Claims {
	return &Claims{
		table:    table,
		options:  options.withDefaults(),
		nonce:    crand.Text(),
		releases: make(chan release, maxReleases),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		services: make(map[string]bool),
	}
}

// Claim tries to get a key for its owner. It fails with ErrClaimUnavailable or ErrClaimUnknown in bounded time; after
// either the owner must not run the request, and the key is freed in the background.
func (c *Claims) Claim(ctx context.Context, r ClaimRequest) (Held, ClaimOutcome, error) {
	ctx, cancel := c.bounded(ctx, r.Deadline)
	defer cancel()
	rowKey := rowKey(r)
	claim := Claim{
		State:       ClaimHeld,
		Owner:       c.owner(r),
		Fingerprint: r.Fingerprint,
		ClaimedAt:   time.Now(),
	}
	machine := newClaiming(claim.Owner, r.Fingerprint)
	c.drive(ctx, machine, rowKey, claim, func() uint64 { return machine.condition })
	switch {
	case machine.outcome == ClaimGranted:
		return Held{RowKey: rowKey, Revision: machine.held.Revision, Claim: claim}, ClaimGranted, nil
	case machine.outcome != 0:
		return Held{RowKey: rowKey, Revision: machine.held.Revision, Claim: machine.claim}, machine.outcome, nil
	case machine.abandoned():
		c.abandon(release{rowKey: rowKey, claim: claim})
		return Held{}, 0, errors.Wrapf(ErrClaimUnknown, "key %q of %s", r.Key, r.Service)
	default:
		return Held{}, 0, errors.Wrapf(ErrClaimUnavailable, "key %q of %s", r.Key, r.Service)
	}
}

// Finish records the final state of a claim that was granted: ClaimDone with the answer, or ClaimUnknown. When it fails
// with ErrClaimUnavailable the key stays held, which later callers are told as an unknown outcome; it never runs again.
func (c *Claims) Finish(ctx context.Context, h Held, state ClaimState, a Answer) error {
	claim := h.Claim
	claim.State = state
	if state == ClaimDone {
		claim.Status, claim.ContentType = a.Status, a.ContentType
		claim.BodyKept = !a.Dropped && len(a.Body) <= c.options.MaxBodyBytes
		if claim.BodyKept {
			claim.Body = a.Body
		}
	}
	return c.settle(ctx, h, claim)
}

// Free gives a granted key back because the request certainly did not run. When it fails the key is freed in the
// background.
func (c *Claims) Free(ctx context.Context, h Held) error {
	claim := h.Claim
	claim.State = ClaimFree
	err := c.settle(ctx, h, claim)
	if err != nil {
		c.abandon(release{rowKey: h.RowKey, claim: h.Claim})
	}
	return err
}

func (c *Claims) settle(ctx context.Context, h Held, claim Claim) error {
	ctx, cancel := c.bounded(ctx, time.Time{})
	defer cancel()
	machine := newSettling(claim.Owner, claim.State, h.Revision)
	c.drive(ctx, machine, h.RowKey, claim, func() uint64 { return machine.condition })
	if !machine.done {
		return errors.Wrapf(ErrClaimUnavailable, "claim of %s stays held", claim.Owner)
	}
	return nil
}

// bounded returns a context that ends with the patience, or earlier with the deadline when that is set.
func (c *Claims) bounded(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	end := time.Now().Add(c.options.Patience)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}

// owner makes a name that no other call has: two calls with one request identifier must not take each other's row for
// their own.
func (c *Claims) owner(r ClaimRequest) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.services[r.Service] = true
	return r.Owner + "/" + c.nonce + "/" + strconv.FormatUint(c.calls, 36)
}

// machine is a claiming or settling.
type machine interface {
	start() tableCall
	step(tableInput) tableCall
}

// drive makes the calls that a machine wants until it ends or ctx does.
func (c *Claims) drive(ctx context.Context, m machine, rowKey string, claim Claim, condition func() uint64) {
	pause := firstPause
	for call := m.start(); call != callEnd; {
		if call == callPauseWrite || call == callPauseRead {
			c.sleep(ctx, pause)
			pause = min(2*pause, lastPause)
		}
		if ctx.Err() != nil {
			m.step(tableInput{event: timeUp})
			return
		}
		if call == callRead || call == callPauseRead {
			call = m.step(c.read(ctx, rowKey))
			continue
		}
		call = m.step(c.write(ctx, rowKey, condition(), claim))
	}
}

func (c *Claims) read(ctx context.Context, rowKey string) tableInput {
	row, err := c.table.Get(ctx, rowKey)
	switch {
	case err == nil:
		return tableInput{event: rowRead, row: row}
	case errors.Is(err, backing.ErrNotFound):
		return tableInput{event: rowAbsent}
	default:
		return tableInput{event: readFailed}
	}
}

func (c *Claims) write(ctx context.Context, rowKey string, condition uint64, claim Claim) tableInput {
	value, err := json.Marshal(claim)
	if err != nil {
		return tableInput{event: timeUp}
	}
	revision, err := c.table.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: rowKey, Revision: condition}},
		Puts:       []backing.Put{{Key: rowKey, Value: value}},
	})
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		return tableInput{event: writeDone, revision: revision}
	case errors.As(err, &conflict):
		return tableInput{event: writeConflict}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrRateLimited):
		return tableInput{event: writeNoEffect}
	case errors.Is(err, backing.ErrInvalid):
		return tableInput{event: timeUp}
	default:
		return tableInput{event: writeLost}
	}
}

// sleep pauses for about d, jittered so that entries in step part ways, or until ctx ends.
func (c *Claims) sleep(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	jittered := d/2 + time.Duration(c.random.Int64N(int64(d)))
	c.mu.Unlock()
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
