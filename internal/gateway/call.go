// Package gateway implements the HTTP gateway for client requests. It chooses an endpoint for each request, sends the
// request there directly and makes sure that the client gets exactly one answer: the endpoint's complete response, or a
// refusal that states correctly whether the request may have run.
package gateway

import (
	"context"
	"net/http"
	"time"

	"balsamsail/internal/fleet"
)

// Call is the decoded metadata of a client's request.
type Call struct {
	// ID identifies the request; a client uses a new ID for each retry.
	ID string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens is the length of the prompt; 0 if unknown.
	PromptTokens int
	// Prompt identifies the prompt; it is the same in all tries of a client.
	Prompt string
	// SharedParts are the IDs of the parts of the prompt that other requests may have too, in their order.
	SharedParts []string
	// Timeout is the client's timeout; 0 if the client gave none.
	Timeout time.Duration
	// LastEventID is the last event that the client has, if it resumes a stream, and Resumes the ID of the request that
	// brought the first one; empty if the client does not say.
	LastEventID, Resumes string
}

// Attempt describes one attempt to send a request to an endpoint.
type Attempt struct {
	Address string
	// EndpointID is the endpoint's incarnation that may run the request; another incarnation at the same address
	// refuses it.
	EndpointID string
	// Timeout is the endpoint's timeout for the request.
	Timeout time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// LastEventID is the event after which a stream is resumed; empty for a new stream.
	LastEventID string
}

// Response is the decoded metadata of an endpoint's response.
type Response struct {
	// ID is the request ID that the endpoint echoes.
	ID string
	// Signed is set if the application signed the response; without a signature it may come from any process that
	// listens at the address.
	Signed bool
	// NotRun is set if the endpoint confirms that it did not run the request and will not run it.
	NotRun bool
	// Absent is set if the request did not run because the endpoint hasn't loaded the model or adapter, or is another
	// incarnation.
	Absent bool
	// Incarnation is the endpoint's incarnation; empty if the response doesn't state it.
	Incarnation string
	// StatusMeansNotRun is set for status codes that clients take to mean that the request did not run.
	StatusMeansNotRun bool
	// Encoded is set if the response has a content encoding that was not requested.
	Encoded bool
	// Running and Queued are the endpoint's load; they are valid if HasLoad is set.
	HasLoad         bool
	Running, Queued int
	// Limit is what the endpoint says of the requests that it takes; it is not valid if LimitInvalid is set.
	Limit        fleet.RateLimit
	LimitInvalid bool
}

// isFromAnother reports whether another incarnation than the chosen one has responded at its address. What such a response says of load
// and limit is not of the chosen one, which is gone.
func (r Response) isFromAnother(choice fleet.Choice) bool {
	return r.Incarnation != "" && r.Incarnation != choice.ID
}

// namesOther reports whether a response names another request than the one with the given ID.
func (r Response) namesOther(id string) bool {
	return r.ID != "" && r.ID != id
}

// Codec translates between HTTP messages and the gateway's types.
type Codec interface {
	// ReadCall decodes a client's request.
	ReadCall(r *http.Request) (Call, error)
	// NewRequest returns the request to send to an endpoint.
	NewRequest(ctx context.Context, r *http.Request, body []byte, a Attempt) *http.Request
	// ReadResponse decodes an endpoint's response.
	ReadResponse(resp *http.Response) Response
	// CopyHeader copies the header fields of a response that are forwarded to the client.
	CopyHeader(to, from http.Header)
	// SetRetryAfter sets the time after which the client should retry.
	SetRetryAfter(h http.Header, after time.Duration)
}
