package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/texttable"
)

// ErrOutput reports that a report could not be written.
var ErrOutput = errors.New("load: writing report failed")

// RefusalCount is the number of refusals with one status, code and outcome.
type RefusalCount struct {
	Status int    `json:"status"`
	Code   string `json:"code,omitempty"`
	// Outcome states whether the call was executed, such as "not_run".
	Outcome string `json:"outcome,omitempty"`
	Count   int    `json:"count"`
}

// Part is the report on one target or on all targets.
type Part struct {
	Name      string         `json:"name"`
	Sent      int            `json:"sent"`
	Served    int            `json:"served"`
	Held      int            `json:"held,omitempty"`
	Refused   int            `json:"refused"`
	Refusals  []RefusalCount `json:"refusals,omitempty"`
	Truncated int            `json:"truncated"`
	Wrong     int            `json:"wrong_content"`
	// Unreachable counts calls that could not connect and were not sent, Broken those whose connection failed before a
	// response.
	Unreachable int `json:"no_connection"`
	Broken      int `json:"no_answer"`
	TimedOut    int `json:"timed_out"`
	Unsent      int `json:"not_sent"`
	// FirstMismatch shows the first response with wrong content.
	FirstMismatch *Mismatch `json:"first_mismatch,omitempty"`
	// Late counts calls that ended with any result after the deadline (for a stream: whose first token was late), and
	// WorstOverrun is the maximum delay past the deadline in milliseconds.
	Late         int     `json:"late"`
	WorstOverrun float64 `json:"worst_overrun_ms"`
	// WithRetryAfter counts refusals with a Retry-After header.
	WithRetryAfter  int     `json:"refused_with_time_to_come_back"`
	ServedPerSecond float64 `json:"served_per_second"`
	TokensPerSecond float64 `json:"tokens_per_second"`

	// SendLag is the delay between the planned and the actual send time.
	SendLag Quantiles `json:"send_lag"`
	// FirstByte is measured from the planned time, FirstByteFromSend from the actual send time.
	FirstByte         Quantiles `json:"first_byte"`
	FirstByteFromSend Quantiles `json:"first_byte_from_send"`
	FirstToken        Quantiles `json:"first_token"`
	BetweenTokens     Quantiles `json:"between_tokens"`
	Whole             Quantiles `json:"whole"`
	// RefusedAfter is the time to the end of a refusal.
	RefusedAfter Quantiles `json:"refused_after"`
}

// Report is the result of a run.
type Report struct {
	URL     string  `json:"url"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"rate"`
	Burst   int     `json:"burst,omitempty"`
	Planned int     `json:"planned"`
	// Elapsed is the time from the start to the end of the last call, in seconds.
	Elapsed float64 `json:"elapsed_seconds"`
	Total   Part    `json:"total"`
	// Targets holds the reports on single targets if there are several.
	Targets []Part `json:"targets,omitempty"`
}

func (r *runStats) report(options *Options) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		URL:     options.URL,
		Seed:    options.Seed,
		Rate:    options.Rate,
		Burst:   options.Burst,
		Planned: r.planned,
		Elapsed: r.elapsed.Seconds(),
		Total:   r.total.part(r.elapsed),
	}
	if len(r.targets) > 1 {
		for _, target := range r.targets {
			report.Targets = append(report.Targets, target.part(r.elapsed))
		}
	}
	return report
}

