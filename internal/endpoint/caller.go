package endpoint

import (
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/sendonce"
)

// CallerOptions are the settings of a Caller. Zero values select the defaults given in parentheses.
type CallerOptions struct {
	// EchoesRequestID means that the endpoint returns each request's HeaderRequestID. An answer with a different or no
	// identifier is then rejected with ErrWrongAnswer. Without it, nothing shows which call an answer belongs to, and each
	// call makes a new connection.
	EchoesRequestID bool
	// DialTimeout bounds connection setup (2 seconds).
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept (30 seconds). It should be shorter than the endpoint's own
	// idle timeout: a call on a connection that the endpoint is just closing has an unknown outcome.
	IdleTimeout time.Duration
	// FreshConnections makes a new connection for each call, which rules out calls on a connection that is being
	// closed.
	FreshConnections bool
}

type httpCaller struct {
	base            *url.URL
	echoesRequestID bool
	client          *sendonce.Client
	// single uses a new connection for each call, and refused holds the identifiers of requests that have to be sent so.
	single  *sendonce.Client
	refused recentIDs
}

// NewHTTPCaller returns a caller of the endpoint at a base URL. Redirects are returned like any other answer. It fails
// with ErrInvalid if the URL does not consist of just a scheme and a host.
func NewHTTPCaller(baseURL string, o CallerOptions) (Caller, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, wrapKind(ErrInvalid, err)
	}
	if base.Host == "" || (base.Path != "" && base.Path != "/") {
		return nil, wrapKind(ErrInvalid, errors.Errorf("base URL %q: need scheme and host, and no path", baseURL))
	}
	transport := sendonce.NewTransport()
	if o.DialTimeout > 0 {
		transport.DialContext = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if o.IdleTimeout > 0 {
		transport.IdleConnTimeout = o.IdleTimeout
	}
	transport.DisableKeepAlives = o.FreshConnections || !o.EchoesRequestID
	single := transport.Clone()
	single.DisableKeepAlives = true
	return &httpCaller{base: base, echoesRequestID: o.EchoesRequestID, client: sendonce.New(transport), single: sendonce.New(single)}, nil
}

// Call implements Caller. It also returns ErrUnreachable if a reused connection broke before a byte was sent. An answer
// with another request's identifier is discarded together with its connection, so that it cannot reach the wrong
// caller. A request that is sent again after a failure status has a new connection, since a late copy of that answer would
// carry its identifier.
func (c *httpCaller) Call(req *http.Request) (*http.Response, error) {
	target := *req.URL
	target.Scheme = c.base.Scheme
	target.Host = c.base.Host
	out := req.WithContext(req.Context())
	out.URL = &target
	out.RequestURI = ""
	id := req.Header.Get(HeaderRequestID)
	client := c.client
	if id == "" || c.refused.contains(id) {
		client = c.single
	}
	result, err := client.Do(out)
	if err != nil {
		return nil, callError(result, err)
	}
	if got := result.Response.Header.Get(HeaderRequestID); c.echoesRequestID && id != "" && got != id {
		result.Discard()
		return nil, wrapKind(ErrWrongAnswer, errors.Errorf("request %q was answered as %q", id, got))
	}
	if result.Response.StatusCode >= http.StatusBadRequest {
		c.refused.add(id)
	}
	return result.Response, nil
}

// maxRecentIDs is the number of identifiers that are kept. It is far more than the requests that an endpoint refuses while one
// of them may be sent again.
const maxRecentIDs = 4096

// recentIDs holds the identifiers that were added last. It may be used concurrently.
type recentIDs struct {
	mu   sync.Mutex
	set  map[string]bool
	ring [maxRecentIDs]string
	next int
}

func (r *recentIDs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set[id] {
		return
	}
	if r.set == nil {
		r.set = make(map[string]bool)
	}
	delete(r.set, r.ring[r.next])
	r.ring[r.next], r.set[id] = id, true
	r.next = (r.next + 1) % maxRecentIDs
}

func (r *recentIDs) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set[id]
}
