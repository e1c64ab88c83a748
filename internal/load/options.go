package load

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrOptions says that the options of a run are wrong; nothing was sent.
var ErrOptions = errors.New("load: wrong options")

// The defaults of Options.
const (
	DefaultRate        = 10
	DefaultDuration    = 10 * time.Second
	DefaultConcurrency = 1000
	DefaultTimeout     = 2 * time.Minute
	DefaultMaxTokens   = 16
	// DefaultClassHeader takes a class by name, DefaultDeadlineHeader a whole number of milliseconds.
	DefaultClassHeader    = "X-Request-Class"
	DefaultDeadlineHeader = "X-Deadline-Ms"
)

// Arrivals says how planned times follow each other.
type Arrivals string

// The kinds of arrivals.
const (
	// ArrivalsPoisson draws independent gaps, as many independent callers make them.
	ArrivalsPoisson Arrivals = "poisson"
	// ArrivalsConstant sets equal gaps.
	ArrivalsConstant Arrivals = "constant"
)

// Call is one planned request.
type Call struct {
	Index int
	// Target is the one with the index TargetIndex in the options.
	Target      *Target
	TargetIndex int
	// At is the planned time, from the start of the run.
	At time.Duration
	// Message is the text sent; it differs from call to call, so that an answer to another one shows.
	Message string
}

// Options are the settings of a run. A zero takes the default of that name.
type Options struct {
	// URL is the base URL to send to, with a loopback address.
	URL     string
	Targets []Target
	// Rate is the number of requests a second, and Duration the time for which they are planned.
	Rate     float64
	Duration time.Duration
	Arrivals Arrivals
	// Burst is a number of further requests that are all planned for the start.
	Burst int
	// Concurrency bounds the requests in flight. Those that are due while it is reached wait, and their latency grows.
	Concurrency int
	// Timeout bounds one request, from its planned time.
	Timeout time.Duration
	// Seed seeds the gaps and the choice among targets.
	Seed uint64

	// Header is sent with each request.
	Header http.Header
	// ClassHeader and DeadlineHeader name the headers for a target's class and deadline in milliseconds.
	ClassHeader    string
	DeadlineHeader string
	// Expected returns the right text of an answer; nil leaves contents unchecked.
	Expected func(Call) string
}

// check fills in the defaults, or fails with ErrOptions or ErrNotLoopback.
func (o Options) check() (Options, error) {
	if err := checkLoopback(o.URL); err != nil {
		return o, err
	}
	if len(o.Targets) == 0 {
		return o, errors.Wrap(ErrOptions, "no target: a model or a path is wanted")
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
