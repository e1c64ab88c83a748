package main

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/load"
	"balsamsail/internal/operator"
	"balsamsail/internal/standin/engine"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	options load.Options
	targets targetList
	direct  string
	// directPrefix is stripped from the paths of plain calls that are sent directly to the endpoint.
	directPrefix string
	rounds       int
	hold         int
	holdFor      time.Duration
	check        bool
	format       string
}

// targetList collects the values of a repeated -target flag.
type targetList []load.Target

// String implements flag.Value.
func (l *targetList) String() string { return "" }

// Set implements flag.Value.
func (l *targetList) Set(v string) error {
	target, err := load.ParseTarget(v)
	if err != nil {
		return err
	}
	*l = append(*l, target)
	return nil
}

func (f *loadFlags) register(flags *flag.FlagSet) {
	o := &f.options
	flags.StringVar(&o.URL, "url", "http://127.0.0.1:18080", "base `URL` to send to; loopback only")
	flags.Var(&f.targets, "target", "what to ask for: `MODEL or /PATH,key=value,...` with the keys name, weight, class, deadline, stream, tokens, method, body; may be repeated")
	flags.Float64Var(&o.Rate, "rate", load.DefaultRate, "requests a second")
	flags.DurationVar(&o.Duration, "duration", load.DefaultDuration, "`time` for which requests are sent")
	flags.StringVar((*string)(&o.Arrivals), "arrivals", string(load.ArrivalsPoisson), "`poisson` or constant")
	flags.IntVar(&o.Burst, "burst", 0, "further requests that are all sent at the start")
	flags.IntVar(&o.Concurrency, "concurrency", load.DefaultConcurrency, "most requests in flight; latency counts from the planned time")
	flags.DurationVar(&o.Timeout, "timeout", load.DefaultTimeout, "bound of one request")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of gaps and choices")
	flags.StringVar(&f.direct, "direct", "", "base `URL` of an endpoint: send the same load there in turn and report the time added")
	flags.StringVar(&f.directPrefix, "direct-prefix", "", "path `prefix` that the endpoint itself does not know")
	flags.IntVar(&f.rounds, "rounds", load.DefaultRounds, "rounds of the comparison")
	flags.IntVar(&f.hold, "hold", 0, "open this many streams and hold them open")
	flags.DurationVar(&f.holdFor, "hold-for", load.DefaultDuration, "`time` for which the streams are held")
	flags.BoolVar(&f.check, "check", false, "compare contents with what a stand-in engine answers; give each target served-as where the engine knows it by another name")
	flags.StringVar(&f.format, "o", formatText, "output `format`: text or json")
}

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	f := &loadFlags{}
	f.register(flags)
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "load -url URL -target MODEL,stream=true [-rate R] [-duration D] [-direct URL | -hold N]",
		ShortHelp:  "send a load at planned times and report latencies",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return f.run(ctx)
		},
	}
}

// report is the result of a load run of any kind.
type report interface{ Write(io.Writer) error }

func (f *loadFlags) run(ctx context.Context) error {
	if f.format != formatText && f.format != formatJSON {
		return errors.Wrapf(errUsage, "-o %s: allowed are text, json", f.format)
	}
	f.options.Targets = f.targets
	if f.check {
		f.options.Expected = expectedAnswer
	}
	result, err := f.measure(ctx)
	if errors.Is(err, load.ErrOptions) || errors.Is(err, load.ErrNotLoopback) {
		return errors.Wrap(errUsage, strings.TrimSuffix(err.Error(), ": "+load.ErrOptions.Error()))
	}
	if err != nil {
		return err
	}
	if f.format == formatJSON {
		return operator.WriteJSON(os.Stdout, result)
	}
	return result.Write(os.Stdout)
}

func (f *loadFlags) measure(ctx context.Context) (report, error) {
	switch {
	case f.hold > 0:
		return load.Hold(ctx, load.HoldOptions{Options: f.options, Streams: f.hold, For: f.holdFor})
	case f.direct != "":
		return load.Compare(ctx, load.CompareOptions{
			Via:          f.options,
			DirectURL:    f.direct,
			DirectPrefix: f.directPrefix,
			Rounds:       f.rounds,
		})
	default:
		return load.Run(ctx, f.options)
	}
}

// expectedAnswer returns the answer of a stand-in engine to a call.
func expectedAnswer(call load.Call) string {
	return engine.Answer(call.Target.ServedAs, call.Message, call.Target.MaxTokens)
}
