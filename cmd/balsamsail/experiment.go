package main

import (
	"context"
	"flag"
	"os"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"

	"balsamsail/internal/experiment"
	"balsamsail/internal/settings"
)

func experimentCommand() *ffcli.Command {
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	config := flags.String("config", "", "`file` that describes the site, its demand and the policies")
	workers := flags.Int("workers", max(1, runtime.NumCPU()/2), "days that are played at once")
	var sets setList
	flags.Var(&sets, "set", "override a parameter: `section.key=value`; may be repeated")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "experiment -config FILE [-set section.key=value] [-workers N]",
		ShortHelp:  "compare policies of placement on a model of a site",
		LongHelp: "Plays the same days with each policy and writes what each reached: worth served, answers on time and late, loads,\n" +
			"the tail of cold starts, idle accelerator hours. See docs/EXPERIMENTS.md.",
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			x, err := settings.LoadExperiment(*config, sets...)
			if err != nil {
				return err
			}
			comparison, err := experiment.Compare(x, *workers)
			if err != nil {
				return err
			}
			var kinds []string
			for _, k := range x.Requests {
				kinds = append(kinds, k.Name)
			}
			return comparison.Write(os.Stdout, kinds)
		},
	}
}