func (r *targetStats) part(elapsed time.Duration) Part {
	p := Part{
		Name:              r.name,
		Served:            r.counts[ResultServed],
		Held:              r.counts[ResultHeld],
		Refused:           r.counts[ResultRefused],
		Refusals:          r.sortedRefusals(),
		Truncated:         r.counts[ResultTruncated],
		Wrong:             r.counts[ResultWrong],
		Unreachable:       r.counts[ResultUnreachable],
		Broken:            r.counts[ResultBroken],
		TimedOut:          r.counts[ResultTimeout],
		Unsent:            r.counts[ResultUnsent],
		FirstMismatch:     r.mismatch,
		Late:              r.late,
		WorstOverrun:      millis(r.worstOverrun.Microseconds()),
		WithRetryAfter:    r.withRetryAfter,
		SendLag:           r.sendLag.quantiles(),
		FirstByte:         r.firstByte.quantiles(),
		FirstByteFromSend: r.firstByteFromSend.quantiles(),
		FirstToken:        r.firstToken.quantiles(),
		BetweenTokens:     r.betweenTokens.quantiles(),
		Whole:             r.whole.quantiles(),
		RefusedAfter:      r.refusedAfter.quantiles(),
	}
	p.Sent = p.Served + p.Held + p.Refused + p.Truncated + p.Wrong + p.Broken + p.TimedOut
	if elapsed > 0 {
		p.ServedPerSecond = float64(p.Served) / elapsed.Seconds()
		p.TokensPerSecond = float64(r.tokens) / elapsed.Seconds()
	}
	return p
}

// WriteJSON writes a report of any kind as indented JSON.
func WriteJSON(w io.Writer, report any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return outputError(encoder.Encode(report))
}

// Write writes the report as text.
func (r Report) Write(w io.Writer) error {
	t := texttable.New(w)
	t.Row("load of %s: %d planned at %.1f/s and %d at the start, seed %d, %.1f s",
		r.URL, r.Planned, r.Rate, r.Burst, r.Seed, r.Elapsed)
	r.Total.write(t)
	for _, target := range r.Targets {
		t.Row("")
		t.Row("target %s", target.Name)
		target.write(t)
	}
	return outputError(t.Flush())
}

func (p Part) write(t *texttable.Table) {
	t.Row("sent\t%d\tserved\t%d\trefused\t%d\tlate\t%d", p.Sent, p.Served, p.Refused, p.Late)
	t.Row("truncated\t%d\twrong content\t%d\tno answer\t%d\ttimed out\t%d", p.Truncated, p.Wrong, p.Broken, p.TimedOut)
	t.Row("not sent\t%d\tno connection\t%d\theld\t%d", p.Unsent, p.Unreachable, p.Held)
	t.Row("served/s\t%.1f\ttokens/s\t%.1f", p.ServedPerSecond, p.TokensPerSecond)
	for _, refusal := range p.Refusals {
		t.Row("refused\t%d\tstatus\t%d\tcode\t%s\toutcome\t%s",
			refusal.Count, refusal.Status, orPlaceholder(refusal.Code), orPlaceholder(refusal.Outcome))
	}
	if m := p.FirstMismatch; m != nil {
		t.Row("first wrong content: call %d, want %q, got %q", m.Call, m.Want, m.Got)
	}
	if p.Refused > 0 {
		t.Row("refused with a time to come back\t%d", p.WithRetryAfter)
	}
	if p.Late > 0 {
		t.Row("worst overrun of a deadline\t%.3f ms", p.WorstOverrun)
	}
	t.Row("milliseconds\tp50\tp90\tp99\tp99.9\tmax\tcount")
	writeQuantiles(t, "first byte", p.FirstByte)
	writeQuantiles(t, "first byte from send", p.FirstByteFromSend)
	writeQuantiles(t, "first token", p.FirstToken)
	writeQuantiles(t, "between tokens", p.BetweenTokens)
	writeQuantiles(t, "whole answer", p.Whole)
	writeQuantiles(t, "refused after", p.RefusedAfter)
	writeQuantiles(t, "send lag", p.SendLag)
}

// orPlaceholder replaces an empty cell by "-".
func orPlaceholder(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// writeQuantiles writes one distribution unless it is empty.
func writeQuantiles(t *texttable.Table, name string, q Quantiles) {
	if q.Count > 0 {
		t.Row("%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d", name, q.P50, q.P90, q.P99, q.P999, q.Max, q.Count)
	}
}

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrOutput, err.Error())
}
