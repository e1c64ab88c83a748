package entry

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"balsamsail/internal/admission"
	"balsamsail/internal/declarations"
	"balsamsail/internal/wire/wirepb"
)

// request is one caller's request while it is being served.
type request struct {
	id       string
	target   admission.Target
	class    wirepb.Class
	deadline time.Time
	received time.Time
	// stream is set when only the first bytes of the response have to meet the deadline.
	stream     bool
	idempotent bool
	method     string
	path       string
	headers    []*wirepb.Header
	caller     string
	// body is the first part of the body. The remainder, if any, is either in buffered, or is read from the caller
	// through rest and can then be sent only once. length is the length of the whole body, -1 when unknown.
	body     []byte
	buffered []byte
	rest     io.Reader
	length   int64
	// bodyErr is set when the rest of the body could not be read.
	bodyErr atomic.Pointer[apiError]
}

// hasFullBody reports whether body holds the complete body.
func (rq *request) hasFullBody() bool { return rq.rest == nil && len(rq.buffered) == 0 }

// failBody records that the rest of the body could not be read.
func (rq *request) failBody(err error) {
	if body, ok := rq.rest.(*callerBody); ok {
		rq.bodyErr.Store(body.readError(err))
	}
}

// bodyErrorOr returns the error that reading the caller's body caused, if any, with the outcome of fallback; otherwise
// it returns fallback.
func (rq *request) bodyErrorOr(fallback *apiError) *apiError {
	bodyErr := rq.bodyErr.Load()
	if bodyErr == nil {
		return fallback
	}
	answer := *bodyErr
	answer.outcome = fallback.outcome
	return &answer
}

// chatFields are the fields of a chat completion that the entry reads for routing.
type chatFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

const (
	classInteractive = "interactive"
	classBatch       = "batch"
)

// deadlines are the default deadlines by class, for requests that set none.
type deadlines struct {
	interactive, batch time.Duration
}

// classAndDeadline returns the class and deadline from a request's headers, or the declared defaults.
func (e *Entry) classAndDeadline(h http.Header, d deadlines, now time.Time) (wirepb.Class, time.Time, *apiError) {
	class := wirepb.Class_INTERACTIVE
	defaultDeadline := d.interactive
	switch h.Get(headerClass) {
	case "", classInteractive:
	case classBatch:
		class = wirepb.Class_BATCH
		defaultDeadline = d.batch
	default:
		return 0, time.Time{}, badRequest(headerClass + " must be " + classInteractive + " or " + classBatch)
	}
	text := h.Get(headerDeadline)
	if text == "" {
		return class, now.Add(defaultDeadline), nil
	}
	maxMillis := e.options.MaxDeadline.Milliseconds()
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxMillis {
		message := headerDeadline + " must be a whole number of milliseconds from 1 to " + strconv.FormatInt(maxMillis, 10)
		return 0, time.Time{}, badRequest(message)
	}
	return class, now.Add(time.Duration(ms) * time.Millisecond), nil
}

func badRequest(message string) *apiError {
	return notRun(http.StatusBadRequest, CodeBadRequest, message, 0)
}

// chatTarget resolves the model of a chat completion and returns the body to send to the engine.
func chatTarget(set *declarations.Set, body []byte) (admission.Target, chatFields, []byte, *apiError) {
	var fields chatFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return admission.Target{}, fields, nil, badRequest("the body is not a chat completion: " + err.Error())
	}
	if fields.Model == "" {
		return admission.Target{}, fields, nil, badRequest("the field model is missing")
	}
	resolved, err := set.Resolve(fields.Model)
	if err != nil {
		message := "model " + strconv.Quote(fields.Model) + " is not declared"
		return admission.Target{}, fields, nil, notRun(http.StatusNotFound, CodeModelNotFound, message, 0)
	}
	target := admission.Target{Model: resolved.Model, Adapter: resolved.Adapter}
	servedName := resolved.Model
	if resolved.Adapter != "" {
		servedName = resolved.Adapter
	}
	if servedName == fields.Model {
		return target, fields, body, nil
	}
	rewritten, err := replaceModel(body, servedName)
	if err != nil {
		return admission.Target{}, fields, nil, badRequest("the body is not a JSON object")
	}
	return target, fields, rewritten, nil
}

// replaceModel sets the field "model" of a JSON object and leaves all other fields unchanged.
func replaceModel(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// forwardedHeaders returns the caller's header fields that are passed on to the endpoint.
func forwardedHeaders(h http.Header) []*wirepb.Header {
	var list []*wirepb.Header
	for name, values := range h {
		if hopByHop[name] || reservedHeaders[name] {
			continue
		}
		for _, value := range values {
			list = append(list, &wirepb.Header{Name: name, Value: value})
		}
	}
	return list
}

// reservedHeaders are the header fields that the entry reads or sets itself; they are not forwarded.
var reservedHeaders = map[string]bool{
	"X-Request-Id":    true,
	"X-Deadline-Ms":   true,
	"X-Request-Class": true,
	"Content-Length":  true,
	"Host":            true,
	"Accept-Encoding": true,
}

// callerKey identifies a caller for fair queueing: a hash of its credentials, or of its address when it sends none.
func callerKey(r *http.Request) string {
	source := r.Header.Get("Authorization")
	if source == "" {
		source, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, source)
	return strconv.FormatUint(h.Sum64(), 36)
}

// slashKept encodes the percent sign of encoded slashes, which so remain encoded when a path is decoded.
var slashKept = strings.NewReplacer("%2F", "%252F", "%2f", "%252F")

// routedPath returns the path by which a call's service is found: decoded except for slashes, because an encoded one belongs to a
// segment and ends no prefix.
func routedPath(r *http.Request) string {
	path, err := url.PathUnescape(slashKept.Replace(r.URL.EscapedPath()))
	if err != nil {
		return r.URL.EscapedPath()
	}
	return path
}

// servicePath returns the path and query to send to the plain service: the segments of the declared prefix are removed and the rest
// is left as the caller wrote it.
func servicePath(r *http.Request, prefix string) string {
	rest := r.URL.EscapedPath()
	for range strings.Count(prefix, "/") {
		_, rest, _ = strings.Cut(rest, "/")
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
