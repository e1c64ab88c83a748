package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"balsamsail/internal/atmostonce"
	"balsamsail/internal/timeline"
	"balsamsail/internal/wire"
)

// claimWriteTimeout bounds the write that records the result of a claimed request.
const claimWriteTimeout = 5 * time.Second

// forwardWithClaim forwards a request. It first claims the idempotency key when the request has one and may run only
// once.
func (e *Entry) forwardWithClaim(r *http.Request, rq *request, out *response) result {
	key := r.Header.Get(headerIdempKey)
	if rq.idempotent || key == "" {
		return e.forward(r.Context(), rq, out)
	}
	if !rq.hasFullBody() || len(rq.body) > wire.ChunkBytes {
		return result{err: badRequest("a call with an idempotency key must have a body of at most 32 KiB, because it is compared")}
	}
	held, res := e.claim(r.Context(), rq, key, out)
	if res != nil {
		return *res
	}
	ended := e.forward(r.Context(), rq, out)
	e.settleClaim(rq, held, ended, out)
	return ended
}

// claim claims the idempotency key, or returns the result of a request that must not run.
func (e *Entry) claim(ctx context.Context, rq *request, key string, out *response) (atmostonce.ClaimRow, *result) {
	held, outcome, err := e.claims.Claim(ctx, atmostonce.ClaimRequest{
		Service: rq.target.Service,
		Key:     key,
		Owner:   rq.id,
		// Caller is left empty: a caller's credentials may change between two attempts, and the same key would then
		// count as a new one and let the request run twice.
		Fingerprint: fingerprint(rq),
		Deadline:    rq.deadline,
	})
	if err != nil {
		e.record(timeline.ClaimRefused, rq, "", err.Error())
		e.logger.Warn("cannot claim the idempotency key", "request", rq.id, "error", err)
		refusal := notRun(http.StatusServiceUnavailable, CodeClaimUnavailable, "idempotency keys cannot be claimed now", minRetryAfter)
		return held, &result{err: refusal}
	}
	if outcome == atmostonce.ClaimGranted {
		e.record(timeline.ClaimTaken, rq, "", "")
		return held, nil
	}
	e.record(timeline.ClaimRefused, rq, "", "claimed before")
	return held, e.duplicateResult(outcome, held.Claim, out)
}

// duplicateResult returns the result of a request whose key was claimed by an earlier one.
func (e *Entry) duplicateResult(outcome atmostonce.ClaimOutcome, c atmostonce.Claim, out *response) *result {
	switch outcome {
	case atmostonce.ClaimCompleted:
		return e.replay(c, out)
	case atmostonce.ClaimMismatch:
		message := "the idempotency key belongs to another request"
		return &result{err: notRun(http.StatusUnprocessableEntity, CodeKeyReused, message, 0)}
	case atmostonce.ClaimInProgress:
		return &result{err: &apiError{
			status:     http.StatusConflict,
			code:       CodeInProgress,
			outcome:    OutcomeUnknown,
			message:    "a request with this idempotency key is under way or ended without a known outcome",
			retryAfter: minRetryAfter,
		}}
	default:
		return &result{err: outcomeUnknown("a request with this idempotency key may have run; it will not be run again")}
	}
}

// replay sends the recorded response of the first request with the key.
func (e *Entry) replay(c atmostonce.Claim, out *response) *result {
	if !c.BodyKept {
		return &result{err: &apiError{
			status:  http.StatusConflict,
			code:    CodeAnswerNotKept,
			outcome: OutcomeRan,
			message: "the request ran with status " + strconv.Itoa(c.Status) + "; its answer was too large to be kept",
		}}
	}
	h := out.w.Header()
	h.Set("Content-Type", c.ContentType)
	h.Set(headerRequestID, out.requestID)
	h.Set("Idempotent-Replayed", "true")
	out.w.WriteHeader(c.Status)
	_, _ = out.w.Write(c.Body)
	return &result{status: c.Status}
}

// settleClaim records the result of a claimed request. When the result is not known yet, it waits for the endpoint's
// final frame.
//
// All of this runs in the background. While the table is down the write takes its whole timeout, which would delay the
// caller's final response beyond its deadline.
func (e *Entry) settleClaim(rq *request, held atmostonce.ClaimRow, ended result, out *response) {
	if ended.pending != nil {
		go func() {
			// The response was not kept, so the claim of a request that did run is recorded without one.
			f := <-ended.pending
			e.finishClaim(rq, held, f == executionNotRun, atmostonce.ClaimUnknown, atmostonce.Response{})
		}()
		return
	}
	state := atmostonce.ClaimUnknown
	if ended.execution == executionServed {
		state = atmostonce.ClaimDone
	}
	recorded := out.recordedResponse()
	e.settling.Go(func() { e.finishClaim(rq, held, ended.execution == executionNotRun, state, recorded) })
}

// finishClaim releases the claim of a request that did not run and records the result of any other one.
func (e *Entry) finishClaim(rq *request, held atmostonce.ClaimRow, notRun bool, state atmostonce.ClaimState, a atmostonce.Response) {
	if notRun {
		e.freeClaim(rq, held)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	e.recordSettled(rq, string(state), e.claims.Finish(ctx, held, state, a))
}

func (e *Entry) freeClaim(rq *request, held atmostonce.ClaimRow) {
	ctx, cancel := context.WithTimeout(context.Background(), claimWriteTimeout)
	defer cancel()
	e.recordSettled(rq, string(atmostonce.ClaimFree), e.claims.Free(ctx, held))
}

func (e *Entry) recordSettled(rq *request, state string, err error) {
	if err != nil {
		e.logger.Warn("cannot record the result of a claim", "request", rq.id, "state", state, "error", err)
		state += ": " + errors.Cause(err).Error()
	}
	e.record(timeline.ClaimSettled, rq, "", state)
}

// fingerprint identifies the content of a request, to detect a different request under the same key.
func fingerprint(rq *request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(rq.method + " " + rq.path + "\n")
	_, _ = h.Write(rq.body)
	return h.Sum64()
}
