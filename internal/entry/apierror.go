package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Code is the stable code of an error answer; docs/ERRORS.md lists what each means to a caller.
type Code string

// The codes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeModelNotFound    Code = "model_not_found"
	CodeNotFound         Code = "not_found"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline"
	CodeNoCapacity       Code = "no_capacity"
	CodeLoadFailed       Code = "load_failed"
	CodeEndpointFailed   Code = "endpoint_failed"
	CodeNotReady         Code = "not_ready"
	CodeClaimUnavailable Code = "claims_unavailable"
	CodeInProgress       Code = "in_progress"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeAnswerNotKept    Code = "answer_not_kept"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeCallerGone       Code = "caller_gone"
)

// OutcomeWord says whether the request had an effect.
type OutcomeWord string

// The outcomes of a request that was not served.
const (
	// OutcomeNotRun: the request certainly had no effect.
	OutcomeNotRun OutcomeWord = "not_run"
	// OutcomeUnknown: the request may have had its effect.
	OutcomeUnknown OutcomeWord = "outcome_unknown"
	// OutcomeRan: the request ran once before; its answer is not at hand.
	OutcomeRan OutcomeWord = "ran"
)

const (
	headerRequestID = "X-Request-Id"
	headerOutcome   = "X-Outcome"
	headerDeadline  = "X-Deadline-Ms"
	headerClass     = "X-Request-Class"
	headerIdempKey  = "Idempotency-Key"
	headerRetry     = "Retry-After"
)

// apiError is an error answer to a caller.
type apiError struct {
	status  int
	code    Code
	outcome OutcomeWord
	message string
	// retryAfter is when the request may be tried again; 0 when trying again will not help.
	retryAfter time.Duration
}

// notRun returns the error answer to a request that certainly did not run.
func notRun(status int, code Code, message string, retryAfter time.Duration) *apiError {
	return &apiError{status: status, code: code, outcome: OutcomeNotRun, message: message, retryAfter: retryAfter}
}

// unknown returns the error answer to a request that may have run.
func unknown(message string) *apiError {
	return &apiError{
		status:  http.StatusBadGateway,
		code:    CodeOutcomeUnknown,
		outcome: OutcomeUnknown,
		message: message,
	}
}

// errorDocument is the body of an error answer, in the form that clients of chat completions know.
type errorDocument struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string      `json:"message"`
	Type         string      `json:"type"`
	Code         Code        `json:"code"`
	Outcome      OutcomeWord `json:"outcome"`
	RequestID    string      `json:"request_id"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

func (e *apiError) document(requestID string) []byte {
	kind := "server_error"
	if e.status < http.StatusInternalServerError && e.status != http.StatusTooManyRequests {
		kind = "invalid_request_error"
	}
	body, _ := json.Marshal(errorDocument{Error: errorDetail{
		Message:      e.message,
		Type:         kind,
		Code:         e.code,
		Outcome:      e.outcome,
		RequestID:    requestID,
		RetryAfterMS: e.retryAfter.Milliseconds(),
	}})
	return append(body, '\n')
}

// write sends the error answer.
func (e *apiError) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, requestID)
	h.Set(headerOutcome, string(e.outcome))
	if e.retryAfter > 0 {
		h.Set(headerRetry, strconv.FormatInt(wholeSeconds(e.retryAfter), 10))
	}
	w.WriteHeader(e.status)
	_, _ = w.Write(e.document(requestID))
}

// wholeSeconds rounds up, since Retry-After counts whole seconds and must not be too early.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// refusalAnswer is how a refusal by reason is told to the caller.
type refusalAnswer struct {
	status  int
	code    Code
	message string
}

// refusalAnswers maps reasons to answers. All of them are "not run" and may be tried again.
var refusalAnswers = map[wirepb.RefusalReason]refusalAnswer{
	wirepb.RefusalReason_QUEUE_FULL:           {http.StatusTooManyRequests, CodeOverloaded, "the queue is full"},
	wirepb.RefusalReason_DEADLINE:             {http.StatusServiceUnavailable, CodeDeadline, "cannot be served by the deadline"},
	wirepb.RefusalReason_LEAVING:              {http.StatusServiceUnavailable, CodeNoCapacity, "the endpoint is leaving"},
	wirepb.RefusalReason_NOT_GRANTED:          {http.StatusServiceUnavailable, CodeNoCapacity, "no engine holds the model yet"},
	wirepb.RefusalReason_NO_MEMORY:            {http.StatusServiceUnavailable, CodeNoCapacity, "no engine has room for the model now"},
	wirepb.RefusalReason_LOAD_FAILED:          {http.StatusServiceUnavailable, CodeLoadFailed, "the model could not be loaded"},
	wirepb.RefusalReason_STORE_BUSY:           {http.StatusServiceUnavailable, CodeLoadFailed, "the weight store is busy"},
	wirepb.RefusalReason_NOT_READY:            {http.StatusServiceUnavailable, CodeNotReady, "the endpoint is not ready"},
	wirepb.RefusalReason_ENDPOINT_UNREACHABLE: {http.StatusServiceUnavailable, CodeNoCapacity, "the endpoint does not answer"},
	wirepb.RefusalReason_CANCELLED:            {http.StatusServiceUnavailable, CodeDeadline, "the request was withdrawn"},
	wirepb.RefusalReason_UNKNOWN_TARGET:       {http.StatusServiceUnavailable, CodeNoCapacity, "no endpoint serves the target"},
}

// minRetryAfter is the least time to come back that a refusal names.
const minRetryAfter = time.Second

// refused returns the error answer to a refusal.
func refused(reason wirepb.RefusalReason, retryAfter time.Duration) *apiError {
	a, ok := refusalAnswers[reason]
	if !ok {
		a = refusalAnswers[wirepb.RefusalReason_NOT_READY]
	}
	return notRun(a.status, a.code, a.message, max(retryAfter, minRetryAfter))
}
