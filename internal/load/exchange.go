package load

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// The headers read from a refusal.
const (
	outcomeHeader    = "X-Outcome"
	retryAfterHeader = "Retry-After"
)

// Result is how one call ended from the caller's point of view.
type Result string

// The results of a call.
const (
	// ResultServed: a complete response with the expected text.
	ResultServed Result = "served"
	// ResultRefused: a response with a status of 300 or above.
	ResultRefused Result = "refused"
	// ResultTruncated: a response that started but was not completed.
	ResultTruncated Result = "truncated"
	// ResultWrong: a complete response with a text other than expected.
	ResultWrong Result = "wrong content"
	// ResultUnreachable: no connection could be made, so nothing was sent.
	ResultUnreachable Result = "no connection"
	// ResultBroken: the connection failed before a response started.
	ResultBroken Result = "no answer"
	// ResultTimeout: no complete response within the timeout.
	ResultTimeout Result = "timed out"
	// ResultUnsent: the call's deadline passed or the run ended before the call could be sent.
	ResultUnsent Result = "not sent"
	// ResultHeld: a call that was still open when the run canceled it.
	ResultHeld Result = "held"
)

// maxMismatchBytes bounds each text of a Mismatch.
const maxMismatchBytes = 100

// Mismatch holds the beginnings of an expected and an actual response text that differ.
type Mismatch struct {
	// Call is the index of the call in the schedule.
	Call int    `json:"call"`
	Want string `json:"want"`
	Got  string `json:"got"`
}

// outcome is the recorded result of a call. Times other than gaps are measured from the planned time.
type outcome struct {
	target *Target
	result Result
	status int
	code   string
	// outcome is the X-Outcome header of a refusal, which states whether the call was executed.
	outcome string
	// retryAfter is set if a refusal has a Retry-After header.
	retryAfter bool

	// mismatch is set for ResultWrong.
	mismatch *Mismatch

	sendLag    time.Duration
	firstByte  time.Duration
	firstToken time.Duration
	whole      time.Duration
	gaps       []time.Duration
}

// latency returns the time that the deadline applies to: the first token of a stream, otherwise the end of the call.
func (o *outcome) latency() time.Duration {
	if o.target.Stream && o.firstToken > 0 {
		return o.firstToken
	}
	return o.whole
}

// exchange performs one call that was planned for the given time.
type exchange struct {
	client  *http.Client
	options *Options
	call    Call
	planned time.Time
	// onFirstToken is called at the first token of a stream.
	onFirstToken func()
}

// run performs the call and waits for its end.
func (e *exchange) run(ctx context.Context) outcome {
	o := outcome{target: e.call.Target, result: ResultUnsent, sendLag: time.Since(e.planned)}
	remaining := e.call.Target.Deadline - o.sendLag
	if e.call.Target.Deadline > 0 && remaining <= 0 {
		return o
	}
	timeoutCtx, cancel := context.WithDeadline(ctx, e.planned.Add(e.options.Timeout))
	defer cancel()
	request, err := newRequest(timeoutCtx, e.options, e.call, remaining)
	if err != nil {
		return o
	}
	response, err := e.client.Do(request)
	o.firstByte = time.Since(e.planned)
	if err != nil {
		o.result = classifyEnd(ctx, timeoutCtx, classifyError(err))
		o.whole = o.firstByte
		return o
	}
	defer func() { _ = response.Body.Close() }() // A close error cannot lose data that was read.
	e.read(ctx, timeoutCtx, response, &o)
	o.whole = time.Since(e.planned)
	return o
}

// read reads the response into o.
func (e *exchange) read(ctx, timeoutCtx context.Context, response *http.Response, o *outcome) {
	o.status = response.StatusCode
	if response.StatusCode >= http.StatusMultipleChoices {
		o.result = ResultRefused
		o.code = errorCode(response)
		o.outcome = response.Header.Get(outcomeHeader)
		o.retryAfter = response.Header.Get(retryAfterHeader) != ""
		return
	}
	var a responseContent
	err := a.read(e.call, http.MaxBytesReader(nil, response.Body, maxAnswerBytes), e.onFirstToken)
	if !a.firstToken.IsZero() {
		o.firstToken = a.firstToken.Sub(e.planned)
	}
	o.gaps = a.gaps
	if err != nil {
		o.result = classifyEnd(ctx, timeoutCtx, ResultTruncated)
		return
	}
	o.result = ResultServed
	if o.mismatch = e.mismatch(a.text.String()); o.mismatch != nil {
		o.result = ResultWrong
	}
}

// mismatch compares the text of a complete response with the expected one.
func (e *exchange) mismatch(got string) *Mismatch {
	if e.options.Expected == nil {
		return nil
	}
	want := e.options.Expected(e.call)
	if got == want {
		return nil
	}
	return &Mismatch{Call: e.call.Index, Want: prefix(want), Got: prefix(got)}
}

// prefix returns at most the first maxMismatchBytes of a text.
func prefix(text string) string { return text[:min(len(text), maxMismatchBytes)] }

// classifyError distinguishes a call that was never sent from one that may have been.
func classifyError(err error) Result {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ResultUnreachable
	}
	return ResultBroken
}

// classifyEnd returns ResultHeld or ResultTimeout if the run or the timeout ended the call, and fallback otherwise.
func classifyEnd(runCtx, timeoutCtx context.Context, fallback Result) Result {
	switch {
	case runCtx.Err() != nil:
		return ResultHeld
	case timeoutCtx.Err() != nil:
		return ResultTimeout
	default:
		return fallback
	}
}
