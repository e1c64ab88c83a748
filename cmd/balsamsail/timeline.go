package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/operator"
	"balsamsail/internal/timeline"
)

const (
	followInterval  = 500 * time.Millisecond
	collectPatience = 5 * time.Second
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
	return f.command("timeline", "[-request ID] [-model M] [-follow] [-logs FILES [-causes 10s]]", "merge the events of all processes into one order", readCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			filter := timeline.Filter{Requests: list(*requests), Models: list(*models), Endpoints: list(*endpoints)}
			for _, k := range list(*kinds) {
				filter.Kinds = append(filter.Kinds, timeline.Kind(k))
			}
			printer := timeline.NewPrinter(os.Stdout, timeline.Format(f.format))
			if *logs != "" {
				return printLogs(list(*logs), filter, *causes, printer)
			}
			client := f.client()
			collector := timeline.NewCollector(&http.Client{Timeout: collectPatience}, filter)
			urls := func(ctx context.Context) ([]string, error) { return processURLs(ctx, client) }
			if *follow {
				return collector.Follow(ctx, followInterval, urls, printer.Print)
			}
			known, err := urls(ctx)
			if err != nil {
				return err
			}
			return printer.Print(collector.Collect(ctx, known))
		})
}

// printLogs prints what logs tell of a filter's events, or of the causes of how requests ended.
func printLogs(files []string, filter timeline.Filter, causes time.Duration, printer *timeline.Printer) error {
	if causes > 0 && len(filter.Requests) == 0 {
		return errors.Wrap(errUsage, "-causes needs -request")
	}
	var logs timeline.LogReader
	for _, name := range files {
		if err := readLog(&logs, name); err != nil {
			return err
		}
	}
	if causes == 0 {
		return printer.Print(logs.Collection(logs.Matching(filter)))
	}
	for _, request := range filter.Requests {
		events := logs.RelatedEvents(request, causes)
		if events == nil {
			return errors.Errorf("no line on request %s: was its line left out, or is a log missing?", request)
		}
		if err := printer.Print(logs.Collection(events)); err != nil {
			return err
		}
	}
	return nil
}

// readLog reads a log file, or standard input.
func readLog(logs *timeline.LogReader, name string) error {
	if name == "-" {
		return logs.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	return errors.Wrap(logs.Read(file), name)
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

// list splits a flag's value at commas; an empty one is no list.
func list(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}
