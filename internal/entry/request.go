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

// request is one caller's request on its way.
type request struct {
	id       string
	target   admission.Target
	class    wirepb.Class
	deadline time.Time
	received time.Time
	// stream is set when the first bytes of the answer meet the deadline.
	stream     bool
	idempotent bool
	method     string
	path       string
	headers    []*wirepb.Header
	caller     string
	// body is the first part of the body. The others, if any, are kept here, or come as rest from the caller and can be
	// sent once only. length is the whole length, -1 when not known.
	body   []byte
	kept   []byte
	rest   io.Reader
	length int64
	// broken is why the rest of the body could not be read.
	broken atomic.Pointer[apiError]
}

// isWhole reports whether body is all of the body.
func (rq *request) isWhole() bool { return rq.rest == nil && len(rq.kept) == 0 }

// breakBody notes that the rest of the body could not be read.
func (rq *request) breakBody(err error) {
	if body, ok := rq.rest.(*callerBody); ok {
		rq.broken.Store(body.refusal(err))
	}
}

// orBroken is the error answer to the request: that its own body broke, if it did, with what is known of its outcome.
func (rq *request) orBroken(otherwise *apiError) *apiError {
	broken := rq.broken.Load()
	if broken == nil {
		return otherwise
	}
	answer := *broken
	answer.outcome = otherwise.outcome
	return &answer
}

// chatFields are the fields of a chat completion that routing needs.
type chatFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

const (
	classInteractive = "interactive"
	classBatch       = "batch"
)

// deadlines are the deadlines of requests that name none.
type deadlines struct {
	interactive, batch time.Duration
}

// classAndDeadline reads a caller's class and deadline, or the declared defaults.
func (e *Entry) classAndDeadline(h http.Header, d deadlines, now time.Time) (wirepb.Class, time.Time, *apiError) {
	class := wirepb.Class_INTERACTIVE
	left := d.interactive
	switch h.Get(headerClass) {
	case "", classInteractive:
	case classBatch:
		class = wirepb.Class_BATCH
		left = d.batch
	default:
		return 0, time.Time{}, badRequest(headerClass + " must be " + classInteractive + " or " + classBatch)
	}
	text := h.Get(headerDeadline)
	if text == "" {
		return class, now.Add(left), nil
	}
	most := e.options.MaxDeadline.Milliseconds()
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > most {
		message := headerDeadline + " must be a whole number of milliseconds from 1 to " + strconv.FormatInt(most, 10)
		return 0, time.Time{}, badRequest(message)
	}
	return class, now.Add(time.Duration(ms) * time.Millisecond), nil
}

func badRequest(message string) *apiError {
	return notRun(http.StatusBadRequest, CodeBadRequest, message, 0)
}

// chatTarget resolves the model of a chat completion and returns the body as the engine gets it.
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
	served := resolved.Model
	if resolved.Adapter != "" {
		served = resolved.Adapter
	}
	if served == fields.Model {
		return target, fields, body, nil
	}
	rewritten, err := replaceModel(body, served)
	if err != nil {
		return admission.Target{}, fields, nil, badRequest("the body is not a JSON object")
	}
	return target, fields, rewritten, nil
}

// replaceModel sets the field model of a JSON object and leaves all others as they are.
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

// forwardedHeaders are the caller's header fields that the endpoint gets.
func forwardedHeaders(h http.Header) []*wirepb.Header {
	var list []*wirepb.Header
	for name, values := range h {
		if hopByHop[name] || ownHeaders[name] {
			continue
		}
		for _, value := range values {
			list = append(list, &wirepb.Header{Name: name, Value: value})
		}
	}
	return list
}

// ownHeaders are header fields that this system reads or sets itself.
var ownHeaders = map[string]bool{
	"X-Request-Id":    true,
	"X-Deadline-Ms":   true,
	"X-Request-Class": true,
	"Content-Length":  true,
	"Host":            true,
	"Accept-Encoding": true,
}

// callerKey names a caller for fairness: a hash of its credentials, or of its address.
func callerKey(r *http.Request) string {
	source := r.Header.Get("Authorization")
	if source == "" {
		source, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, source)
	return strconv.FormatUint(h.Sum64(), 36)
}

// servicePath is the path and query as the plain service gets them: without the declared prefix, and otherwise as the
// caller wrote them. Where the caller wrote the prefix itself with escapes, the rest is escaped anew.
func servicePath(r *http.Request, prefix string) string {
	rest, found := strings.CutPrefix(r.URL.EscapedPath(), prefix)
	if !found {
		rest = (&url.URL{Path: strings.TrimPrefix(r.URL.Path, prefix)}).EscapedPath()
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
