package load

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrOptions reports invalid options of a run; nothing was sent.
var ErrOptions = errors.New("load: invalid options")

// The defaults of Options.
const (
	DefaultRate        = 10
	DefaultDuration    = 10 * time.Second
	DefaultConcurrency = 1000
	DefaultTimeout     = 2 * time.Minute
	DefaultMaxTokens   = 16
	// DefaultClassHeader carries the name of a class, DefaultDeadlineHeader a whole number of milliseconds.
	DefaultClassHeader    = "X-Request-Class"
	DefaultDeadlineHeader = "X-Deadline-Ms"
)

// Arrivals is the arrival process of planned requests.
type Arrivals string

// The arrival processes.
const (
	// ArrivalsPoisson draws independent, exponentially distributed gaps, as many independent callers produce.
	ArrivalsPoisson Arrivals = "poisson"
	// ArrivalsConstant uses equal gaps.
	ArrivalsConstant Arrivals = "constant"
)

// Call is one planned request.
type Call struct {
	Index int
	// Target is Options.Targets[TargetIndex].
	Target      *Target
	TargetIndex int
	// At is the planned time, relative to the start of the run.
	At time.Duration
	// Message is the text sent; it is unique to the call, so that a response to another call can be detected.
	Message string
}

// Options are the settings of a run. Zero values are replaced by the defaults.
type Options struct {
	// URL is the base URL to send to, with a loopback address.
	URL     string
	Targets []Target
	// Rate is the number of requests per second, and Duration the time for which they are planned.
	Rate     float64
	Duration time.Duration
	Arrivals Arrivals
	// Burst is the number of additional requests planned for the start of the run.
	Burst int
	// Concurrency bounds the requests in flight. Requests beyond it wait, which counts towards their latency.
	Concurrency int
	// Timeout bounds one request, from its planned time.
	Timeout time.Duration
	// Seed seeds the random gaps and the choice of targets.
	Seed uint64

	// Header is sent with each request.
	Header http.Header
	// ClassHeader and DeadlineHeader name the headers for a target's class and deadline in milliseconds.
	ClassHeader    string
	DeadlineHeader string
	// Expected returns the expected text of a response; nil disables the check.
	Expected func(Call) string
}

// check fills in the defaults, or fails with ErrOptions or ErrNotLoopback.
func (o Options) check() (Options, error) {
	if err := checkLoopback(o.URL); err != nil {
		return o, err
	}
	if len(o.Targets) == 0 {
		return o, errors.Wrap(ErrOptions, "no target: a model or a path is required")
	}
	if o.Rate < 0 || o.Duration < 0 || o.Burst < 0 || o.Concurrency < 0 || o.Timeout < 0 {
		return o, errors.Wrap(ErrOptions, "rate, duration, burst, concurrency and timeout must not be negative")
	}
	o.setDefaults()
	if o.Arrivals != ArrivalsPoisson && o.Arrivals != ArrivalsConstant {
		return o, errors.Wrapf(ErrOptions, "arrivals %q (allowed: poisson, constant)", string(o.Arrivals))
	}
	targets := make([]Target, len(o.Targets))
	for i, target := range o.Targets {
		checked, err := target.check()
		if err != nil {
			return o, err
		}
		targets[i] = checked
	}
	o.Targets = targets
	return o, nil
}

func (o *Options) setDefaults() {
	if o.Rate == 0 && o.Burst == 0 {
		o.Rate = DefaultRate
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Concurrency == 0 {
		o.Concurrency = DefaultConcurrency
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Arrivals == "" {
		o.Arrivals = ArrivalsPoisson
	}
	if o.ClassHeader == "" {
		o.ClassHeader = DefaultClassHeader
	}
	if o.DeadlineHeader == "" {
		o.DeadlineHeader = DefaultDeadlineHeader
	}
}
