package load

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Target is one kind of request in a run.
type Target struct {
	// Name is the target's name in the report; it defaults to the model or path.
	Name string
	// Weight is the target's relative share of the requests; 0 means 1.
	Weight float64
	// Class and Deadline are sent in the headers named in Options unless they are empty or 0. The header carries the time
	// remaining when the call is sent. A stream must start before the deadline, any other response must end before it.
	Class    string
	Deadline time.Duration

	// Model is the model of a chat completion of at most MaxTokens tokens, streamed if Stream is set. It is empty for a
	// plain call.
	Model string
	// ServedAs is the model's name at the endpoint ("name@version"); it defaults to Model.
	ServedAs  string
	Stream    bool
	MaxTokens int

	// Path and Method define a plain call with a body of BodyBytes.
	Path      string
	Method    string
	BodyBytes int
}

// The keys accepted by ParseTarget.
const (
	keyWeight   = "weight"
	keyClass    = "class"
	keyDeadline = "deadline"
	keyStream   = "stream"
	keyTokens   = "tokens"
	keyMethod   = "method"
	keyBody     = "body"
	keyName     = "name"
	keyServedAs = "served-as"
)

// ParseTarget parses a target from "MODEL,KEY=VALUE,..." or "/PATH,KEY=VALUE,...", with the keys name, weight, class,
// deadline (a duration), stream (true or false), tokens, served-as, method and body (bytes). Its errors wrap ErrOptions.
func ParseTarget(text string) (Target, error) {
	parts := strings.Split(text, ",")
	target := Target{Model: parts[0]}
	if strings.HasPrefix(parts[0], "/") {
		target = Target{Path: parts[0]}
	}
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		if err := target.set(key, value); err != nil {
			return Target{}, errors.Wrapf(ErrOptions, "target %q: %s: %v", text, key, err)
		}
	}
	checked, err := target.check()
	if err != nil {
		return Target{}, err
	}
	return checked, nil
}

var errUnknownKey = errors.New("allowed: name, weight, class, deadline, stream, tokens, served-as, method, body")

func (t *Target) set(key, value string) (err error) {
	switch key {
	case keyName:
		t.Name = value
	case keyServedAs:
		t.ServedAs = value
	case keyWeight:
		t.Weight, err = strconv.ParseFloat(value, 64)
	case keyClass:
		t.Class = value
	case keyDeadline:
		t.Deadline, err = time.ParseDuration(value)
	case keyStream:
		t.Stream, err = strconv.ParseBool(value)
	case keyTokens:
		t.MaxTokens, err = strconv.Atoi(value)
	case keyMethod:
		t.Method = value
	case keyBody:
		t.BodyBytes, err = strconv.Atoi(value)
	default:
		err = errUnknownKey
	}
	return err
}

func (t Target) check() (Target, error) {
	if (t.Model == "") == (t.Path == "") {
		return t, errors.Wrapf(ErrOptions, "target %q: either a model or a path is required", t.Name)
	}
	if t.Weight < 0 || t.MaxTokens < 0 || t.BodyBytes < 0 || t.Deadline < 0 {
		return t, errors.Wrapf(ErrOptions, "target %q: settings must not be negative", t.Name)
	}
	if t.Weight == 0 {
		t.Weight = 1
	}
	if t.MaxTokens == 0 {
		t.MaxTokens = DefaultMaxTokens
	}
	if t.Method == "" {
		t.Method = http.MethodPost
	}
	if t.ServedAs == "" {
		t.ServedAs = t.Model
	}
	if t.Name == "" {
		t.Name = t.Model + t.Path
	}
	return t, nil
}
