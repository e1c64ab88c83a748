package endpoint

import "time"

// The paths of an engine's administration interface. Orders and reads that fail are answered with a refusal document,
// {"error":{"code","message"}}, whose code tells a definite refusal from an answer of something in between.
const (
	PathOrders = "/admin/orders"
	PathState  = "/admin/state"
	PathReport = "/admin/report"
	PathEvents = "/admin/events"
)

// HeaderRequestID carries a request's identifier to an endpoint and, where the endpoint echoes it, back.
const HeaderRequestID = "X-Request-Id"

// HeaderPriority carries a request's class to an engine.
const HeaderPriority = "X-Priority"

// The classes of HeaderPriority.
const (
	PriorityInteractive = "interactive"
	PriorityBatch       = "batch"
)

// The codes of an engine's refusals.
const (
	CodeFenced       = "fenced"
	CodeNoMemory     = "no_memory"
	CodeLoadFailed   = "load_failed"
	CodeUnauthorized = "unauthorized"
	CodeUnavailable  = "unavailable"
	CodeInvalid      = "invalid"
)

// Refusal is the body of a refusal.
type Refusal struct {
	Error RefusalDetail `json:"error"`
}

// RefusalDetail names the reason of a refusal.
type RefusalDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// CacheEventKind says what happened to a cached prefix.
type CacheEventKind string

// The kinds of a CacheEvent.
const (
	PrefixStored  CacheEventKind = "stored"
	PrefixRemoved CacheEventKind = "removed"
)

// CacheEvent tells that an engine stored a prompt prefix in its cache or removed it. Events come late, and some never.
type CacheEvent struct {
	// Sequence rises by one with each event of an incarnation; a jump shows that events are missing.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Model    string         `json:"model"`
	// Prefix identifies the prefix's content.
	Prefix string    `json:"prefix"`
	At     time.Time `json:"at"`
}

// CacheEvents is the answer to a read of the events after a sequence number.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
