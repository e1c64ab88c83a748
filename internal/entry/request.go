package entry

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/admission"
	"balsamsail/internal/declarations"
	"balsamsail/internal/wire"
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
	// body is the first part of the body, whole when rest is nil; length is the whole length, -1 when not known.
	body   []byte
	rest   io.Reader
	length int64
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

// readBody reads a bounded body whole, by the request's deadline: a caller that sends slowly must not hold a connection
// for ever.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *apiError) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes", 0)
	}
	if err != nil {
		return nil, badRequest("the body ended early")
	}
	return body, nil
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

// splitBody takes the first part of a service call's body; rest is nil when that was all.
func splitBody(r io.Reader) ([]byte, io.Reader, error) {
	first := make([]byte, wire.ChunkBytes)
	n, err := io.ReadFull(r, first)
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return first[:n], nil, nil
	case err != nil:
		return nil, nil, err
	}
	return first, r, nil
}

// servicePath is the path and query as the plain service gets them: without the declared prefix.
func servicePath(r *http.Request, prefix string) string {
	path := "/" + strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
