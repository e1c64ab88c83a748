package operator

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Instructions for operators on how to proceed after an error.
const (
	nextConflict    = "read the declarations again, merge your change, and apply it with the new base revision"
	nextInvalid     = "mend the text at the places named, and apply it again"
	nextUnavailable = "nothing was changed: try again later"
	nextUnknown     = "look the operation up by its identifier before you apply the edit again"
)

// writeError writes the status and body for an error.
func writeError(w http.ResponseWriter, err error) {
	status, answer := errorResponse(err)
	if u := answer.Unavailable; u != nil && u.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(u.RetryAfter.Seconds()))))
	}
	writeJSON(w, status, answer)
}

func errorResponse(err error) (int, ErrorResponse) {
	answer := ErrorResponse{Message: err.Error()}
	switch {
	case errors.As(err, &answer.Conflict):
		answer.Code, answer.Next = CodeConflict, nextConflict
		return http.StatusConflict, answer
	case errors.As(err, &answer.Invalid):
		answer.Code, answer.Next = CodeInvalid, nextInvalid
		return http.StatusUnprocessableEntity, answer
	case errors.As(err, &answer.Unavailable):
		answer.Code, answer.Next = CodeUnavailable, nextUnavailable
		return http.StatusServiceUnavailable, answer
	case errors.As(err, &answer.Unknown):
		answer.Code, answer.Next = CodeOutcomeUnknown, nextUnknown
		return http.StatusGatewayTimeout, answer
	case errors.Is(err, ErrNotFound):
		answer.Code = CodeNotFound
		return http.StatusNotFound, answer
	case errors.Is(err, ErrRequest):
		answer.Code = CodeBadRequest
		return http.StatusBadRequest, answer
	default:
		answer.Code = CodeInternal
		return http.StatusInternalServerError, answer
	}
}

// responseError is the inverse of errorResponse, for the client.
func responseError(answer ErrorResponse, retryAfter string) error {
	switch {
	case answer.Code == CodeConflict && answer.Conflict != nil:
		return answer.Conflict
	case answer.Code == CodeInvalid && answer.Invalid != nil:
		return answer.Invalid
	case answer.Code == CodeUnavailable && answer.Unavailable != nil:
		if seconds, err := strconv.Atoi(retryAfter); err == nil {
			answer.Unavailable.RetryAfter = time.Duration(seconds) * time.Second
		}
		return answer.Unavailable
	case answer.Code == CodeOutcomeUnknown && answer.Unknown != nil:
		return answer.Unknown
	case answer.Code == CodeNotFound:
		return errors.Wrap(ErrNotFound, answer.Message)
	case answer.Code == CodeBadRequest:
		return errors.Wrap(ErrRequest, answer.Message)
	case answer.Code == CodeInternal:
		return errors.Wrap(ErrInternal, answer.Message)
	default:
		return errors.Wrapf(ErrResponse, "error code %q", string(answer.Code))
	}
}
