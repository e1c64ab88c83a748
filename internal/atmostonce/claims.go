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

// ClaimOutcome is the result of an attempt to claim a key.
type ClaimOutcome int

// The outcomes of a claim.
const (
	// ClaimGranted: the key belongs to the owner. The request may be offered; Finish or Free must follow.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimInProgress: another attempt holds the key and may have failed while holding it; its outcome is unknown.
	ClaimInProgress
	// ClaimCompleted: the request ran before; the claim contains its recorded response.
	ClaimCompleted
	// ClaimOutcomeUnknown: the request may have run before; its outcome will never be known.
	ClaimOutcomeUnknown
	// ClaimMismatch: the key was used for a different request.
	ClaimMismatch
)

// ClaimRequest describes a key to claim.
type ClaimRequest struct {
	// Service is the service or model that the idempotency key Key applies to, and Caller is the caller that sent it.
	// Callers do not share keys.
	Service, Caller, Key string
	// Owner identifies the request in the row. Claims adds a suffix that makes it unique to this call.
	Owner       string
	Fingerprint uint64
	Deadline    time.Time
}

// ClaimRow is a row of the table as last read or written.
type ClaimRow struct {
	// RowKey and Revision identify the version of the row.
	RowKey   string
	Revision uint64
	Claim    Claim
}

// Response is the response that is recorded with a key.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped is set when Body is not the whole body.
	Dropped bool
}

const (
	defaultTimeout       = time.Second
	defaultRetention     = 24 * time.Hour
	defaultMaxBodyBytes  = 16 << 10
	defaultSweepInterval = time.Minute
	// minBackoff and maxBackoff bound the delay before a table call is retried.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// ClaimsOptions configures Claims.
type ClaimsOptions struct {
	// Timeout is the time limit of one call of Claim, Finish or Free (0: 1 s).
	Timeout time.Duration
	// Retention is how long a key stays claimed (0: 24 h).
	Retention time.Duration
	// MaxBodyBytes is the size limit of a recorded response body (0: 16 KiB).
	MaxBodyBytes int
	// SweepInterval is the interval between sweeps for claims older than Retention (0: 1 min).
	SweepInterval time.Duration
	// Services returns the services whose expired claims Run deletes, in addition to the services of keys claimed by
	// this process.
	Services func() []string
	// Seed seeds the backoff jitter.
	Seed uint64
}

func (o ClaimsOptions) withDefaults() ClaimsOptions {
	o.Timeout = cmp.Or(o.Timeout, defaultTimeout)
	o.Retention = cmp.Or(o.Retention, defaultRetention)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, defaultMaxBodyBytes)
	o.SweepInterval = cmp.Or(o.SweepInterval, defaultSweepInterval)
	return o
}

// Claims stores idempotency keys in the platform's table. It is safe for concurrent use.
type Claims struct {
	table   backing.Table
	options ClaimsOptions
	// nonce makes the owners of this process distinct from those of all others.
	nonce    string
	releases chan release

	mu       sync.Mutex
	random   *rand.Rand
	calls    uint64
	services map[string]bool
}

// NewClaims returns a Claims that uses the given table.
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

// Claim tries to claim a key for its owner. If it cannot within the time limit, it fails with ErrClaimUnavailable or
// ErrClaimUnknown. The owner must then not run the request, and a key that may have been claimed is freed in the
// background.
func (c *Claims) Claim(ctx context.Context, r ClaimRequest) (ClaimRow, ClaimOutcome, error) {
	ctx, cancel := c.withTimeout(ctx, r.Deadline)
	defer cancel()
	rowKey := rowKey(r)
	claim := Claim{
		State:       ClaimHeld,
		Owner:       c.newOwner(r),
		Fingerprint: r.Fingerprint,
		ClaimedAt:   time.Now(),
	}
	machine := newClaimAttempt(claim.Owner, r.Fingerprint)
	c.runMachine(ctx, machine, rowKey, claim, func() uint64 { return machine.condition })
	switch {
	case machine.outcome == ClaimGranted:
		return ClaimRow{RowKey: rowKey, Revision: machine.row.Revision, Claim: claim}, ClaimGranted, nil
	case machine.outcome != 0:
		return ClaimRow{RowKey: rowKey, Revision: machine.row.Revision, Claim: machine.claim}, machine.outcome, nil
	case machine.mayHold():
		c.queueRelease(release{rowKey: rowKey, claim: claim})
		return ClaimRow{}, 0, errors.Wrapf(ErrClaimUnknown, "key %q of %s", r.Key, r.Service)
	default:
		return ClaimRow{}, 0, errors.Wrapf(ErrClaimUnavailable, "key %q of %s", r.Key, r.Service)
	}
}

