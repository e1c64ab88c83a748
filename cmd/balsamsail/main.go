// Command balsamsail serves language models that are idle most of the day: one binary with all roles and the operators'
// commands.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/operator"
)

// errUsage says that a command line was wrong; the process exits with operator.ExitUsage.
var errUsage = errors.New("usage")

func main() { os.Exit(run(os.Args[1:])) }

// run carries out a command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:       "balsamsail",
		ShortUsage: "balsamsail <command> [flags] [arguments]",
		ShortHelp:  "serves language models that are idle most of the day",
		FlagSet:    flag.NewFlagSet("balsamsail", flag.ContinueOnError),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
		Subcommands: []*ffcli.Command{
			devCommand(),
			entryCommand(),
			agentCommand(),
			standinCommand(),
			checkCommand(),
		},
	}
	root.Subcommands = append(root.Subcommands, operatorCommands()...)
	root.Subcommands = append(root.Subcommands, timelineCommand(), loadCommand())
	if err := root.Parse(args); err != nil {
		return parseFailed(err)
	}
	return exitCode(root.Run(ctx))
}

// parseFailed returns the exit code of a command line that could not be read; the flag package has told why.
func parseFailed(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return operator.ExitOK
	}
	fmt.Fprintln(os.Stderr, "balsamsail:", err)
	return operator.ExitUsage
}

// exitCode tells of an error and returns the process's exit code.
func exitCode(err error) int {
	switch {
	case err == nil:
		return operator.ExitOK
	case errors.Is(err, flag.ErrHelp):
		return operator.ExitUsage
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "balsamsail:", err)
		return operator.ExitUsage
	}
	fmt.Fprintln(os.Stderr, "balsamsail:", err)
	return operator.ExitCode(err)
}
