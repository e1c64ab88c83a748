// Command balsamsail serves language models that are idle most of the day. The binary contains all roles and the operator
// commands.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/operator"
)

// errUsage reports an invalid command line; the process exits with operator.ExitUsage.
var errUsage = errors.New("usage")

const program = "balsamsail"

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := rootCommand()
	// The flag package's output is buffered, because an invalid flag is reported in one line and not with the full help.
	var help bytes.Buffer
	setOutput(root, &help)
	if err := root.Parse(args); errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(os.Stdout, help.String())
		return operator.ExitOK
	} else if err != nil {
		return reportUsageError(root, args, err)
	}
	err := root.Run(ctx)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(os.Stderr, help.String())
		return operator.ExitUsage
	case errors.Is(err, errUsage):
		return reportUsageError(root, args, err)
	}
	return exitCode(err)
}

func rootCommand() *ffcli.Command {
	subcommands := []*ffcli.Command{
		devCommand(),
		entryCommand(),
		agentCommand(),
		gatewayCommand(),
		engineAgentCommand(),
		standinCommand(),
		checkCommand(),
	}
	subcommands = append(subcommands, operatorCommands()...)
	subcommands = append(subcommands, timelineCommand(), loadCommand(), experimentCommand())
	root := groupCommand(program, "<command> [flags] [arguments]", "serves language models that are idle most of the day", subcommands)
	prefixUsage(root, "")
	return root
}

// groupCommand returns a command that only has subcommands.
func groupCommand(name, usage, help string, subcommands []*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  name + " " + usage,
		ShortHelp:   help,
		FlagSet:     flag.NewFlagSet(name, flag.ContinueOnError),
		Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Wrapf(errUsage, "unknown command %q", args[0])
			}
			return flag.ErrHelp
		},
	}
}

// prefixUsage prepends the names of the parent commands to the usage lines, so that each shows the full command.
func prefixUsage(c *ffcli.Command, parents string) {
	c.ShortUsage = parents + c.ShortUsage
	for _, sub := range c.Subcommands {
		prefixUsage(sub, parents+c.Name+" ")
	}
}

// setOutput sets the output of the flag package for a command and all its subcommands.
func setOutput(c *ffcli.Command, w io.Writer) {
	c.FlagSet.SetOutput(w)
	for _, sub := range c.Subcommands {
		setOutput(sub, w)
	}
}

// reportUsageError prints a usage error and the command that shows the help, and returns the exit code.
func reportUsageError(root *ffcli.Command, args []string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %s\nsee: %s -h\n", program, strings.TrimSuffix(err.Error(), ": "+errUsage.Error()), commandPath(root, args))
	return operator.ExitUsage
}

// commandPath returns the full name of the command that the arguments select.
func commandPath(c *ffcli.Command, args []string) string {
	if len(args) > 0 {
		for _, sub := range c.Subcommands {
			if strings.EqualFold(sub.Name, args[0]) {
				return c.Name + " " + commandPath(sub, args[1:])
			}
		}
	}
	return c.Name
}

// noArguments returns a usage error if there are positional arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return errors.Wrapf(errUsage, "unexpected argument %q", args[0])
	}
	return nil
}

// flagsFirst returns a usage error if a flag follows the positional arguments, where the flag package does not parse it.
func flagsFirst(args []string) error {
	for _, arg := range args {
		if strings.HasPrefix(arg, "-") {
			return errors.Wrapf(errUsage, "%q: flags stand before the arguments", arg)
		}
	}
	return nil
}

// reportedError is an error that has already been printed.
type reportedError struct{ error }

// Unwrap returns the wrapped error.
func (e reportedError) Unwrap() error { return e.error }

// exitCode prints an error that has not been reported yet and returns the process's exit code.
func exitCode(err error) int {
	var reported reportedError
	if err != nil && !errors.As(err, &reported) {
		// Both the entry and the client append ErrNotFound's text; one of them is removed.
		fmt.Fprintf(os.Stderr, "%s: %s\n", program, strings.TrimSuffix(err.Error(), ": "+operator.ErrNotFound.Error()))
	}
	return operator.ExitCode(err)
}
