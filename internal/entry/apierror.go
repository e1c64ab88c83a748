package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"balsamsail/internal/wire/wirepb"
)

// Code is the stable code of an error response; docs/ERRORS.md documents each code for callers.
type Code string

// Error codes.
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

// Outcome states whether the request had an effect.
type Outcome string

// Outcomes of a request that was not served.
const (
	// OutcomeNotRun means that the request certainly had no effect.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have had its effect.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeRan means that the request ran before and its response is not available.
	OutcomeRan Outcome = "ran"
)

const (
	headerRequestID = "X-Request-Id"
	headerOutcome   = "X-Outcome"
	headerDeadline  = "X-Deadline-Ms"
	headerClass     = "X-Request-Class"
	headerIdempKey  = "Idempotency-Key"
	headerRetry     = "Retry-After"
)

// apiError is an error response to a caller.
type apiError struct {
	status  int
	code    Code
	outcome Outcome
	message string
	// retryAfter is the delay before the request may be retried; 0 when a retry will not help.
	retryAfter time.Duration
}

// notRun returns the error response to a request that certainly did not run.
func notRun(status int, code Code, message string, retryAfter time.Duration) *apiError {
	return &apiError{status: status, code: code, outcome: OutcomeNotRun, message: message, retryAfter: retryAfter}
}

// outcomeUnknown returns the error response to a request that may have run.
func outcomeUnknown(message string) *apiError {
	return &apiError{
		status:  http.StatusBadGateway,
		code:    CodeOutcomeUnknown,
		outcome: OutcomeUnknown,
		message: message,
	}
}

// errorDocument is the body of an error response, in the format of chat completion APIs.
type errorDocument struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Code         Code    `json:"code"`
	Outcome      Outcome `json:"outcome"`
	RequestID    string  `json:"request_id"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
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

// write sends the error response.
func (e *apiError) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, requestID)
	h.Set(headerOutcome, string(e.outcome))
	if e.retryAfter > 0 {
		h.Set(headerRetry, strconv.FormatInt(ceilSeconds(e.retryAfter), 10))
	}
	w.WriteHeader(e.status)
	_, _ = w.Write(e.document(requestID))
}

// ceilSeconds rounds up to whole seconds, because Retry-After has that unit and must not be too early.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// refusalResponse is the error response for a refusal reason.
type refusalResponse struct {
	status  int
	code    Code
	message string
}

// refusalResponses maps refusal reasons to error responses. In all of them the request did not run and may be retried.
var refusalResponses = map[wirepb.RefusalReason]refusalResponse{
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

// minRetryAfter is the minimum Retry-After of a refusal.
const minRetryAfter = time.Second

// refusalError returns the error response to a refusal.
func refusalError(reason wirepb.RefusalReason, retryAfter time.Duration) *apiError {
	a, ok := refusalResponses[reason]
	if !ok {
		a = refusalResponses[wirepb.RefusalReason_NOT_READY]
	}
	return notRun(a.status, a.code, a.message, max(retryAfter, minRetryAfter))
}
