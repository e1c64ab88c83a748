package endpoint

import "time"

// The paths of an engine's administration interface. Failed orders and reads are answered with a JSON error document,
// {"error":{"code","message"}}. Its code distinguishes a definite refusal by the engine from an error of a proxy in
// between.
const (
	PathOrders = "/admin/orders"
	PathState  = "/admin/state"
	PathReport = "/admin/report"
	PathEvents = "/admin/events"
)

// HeaderRequestID carries a request's identifier to an endpoint and, if the endpoint echoes it, back.
const HeaderRequestID = "X-Request-Id"

// HeaderPriority carries a request's class to an engine.
const HeaderPriority = "X-Priority"

// The classes of HeaderPriority.
const (
	PriorityInteractive = "interactive"
	PriorityBatch       = "batch"
)

// The error codes of an engine.
const (
	CodeFenced       = "fenced"
	CodeNoMemory     = "no_memory"
	CodeLoadFailed   = "load_failed"
	CodeUnauthorized = "unauthorized"
	CodeUnavailable  = "unavailable"
	CodeInvalid      = "invalid"
)

// ErrorDocument is the error document that an engine returns for a refused order or read.
type ErrorDocument struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail holds the reason of a refusal.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind string

// The kinds of a CacheEvent.
const (
	PrefixStored  CacheEventKind = "stored"
	PrefixRemoved CacheEventKind = "removed"
)

// CacheEvent reports that an engine stored a prompt prefix in its cache or removed it. Events may be delayed or lost.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation; a gap shows that events are missing.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Model    string         `json:"model"`
	// Prefix identifies the content of the prefix.
	Prefix string    `json:"prefix"`
	At     time.Time `json:"at"`
}

// CacheEvents is the response to a read of the events after a sequence number.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
