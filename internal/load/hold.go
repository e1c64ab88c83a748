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
	// Streams is how many streams are opened, at the rate of Options, and For how long they are held once all are open.
	// Each target must ask for enough tokens to last that long.
	Streams int
	For     time.Duration
	// AllOpen is called once, when every stream has had its first token or has ended; nil calls nothing.
	AllOpen func()
}

// HoldReport is the result of Hold.
type HoldReport struct {
	Streams int `json:"streams"`
	// Open counts the streams that were open when all had settled, and Lost those of them that ended before the run
	// closed them.
	Open int `json:"open_at_once"`
	Lost int `json:"lost_while_held"`
	// OpenedIn is the time until all had settled and HeldFor the time from then on, in seconds.
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

// Hold opens many streams, keeps all of them open for a time and closes them. It fails like Run.
func Hold(ctx context.Context, options HoldOptions) (HoldReport, error) {
	options, err := options.check()
	if err != nil {
		return HoldReport{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	into := newRecording(options.Targets)
	w := &settling{open: map[int]bool{}}
	r := newRunner(&options.Options, into, w)
	defer r.transport.CloseIdleConnections()

	r.dispatch(ctx)
	w.pending.Wait()
	report := HoldReport{Streams: options.Streams, Open: w.count(), OpenedIn: time.Since(r.start).Seconds()}
	if options.AllOpen != nil {
		options.AllOpen()
	}
	begin := time.Now()
	clock.Pause(ctx, options.For)
	report.Lost = report.Open - w.count()
	report.HeldFor = time.Since(begin).Seconds()
	cancel()
	r.finish()
	report.Report = into.report(&options.Options)
	return report, nil
}

// check derives the run's duration and its bound on calls in flight from the number of streams.
func (o HoldOptions) check() (HoldOptions, error) {
	if o.Streams <= 0 || o.For < 0 {
		return o, errors.Wrap(ErrOptions, "a number of streams above 0 and a time to hold them are wanted")
	}
	if o.Rate == 0 {
		o.Rate = DefaultRate
	}
	o.Burst = 0
	o.Arrivals = ArrivalsConstant
	o.Concurrency = o.Streams
	// Half a gap more, so that the last stream falls within the duration.
	o.Duration = time.Duration((float64(o.Streams) + 0.5) / o.Rate * float64(time.Second))
	// A shorter timeout would cut the streams that are to be held.
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

// settling follows which streams are open and when each has opened or ended.
type settling struct {
	pending sync.WaitGroup

	mu   sync.Mutex
	open map[int]bool
}

func (s *settling) planned(Call) { s.pending.Add(1) }

func (s *settling) opened(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[call.Index] = true
	s.pending.Done()
}

func (s *settling) ended(call Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[call.Index] {
		s.pending.Done()
		return
	}
	delete(s.open, call.Index)
}

// count returns how many streams are open.
func (s *settling) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