// Finish records the final state of a granted claim: ClaimDone with the response, or ClaimUnknown. If it fails with
// ErrClaimUnavailable, the key may stay held: later callers get an unknown outcome, and the request never runs again.
func (c *Claims) Finish(ctx context.Context, h ClaimRow, state ClaimState, a Response) error {
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

// Free releases a granted key because the request certainly did not run. If it fails, the key is freed in the
// background.
func (c *Claims) Free(ctx context.Context, h ClaimRow) error {
	claim := h.Claim
	claim.State = ClaimFree
	err := c.settle(ctx, h, claim)
	if err != nil {
		c.queueRelease(release{rowKey: h.RowKey, claim: h.Claim})
	}
	return err
}

func (c *Claims) settle(ctx context.Context, h ClaimRow, claim Claim) error {
	ctx, cancel := c.withTimeout(ctx, time.Time{})
	defer cancel()
	machine := newSettleAttempt(claim.Owner, claim.State, h.Revision)
	c.runMachine(ctx, machine, h.RowKey, claim, func() uint64 { return machine.condition })
	if !machine.done {
		return errors.Wrapf(ErrClaimUnavailable, "claim of %s could not be updated", claim.Owner)
	}
	return nil
}

// withTimeout returns a context that ends after Timeout, or at the deadline if that is set and earlier.
func (c *Claims) withTimeout(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	end := time.Now().Add(c.options.Timeout)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	return context.WithDeadline(ctx, end)
}

// newOwner returns an owner name that is unique to the call. Two calls with the same request ID must not mistake each
// other's row for their own.
func (c *Claims) newOwner(r ClaimRequest) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.services[r.Service] = true
	return r.Owner + "/" + c.nonce + "/" + strconv.FormatUint(c.calls, 36)
}

// machine is a claimAttempt or settleAttempt.
type machine interface {
	start() tableCall
	step(tableResult) tableCall
}

// runMachine performs the table calls that a machine requests until it finishes or ctx ends.
func (c *Claims) runMachine(ctx context.Context, m machine, rowKey string, claim Claim, condition func() uint64) {
	backoff := minBackoff
	for call := m.start(); call != callEnd; {
		if call == callBackoffWrite || call == callBackoffRead {
			c.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		if ctx.Err() != nil {
			m.step(tableResult{event: timedOut})
			return
		}
		if call == callRead || call == callBackoffRead {
			call = m.step(c.read(ctx, rowKey))
			continue
		}
		call = m.step(c.write(ctx, rowKey, condition(), claim))
	}
}

func (c *Claims) read(ctx context.Context, rowKey string) tableResult {
	row, err := c.table.Get(ctx, rowKey)
	switch {
	case err == nil:
		return tableResult{event: rowRead, row: row}
	case errors.Is(err, backing.ErrNotFound):
		return tableResult{event: rowAbsent}
	default:
		return tableResult{event: readFailed}
	}
}

func (c *Claims) write(ctx context.Context, rowKey string, condition uint64, claim Claim) tableResult {
	value, err := json.Marshal(claim)
	if err != nil {
		return tableResult{event: timedOut}
	}
	revision, err := c.table.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: rowKey, Revision: condition}},
		Puts:       []backing.Put{{Key: rowKey, Value: value}},
	})
	var conflict *backing.ConflictError
	switch {
	case err == nil:
		return tableResult{event: writeDone, revision: revision}
	case errors.As(err, &conflict):
		return tableResult{event: writeConflict}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrRateLimited):
		return tableResult{event: writeNoEffect}
	case errors.Is(err, backing.ErrInvalid):
		return tableResult{event: timedOut}
	default:
		return tableResult{event: writeUnknown}
	}
}

// sleep waits until ctx ends, or for about d with jitter, so that entries that fail together do not retry together.
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
