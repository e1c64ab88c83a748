// Package atmostonce keeps requests that may not be repeated from running twice: claims of idempotency keys in the
// platform's table, and the two steps of offer and commit.
package atmostonce

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrClaimUnavailable says that no claim could be made; the request did not run.
	ErrClaimUnavailable = errors.New("atmostonce: claims are unavailable")
	// ErrClaimUnknown says that the claim's fate could not be found out in time; the request did not run by this call.
	ErrClaimUnknown = errors.New("atmostonce: the claim's fate is unknown")
)

// ClaimState is the state of a claimed key.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld: a request with this key is under way, or its entry died under way.
	ClaimHeld ClaimState = "held"
	// ClaimDone: the request ran and its answer is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown: the request may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimFree: the request certainly did not run; the key may be claimed again.
	ClaimFree ClaimState = "free"
)

// Claim is the row of one idempotency key.
type Claim struct {
	State ClaimState `json:"state"`
	// Owner is unique to the attempt that holds the claim: request id and entry incarnation.
	Owner string `json:"owner"`
	// Fingerprint is a hash of method, path and body; another request under the same key is refused.
	Fingerprint uint64    `json:"fingerprint"`
	ClaimedAt   time.Time `json:"claimed_at"`
	// Status and Body are the recorded answer of a done request, Body only up to a bound.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyKept is false when the answer was too large to record.
	BodyKept bool `json:"body_kept,omitempty"`
}
