package operator

import "time"

// The paths of the API.
const (
	PathPrefix    = "/operator/v1"
	applyPath     = PathPrefix + "/apply"
	labelPath     = PathPrefix + "/label"
	drainPath     = PathPrefix + "/drain"
	objectsPath   = PathPrefix + "/objects"
	operationPath = PathPrefix + "/operation"
	statusPath    = PathPrefix + "/status"
	inForcePath   = PathPrefix + "/inforce"
	processesPath = PathPrefix + "/processes"
)

// The query parameters of the API.
const (
	paramKind     = "kind"
	paramName     = "name"
	paramFormat   = "format"
	paramRevision = "revision"
	paramID       = "id"
)

// formatINI asks objectsPath for INI text in place of JSON.
const formatINI = "ini"

// The bounds of the API.
const (
	// MaxRequestBytes bounds a request's body; some ten thousand declarations fit.
	MaxRequestBytes = 8 << 20
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes = 64 << 20
	// EditTimeout bounds the work on one edit at the entry.
	EditTimeout = 15 * time.Second
)

// ErrorCode names the kind of an error answer.
type ErrorCode string

// The codes of error answers.
const (
	CodeBadRequest     ErrorCode = "bad_request"
	CodeNotFound       ErrorCode = "not_found"
	CodeConflict       ErrorCode = "conflict"
	CodeInvalid        ErrorCode = "invalid"
	CodeUnavailable    ErrorCode = "unavailable"
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"
	CodeInternal       ErrorCode = "internal"
)

// ErrorAnswer is the body of an error answer.
type ErrorAnswer struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Next says what to do about it.
	Next string `json:"next,omitempty"`

	Conflict    *ConflictError       `json:"conflict,omitempty"`
	Invalid     *InvalidError        `json:"invalid,omitempty"`
	Unavailable *UnavailableError    `json:"unavailable,omitempty"`
	Unknown     *OutcomeUnknownError `json:"unknown,omitempty"`
}
