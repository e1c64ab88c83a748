// Package gateway takes clients' requests, chooses the endpoint of each, sends it there directly, and sees to it that the
// client gets one answer: the endpoint's own and whole, or a refusal that says truly whether the request may have run.
package gateway

import (
	"context"
	"net/http"
	"time"
)

// Call is what a client's request says to the system, decoded.
type Call struct {
	// ID names the request; each try of a client has its own.
	ID string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens is the length of the prompt; 0 where it is not told.
	PromptTokens int
	// Patience is how long the client will wait; 0 means that it did not say.
	Patience time.Duration
	// LastEventID is set where the client resumes a stream.
	LastEventID string
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Address string
	// EndpointID is the incarnation that may run it; another one at the same address refuses.
	EndpointID string
	// Left is how long the endpoint may work.
	Left time.Duration
	// Urgency is 0 for the most urgent.
	Urgency int
	// LastEventID is where a stream goes on; empty for its beginning.
	LastEventID string
}

// Answer is what an endpoint's answer says to the system, decoded.
type Answer struct {
	// ID is the request's that is answered, as the endpoint repeats it.
	ID string
	// Signed answers are an application's own; others may come from anything that listens at the address.
	Signed bool
	// NotRun says that the endpoint did not run the request and will not.
	NotRun bool
	// Absent says that it did not because it does not hold the model or adapter, or is another incarnation.
	Absent bool
	// Incarnation is the one that answers, where it is told.
	Incarnation string
	// PromisesNotRun is set for statuses that clients take as a promise that the request did not run.
	PromisesNotRun bool
	// Encoded answers carry a content coding that nobody asked for.
	Encoded bool
	// Running and Queued tell its load, if HasLoad is set.
	HasLoad         bool
	Running, Queued int
}

// Codec translates HTTP messages.
type Codec interface {
	// ReadCall decodes a client's request.
	ReadCall(r *http.Request) (Call, error)
	// NewRequest returns the request as an endpoint should get it.
	NewRequest(ctx context.Context, r *http.Request, body []byte, a Attempt) *http.Request
	// ReadAnswer decodes an endpoint's answer.
	ReadAnswer(resp *http.Response) Answer
	// CopyHeader copies the header fields of an answer that the client should get.
	CopyHeader(to, from http.Header)
	// SetRetryAfter tells the client when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
}
