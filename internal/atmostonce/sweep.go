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
	// rowHashBytes is enough that two keys never share a row, whoever chooses them.
	rowHashBytes = 16
	// maxReleases bounds the keys that wait to be freed; beyond it they stay held, which is safe.
	maxReleases = 1024
	// sweepBatch bounds the rows that one transaction deletes, and sweepBatches the transactions of one sweep.
	sweepBatch   = 64
	sweepBatches = 4
	// skewAllowance is added to the retention, because the age of a claim is told by another process's clock.
	skewAllowance = 5 * time.Minute
	// releaseAttempts bounds how often the freeing of one key is tried; each lasts up to the patience.
	releaseAttempts = 20
)

// rowKey names the row of a request's key.
func rowKey(r ClaimRequest) string {
	sum := sha256.Sum256([]byte(r.Caller + "\x00" + r.Key))
	return servicePrefix(r.Service) + hex.EncodeToString(sum[:rowHashBytes])
}

func servicePrefix(service string) string {
	return claimsPrefix + url.PathEscape(service) + "/"
}

// release is a key that its owner gave up without knowing whether it holds it.
type release struct {
	rowKey   string
	claim    Claim
	attempts int
}

// abandon hands a key to Run to be freed. When too many wait the key stays held; later callers then hear that its outcome
// is unknown, although it did not run.
func (c *Claims) abandon(r release) {
	select {
	case c.releases <- r:
	default:
	}
}

// Run frees abandoned keys and deletes claims older than the retention until ctx ends.
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

// release frees one key, or puts it back to be tried again.
func (c *Claims) release(ctx context.Context, r release) {
	bounded, cancel := c.bounded(ctx, time.Time{})
	defer cancel()
	claim := r.claim
	claim.State = ClaimFree
	machine := newRelease(claim.Owner)
	c.drive(bounded, machine, r.rowKey, claim, func() uint64 { return machine.condition })
	r.attempts++
	if !machine.done && r.attempts < releaseAttempts {
		c.abandon(r)
	}
}

// shards is the number of parts of a service's claims that are listed one at a time: a list of all of them would be too
// long for one answer.
const shards = 256

// sweep deletes some claims older than the retention from one shard of each service.
//
// A claim that was not settled is deleted by the same rule: within the retention no key can be claimed again, whatever
// became of its request. Rows that changed since the list was read make the transaction fail, and wait for the next sweep.
func (c *Claims) sweep(ctx context.Context, shard uint64) {
	for _, service := range c.known() {
		bounded, cancel := c.bounded(ctx, time.Time{})
		prefix := servicePrefix(service) + hex.EncodeToString([]byte{byte(shard % shards)})
		if listing, err := c.table.List(bounded, prefix, 0); err == nil {
			c.deleteOld(bounded, listing.Rows)
		}
		cancel()
	}
}

func (c *Claims) known() []string {
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

func (c *Claims) deleteOld(ctx context.Context, rows []backing.Row) {
	now := time.Now()
	old := slices.DeleteFunc(rows, func(r backing.Row) bool { return !c.isOld(now, r) })
	batches := 0
	for batch := range slices.Chunk(old, sweepBatch) {
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

// isOld reports whether a row may be deleted. A row that cannot be read stays.
func (c *Claims) isOld(now time.Time, r backing.Row) bool {
	var claim Claim
	if err := json.Unmarshal(r.Value, &claim); err != nil {
		return false
	}
	return now.Sub(claim.ClaimedAt) > c.options.Retention+skewAllowance
}
