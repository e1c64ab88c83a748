// Package atmostonce prevents requests that must not be repeated from running more than once. It claims their
// idempotency keys in the platform's transactional table and implements the two-step offer and commit protocol between
// an entry and an agent.
package atmostonce

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrClaimUnavailable means that the key could not be claimed or the claim not updated. A request whose key could
	// not be claimed did not run.
	ErrClaimUnavailable = errors.New("atmostonce: claims are unavailable")
	// ErrClaimUnknown means that it could not be determined in time whether the key was claimed; this call did not run
	// the request.
	ErrClaimUnknown = errors.New("atmostonce: the outcome of the claim is unknown")
)

// ClaimState is the state of a claimed key.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld: a request with this key is in progress, or its entry failed before it recorded an outcome.
	ClaimHeld ClaimState = "held"
	// ClaimDone: the request ran and its response is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown: the request may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimFree: the request certainly did not run; the key may be claimed again.
	ClaimFree ClaimState = "free"
)

// Claim is the row of one idempotency key.
type Claim struct {
	State ClaimState `json:"state"`
	// Owner is unique to the attempt that holds the claim: the request ID with a suffix for the process and the call.
	Owner string `json:"owner"`
	// Fingerprint is a hash of method, path and body. A different request under the same key is refused.
	Fingerprint uint64    `json:"fingerprint"`
	ClaimedAt   time.Time `json:"claimed_at"`
	// Status, ContentType and Body are the recorded response of a request that is done. Body is kept only up to a size
	// limit.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyKept is false when the response body was too large to record.
	BodyKept bool `json:"body_kept,omitempty"`
}
