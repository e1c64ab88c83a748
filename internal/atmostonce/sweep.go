package atmostonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"time"

	"balsamsail/internal/backing"
)

const (
	claimsPrefix = "claims/"
	// rowHashBytes is long enough to rule out collisions, including deliberate ones.
	rowHashBytes = 16
	// maxReleases bounds the queue of keys to free. Keys beyond it stay held, which is safe.
	maxReleases = 1024
	// sweepBatch bounds the rows deleted by one transaction, and sweepBatches the transactions of one sweep.
	sweepBatch   = 64
	sweepBatches = 4
	// skewAllowance is added to the retention because ClaimedAt comes from another process's clock.
	skewAllowance = 5 * time.Minute
	// releaseAttempts bounds the attempts to free one key; each lasts at most Timeout.
	releaseAttempts = 20
)

// rowKey returns the key of the row that stores a request's claim.
func rowKey(r ClaimRequest) string {
	sum := sha256.Sum256([]byte(r.Caller + "\x00" + r.Key))
	return servicePrefix(r.Service) + hex.EncodeToString(sum[:rowHashBytes])
}

func servicePrefix(service string) string {
	return claimsPrefix + url.PathEscape(service) + "/"
}

// release is a key to free that its owner gave up without knowing whether it holds the key.
type release struct {
	rowKey   string
	claim    Claim
	attempts int
}

// queueRelease queues a key for Run to free. If the queue is full the key stays held, and later callers get an unknown
// outcome although the request did not run.
func (c *Claims) queueRelease(r release) {
	select {
	case c.releases <- r:
	default:
	}
}

// Run frees queued keys and deletes claims older than the retention until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	timer := time.NewTimer(c.options.SweepInterval)
	defer timer.Stop()
	for shard := uint64(0); ; {
		select {
		case <-ctx.Done():
			return nil
		case r := <-c.releases:
			c.release(ctx, r)
		case <-timer.C:
			c.sweep(ctx, shard)
			shard++
			timer.Reset(c.options.SweepInterval)
		}
	}
}

// release tries to free one key and queues it again if that fails.
func (c *Claims) release(ctx context.Context, r release) {
	attemptCtx, cancel := c.withTimeout(ctx, time.Time{})
	defer cancel()
	claim := r.claim
	claim.State = ClaimFree
	machine := newReleaseAttempt(claim.Owner)
	c.runMachine(attemptCtx, machine, r.rowKey, claim, func() uint64 { return machine.condition })
	r.attempts++
	if !machine.done && r.attempts < releaseAttempts {
		c.queueRelease(r)
	}
}

// shards is the number of key ranges into which a service's claims are split. A sweep lists one of them, because a list
// of all claims could exceed the size limit of a response.
const shards = 256

// sweep deletes expired claims in one shard of each service, up to a limit.
//
// Claims without a final state are deleted by the same rule, because within the retention no key may be claimed again
// whatever the outcome of its request. A row that changed since it was listed makes the transaction fail; its batch is
// left for a later sweep.
func (c *Claims) sweep(ctx context.Context, shard uint64) {
	for _, service := range c.serviceNames() {
		serviceCtx, cancel := c.withTimeout(ctx, time.Time{})
		prefix := servicePrefix(service) + hex.EncodeToString([]byte{byte(shard % shards)})
		if listing, err := c.table.List(serviceCtx, prefix, 0); err == nil {
			c.deleteExpired(serviceCtx, listing.Rows)
		}
		cancel()
	}
}

func (c *Claims) serviceNames() []string {
	c.mu.Lock()
	services := maps.Clone(c.services)
	c.mu.Unlock()
	if c.options.Services != nil {
		for _, service := range c.options.Services() {
			services[service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

func (c *Claims) deleteExpired(ctx context.Context, rows []backing.Row) {
	now := time.Now()
	expired := slices.DeleteFunc(rows, func(r backing.Row) bool { return !c.isExpired(now, r) })
	batches := 0
	for batch := range slices.Chunk(expired, sweepBatch) {
		var txn backing.Txn
		for _, r := range batch {
			txn.Conditions = append(txn.Conditions, backing.Condition{Key: r.Key, Revision: r.Revision})
			txn.Deletes = append(txn.Deletes, r.Key)
		}
		batches++
		if _, err := c.table.Commit(ctx, txn); err != nil || batches == sweepBatches {
			return
		}
	}
}

// isExpired reports whether a row may be deleted. A row that cannot be decoded is kept.
func (c *Claims) isExpired(now time.Time, r backing.Row) bool {
	var claim Claim
	if r.Err != nil || json.Unmarshal(r.Value, &claim) != nil {
		return false
	}
	return now.Sub(claim.ClaimedAt) > c.options.Retention+skewAllowance
}
