package load

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"balsamsail/internal/clock"
	"balsamsail/internal/texttable"
)

// HoldOptions are the settings of Hold.
type HoldOptions struct {
	Options
	// Streams is the number of streams opened at the rate of Options, and For the time for which they are held once all
	// are open. Each target must request enough tokens to last that long.
	Streams int
	For     time.Duration
	// OnAllOpen, if not nil, is called once every stream has received its first token or has ended.
	OnAllOpen func()
}

// HoldReport is the result of Hold.
type HoldReport struct {
	Streams int `json:"streams"`
	// Open is the number of streams open once each had received its first token or had ended. Lost is the number of those
	// that ended before the run canceled them.
	Open int `json:"open_at_once"`
	Lost int `json:"lost_while_held"`
	// OpenedIn is the time until each stream had received its first token or had ended, and HeldFor the time from then
	// until the run canceled them, in seconds.
	OpenedIn float64 `json:"opened_in_seconds"`
	HeldFor  float64 `json:"held_seconds"`
	Report
}

// Write writes the report as text.
func (r HoldReport) Write(w io.Writer) error {
	t := texttable.New(w)
	t.Row("streams\t%d\topen at once\t%d\tlost while held\t%d", r.Streams, r.Open, r.Lost)
	t.Row("opened in\t%.3f s\theld for\t%.3f s", r.OpenedIn, r.HeldFor)
	if err := t.Flush(); err != nil {
		return outputError(err)
	}
	return r.Report.Write(w)
}

// Hold opens many streams, keeps them open for a time and then cancels them. Its errors are those of Run.
func Hold(ctx context.Context, options HoldOptions) (HoldReport, error) {
	options, err := options.check()
	if err != nil {
		return HoldReport{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stats := newRunStats(options.Targets)
	w := &streamTracker{open: map[int]bool{}}
	r := newRunner(&options.Options, stats, w)
	defer r.transport.CloseIdleConnections()

	r.dispatch(ctx)
	w.pending.Wait()
	report := HoldReport{Streams: options.Streams, Open: w.count(), OpenedIn: time.Since(r.start).Seconds()}
	if options.OnAllOpen != nil {
		options.OnAllOpen()
	}
	begin := time.Now()
	clock.Pause(ctx, options.For)
	report.Lost = report.Open - w.count()
	report.HeldFor = time.Since(begin).Seconds()
	cancel()
	r.finish()
	report.Report = stats.report(&options.Options)
	return report, nil
}

// check derives the duration, concurrency and timeout of the run from the number of streams.
func (o HoldOptions) check() (HoldOptions, error) {
	if o.Streams <= 0 || o.For < 0 {
		return o, errors.Wrap(ErrOptions, "the number of streams must be positive and the hold time must not be negative")
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	o.Burst = 0
	o.Arrivals = ArrivalsConstant
	o.Concurrency = o.Streams
	// Half an interval more, so that the last stream falls within the duration.
	o.Duration = time.Duration((float64(o.Streams) + 0.5) / o.Rate * float64(time.Second))
	// A shorter timeout would abort the streams while they are held.
	o.Timeout = max(o.Timeout, o.Duration+o.For+DefaultTimeout)
	checked, err := o.Options.check()
	o.Options = checked
	for _, target := range o.Targets {
		if !target.Stream {
			return o, errors.Wrapf(ErrOptions, "target %q is not a stream", target.Name)
		}
	}
	return o, err
}

// streamTracker tracks the open streams and the streams that have neither opened nor ended yet.
type streamTracker struct {
	pending sync.WaitGroup

	mu   sync.Mutex
	open map[int]bool
}

func (s *streamTracker) planned(Call) { s.pending.Add(1) }

func (s *streamTracker) opened(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[call.Index] = true
	s.pending.Done()
}

func (s *streamTracker) ended(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[call.Index] {
		s.pending.Done()
		return
	}
	delete(s.open, call.Index)
}

// count returns how many streams are open.
func (s *streamTracker) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
