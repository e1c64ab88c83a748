package load

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// The headers that are read of a refusal.
const (
	outcomeHeader = "X-Outcome"
	retryHeader   = "Retry-After"
)

// Result is how one call ended, as its caller saw it.
type Result string

// The results of a call.
const (
	// ResultServed: a whole answer with the expected text.
	ResultServed Result = "served"
	// ResultRefused: an answer with a status of 300 and above.
	ResultRefused Result = "refused"
	// ResultTruncated: an answer that began and was not completed.
	ResultTruncated Result = "truncated"
	// ResultWrong: a whole answer with another text than expected.
	ResultWrong Result = "wrong content"
	// ResultUnreachable: no connection could be made, so nothing was sent.
	ResultUnreachable Result = "no connection"
	// ResultBroken: the connection broke before an answer began.
	ResultBroken Result = "no answer"
	// ResultTimeout: no whole answer within the timeout.
	ResultTimeout Result = "timed out"
	// ResultUnsent: the call's deadline or the run was over before it could be sent.
	ResultUnsent Result = "not sent"
	// ResultHeld: a call that was still open when the run closed it.
	ResultHeld Result = "held"
)

// maxMismatchBytes bounds each text of a Mismatch.
const maxMismatchBytes = 100

// Mismatch shows how an answer differs from the expected one, by the beginning of both.
type Mismatch struct {
	// Call is the index of the call in the plan.
	Call int    `json:"call"`
	Want string `json:"want"`
	Got  string `json:"got"`
}

// outcome is what is recorded of a call. Times count from the planned time, but for those that say otherwise.
type outcome struct {
	target *Target
	result Result
	status int
	code   string
	// outcome is what a refusal says of the call's effect.
	outcome string
	// comeBack is set when a refusal says when to try again.
	comeBack bool

	// mismatch is set for ResultWrong.
	mismatch *Mismatch

	lag        time.Duration
	firstByte  time.Duration
	firstToken time.Duration
	whole      time.Duration
	gaps       []time.Duration
}

// answered returns when the caller had what the deadline is about.
func (o *outcome) answered() time.Duration {
	if o.target.Stream && o.firstToken > 0 {
		return o.firstToken
	}
	return o.whole
}

// exchange makes one call that was planned for the given time.
type exchange struct {
	client  *http.Client
	options *Options
	call    Call
	planned time.Time
	// opened is called at the first token of a stream.
	opened func()
}

// run makes the call and waits for its end.
func (e *exchange) run(ctx context.Context) outcome {
	o := outcome{target: e.call.Target, result: ResultUnsent, lag: time.Since(e.planned)}
	left := e.call.Target.Deadline - o.lag
	if e.call.Target.Deadline > 0 && left <= 0 {
		return o
	}
	timed, cancel := context.WithDeadline(ctx, e.planned.Add(e.options.Timeout))
	defer cancel()
	request, err := newRequest(timed, e.options, e.call, left)
	if err != nil {
		return o
	}
	response, err := e.client.Do(request)
	o.firstByte = time.Since(e.planned)
	if err != nil {
		o.result = endedBy(ctx, timed, resultOf(err))
		o.whole = o.firstByte
		return o
	}
	defer func() { _ = response.Body.Close() }() // Only read from: closing cannot lose anything.
	e.read(ctx, timed, response, &o)
	o.whole = time.Since(e.planned)
	return o
}

// read reads the answer into o.
func (e *exchange) read(ctx, timed context.Context, response *http.Response, o *outcome) {
	o.status = response.StatusCode
	if response.StatusCode >= http.StatusMultipleChoices {
		o.result = ResultRefused
		o.code = errorCode(response)
		o.outcome = response.Header.Get(outcomeHeader)
		o.comeBack = response.Header.Get(retryHeader) != ""
		return
	}
	var a answer
	err := a.read(e.call, response.Body, e.opened)
	if !a.firstToken.IsZero() {
		o.firstToken = a.firstToken.Sub(e.planned)
	}
	o.gaps = a.gaps
	if err != nil {
		o.result = endedBy(ctx, timed, ResultTruncated)
		return
	}
	o.result = ResultServed
	if o.mismatch = e.mismatch(a.text.String()); o.mismatch != nil {
		o.result = ResultWrong
	}
}

// mismatch compares the text of a whole answer with the expected one.
func (e *exchange) mismatch(got string) *Mismatch {
	if e.options.Expected == nil {
		return nil
	}
	want := e.options.Expected(e.call)
	if got == want {
		return nil
	}
	return &Mismatch{Call: e.call.Index, Want: beginning(want), Got: beginning(got)}
}

// beginning returns the first part of a text.
func beginning(text string) string { return text[:min(len(text), maxMismatchBytes)] }

// resultOf tells a call that was never sent from one that may have been.
func resultOf(err error) Result {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ResultUnreachable
	}
	return ResultBroken
}

// endedBy tells an end that the run itself caused from one that the system did.
func endedBy(run, timed context.Context, otherwise Result) Result {
	switch {
	case run.Err() != nil:
		return ResultHeld
	case timed.Err() != nil:
		return ResultTimeout
	default:
		return otherwise
	}
}
