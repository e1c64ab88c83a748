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

// formatINI requests INI text instead of JSON from objectsPath.
const formatINI = "ini"

// Limits of the API.
const (
	// MaxRequestBytes bounds a request's body; it allows about ten thousand declarations.
	MaxRequestBytes = 8 << 20
	// MaxResponseBytes bounds a response's body.
	MaxResponseBytes = 64 << 20
	// EditTimeout bounds the execution of one edit at the entry.
	EditTimeout = 15 * time.Second
)

// ErrorCode is the kind of an error response.
type ErrorCode string

// The codes of error responses.
const (
	CodeBadRequest     ErrorCode = "bad_request"
	CodeNotFound       ErrorCode = "not_found"
	CodeConflict       ErrorCode = "conflict"
	CodeInvalid        ErrorCode = "invalid"
	CodeUnavailable    ErrorCode = "unavailable"
	CodeOutcomeUnknown ErrorCode = "outcome_unknown"
	CodeInternal       ErrorCode = "internal"
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Next tells the operator how to proceed.
	Next string `json:"next,omitempty"`

	Conflict    *ConflictError       `json:"conflict,omitempty"`
	Invalid     *InvalidError        `json:"invalid,omitempty"`
	Unavailable *UnavailableError    `json:"unavailable,omitempty"`
	Unknown     *OutcomeUnknownError `json:"unknown,omitempty"`
}
