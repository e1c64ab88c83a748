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

// settlePatience bounds the recording of a claim's end.
const settlePatience = 5 * time.Second

// serveClaimed forwards a request, under a claim when it may run only once and carries an idempotency key.
func (e *Entry) serveClaimed(r *http.Request, rq *request, out *answer) result {
	key := r.Header.Get(headerIdempKey)
	if rq.idempotent || key == "" {
		return e.forward(r.Context(), rq, out)
	}
	if !rq.isWhole() || len(rq.body) > wire.ChunkBytes {
		return result{err: badRequest("a call with an idempotency key must have a body of at most 32 KiB, because it is compared")}
	}
	held, res := e.claim(r.Context(), rq, key, out)
	if res != nil {
		return *res
	}
	ended := e.forward(r.Context(), rq, out)
	e.settle(rq, held, ended, out)
	return ended
}

// claim takes the key, or returns how the request ends without running.
func (e *Entry) claim(ctx context.Context, rq *request, key string, out *answer) (atmostonce.Held, *result) {
	held, outcome, err := e.claims.Claim(ctx, atmostonce.ClaimRequest{
		Service: rq.target.Service,
		Key:     key,
		Owner:   rq.id,
		// Callers are not told apart: their credentials may change between two tries, and a key that then counted as a new
		// one would let the request run twice.
		Fingerprint: fingerprint(rq),
		Deadline:    rq.deadline,
	})
	if err != nil {
		e.record(timeline.ClaimRefused, rq, "", err.Error())
		e.logger.Warn("claim failed", "request", rq.id, "error", err)
		refusal := notRun(http.StatusServiceUnavailable, CodeClaimUnavailable, "idempotency keys cannot be claimed now", minRetryAfter)
		return held, &result{err: refusal}
	}
	if outcome == atmostonce.ClaimGranted {
		e.record(timeline.ClaimTaken, rq, "", "")
		return held, nil
	}
	e.record(timeline.ClaimRefused, rq, "", "claimed before")
	return held, e.claimedBefore(outcome, held.Claim, out)
}

// claimedBefore is the answer to a request whose key was claimed by an earlier one.
func (e *Entry) claimedBefore(outcome atmostonce.ClaimOutcome, c atmostonce.Claim, out *answer) *result {
	switch outcome {
	case atmostonce.ClaimAnswered:
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
		return &result{err: unknown("a request with this idempotency key may have run; it will not be run again")}
	}
}

// replay answers with what the first request with the key got.
func (e *Entry) replay(c atmostonce.Claim, out *answer) *result {
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

// settle records how a claimed request ended. When the caller was told nothing definite, the endpoint's word is awaited.
//
// All of it happens in the background. While the table is down the record takes its whole patience, and a caller whose
// request was served or given up would get the final answer that much later, beyond its deadline.
func (e *Entry) settle(rq *request, held atmostonce.Held, ended result, out *answer) {
	if ended.later != nil {
		go func() {
			// The answer itself was not kept, so that a request which did run stays without one.
			f := <-ended.later
			e.settleFate(rq, held, f == fateNotRun, atmostonce.ClaimUnknown, atmostonce.Answer{})
		}()
		return
	}
	state := atmostonce.ClaimUnknown
	if ended.fate == fateServed {
		state = atmostonce.ClaimDone
	}
	recorded := out.recorded()
	e.settling.Go(func() { e.settleFate(rq, held, ended.fate == fateNotRun, state, recorded) })
}

// settleFate frees the claim of a request that did not run and records the end of any other one.
func (e *Entry) settleFate(rq *request, held atmostonce.Held, notRun bool, state atmostonce.ClaimState, a atmostonce.Answer) {
	if notRun {
		e.freeClaim(rq, held)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settlePatience)
	defer cancel()
	e.settled(rq, string(state), e.claims.Finish(ctx, held, state, a))
}

func (e *Entry) freeClaim(rq *request, held atmostonce.Held) {
	ctx, cancel := context.WithTimeout(context.Background(), settlePatience)
	defer cancel()
	e.settled(rq, string(atmostonce.ClaimFree), e.claims.Free(ctx, held))
}

func (e *Entry) settled(rq *request, state string, err error) {
	if err != nil {
		e.logger.Warn("claim not settled", "request", rq.id, "state", state, "error", err)
		state += ": " + errors.Cause(err).Error()
	}
	e.record(timeline.ClaimSettled, rq, "", state)
}

// fingerprint tells one request from another under the same key.
func fingerprint(rq *request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(rq.method + " " + rq.path + "\n")
	_, _ = h.Write(rq.body)
	return h.Sum64()
}
