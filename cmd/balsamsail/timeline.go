package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

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
	return f.command("timeline", "[-request ID] [-model M] [-follow]", "merge the events of all processes into one order", readCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			filter := timeline.Filter{Requests: list(*requests), Models: list(*models), Endpoints: list(*endpoints)}
			for _, k := range list(*kinds) {
				filter.Kinds = append(filter.Kinds, timeline.Kind(k))
			}
			client := f.client()
			collector := timeline.NewCollector(&http.Client{Timeout: collectPatience}, filter)
			printer := timeline.NewPrinter(os.Stdout, timeline.Format(f.format))
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
