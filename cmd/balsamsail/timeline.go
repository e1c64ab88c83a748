package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/operator"
	"balsamsail/internal/texttable"
	"balsamsail/internal/timeline"
)

const (
	followInterval = 500 * time.Millisecond
	collectTimeout = 5 * time.Second
)

func timelineCommand() *ffcli.Command {
	flags := flag.NewFlagSet("timeline", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	requests := flags.String("request", "", "only events of these request `identifiers`, separated by commas")
	models := flags.String("model", "", "only events of these `models`")
	endpoints := flags.String("endpoint", "", "only events of these `endpoints`")
	kinds := flags.String("kind", "", "only events of these `kinds`")
	follow := flags.Bool("follow", false, "go on with what is new")
	logs := flags.String("logs", "", "read these log `files` of gateways and engine agents instead, separated by commas; - is standard input")
	causes := flags.Duration("causes", 0, "with -logs and -request: also what befell the request's model, engines and gateway from this `time` before it on")
	losses := flags.Bool("losses", false, "with -logs: how many requests got no answer in time, by cause, with an example of each")
	return f.command("timeline", "[-request ID] [-model M] [-follow] [-logs FILES [-causes 10s | -losses]]", "merge the events of all processes into one order", readCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			filter := timeline.Filter{Requests: splitList(*requests), Models: splitList(*models), Endpoints: splitList(*endpoints)}
			for _, k := range splitList(*kinds) {
				filter.Kinds = append(filter.Kinds, timeline.Kind(k))
			}
			printer := timeline.NewPrinter(os.Stdout, timeline.Format(f.format))
			if *logs != "" && *losses {
				return printLosses(splitList(*logs), os.Stdout)
			}
			if *losses {
				return errors.Wrap(errUsage, "-losses needs -logs")
			}
			if *logs != "" {
				return printLogs(splitList(*logs), filter, *causes, printer)
			}
			client := f.client()
			collector := timeline.NewCollector(&http.Client{Timeout: collectTimeout}, filter)
			urls := func(ctx context.Context) ([]string, error) { return processURLs(ctx, client) }
			if *follow {
				return collector.Follow(ctx, followInterval, urls, printer.Print)
			}
			processes, err := urls(ctx)
			if err != nil {
				return err
			}
			return printer.Print(collector.Collect(ctx, processes))
		})
}

// printLogs prints the events in the log files that match the filter or, with causes > 0, the events that may have caused
// the outcome of each request.
func printLogs(files []string, filter timeline.Filter, causes time.Duration, printer *timeline.Printer) error {
	if causes > 0 && len(filter.Requests) == 0 {
		return errors.Wrap(errUsage, "-causes needs -request")
	}
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	if causes == 0 {
		return printer.Print(lines.Collection(lines.Matching(filter)))
	}
	for _, request := range filter.Requests {
		events := lines.RelatedEvents(request, causes)
		if events == nil {
			return errors.Errorf("no line on request %s: was its line left out, or is a log missing?", request)
		}
		if err := printer.Print(lines.Collection(events)); err != nil {
			return err
		}
	}
	return nil
}

// printLosses prints the requests in the log files that got no answer in time, by cause.
func printLosses(files []string, w io.Writer) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	table := texttable.New(w)
	table.Row("REQUESTS\tENDING\tCAUSE\tEXAMPLE")
	for _, loss := range lines.Losses() {
		table.Row("%d\t%s\t%s\t%s", loss.Requests, loss.Ending, loss.Cause, loss.Example)
	}
	if lines.Dropped > 0 {
		table.Row("%d lines were dropped by the rate limit and are not counted", lines.Dropped)
	}
	return table.Flush()
}

func readLogs(files []string) (*timeline.LogReader, error) {
	lines := &timeline.LogReader{}
	for _, name := range files {
		if err := readLog(lines, name); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// readLog reads a log file, or standard input if the name is "-".
func readLog(lines *timeline.LogReader, name string) error {
	if name == "-" {
		return lines.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(lines.Read(file), name)
}

func processURLs(ctx context.Context, client *operator.Client) ([]string, error) {
	processes, err := client.Processes(ctx)
	if err != nil {
		return nil, err
	}
	var urls []string
	for _, p := range processes.Processes {
		urls = append(urls, p.URL)
	}
	return urls, nil
}

// splitList splits a comma-separated flag value. It returns nil for an empty value.
func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}
