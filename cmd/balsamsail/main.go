// Command balsamsail serves language models that are idle most of the day: one binary with all roles and the operators'
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

// errUsage says that a command line was wrong; the process exits with operator.ExitUsage.
var errUsage = errors.New("usage")

const program = "balsamsail"

func main() { os.Exit(run(os.Args[1:])) }

// run carries out a command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := rootCommand()
	// What the flag package writes is kept back: a wrong flag is answered with one line, not with all help.
	var help bytes.Buffer
	setOutput(root, &help)
	if err := root.Parse(args); errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(os.Stdout, help.String())
		return operator.ExitOK
	} else if err != nil {
		return wrongUsage(root, args, err)
	}
	err := root.Run(ctx)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(os.Stderr, help.String())
		return operator.ExitUsage
	case errors.Is(err, errUsage):
		return wrongUsage(root, args, err)
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

// prefixUsage puts the names of the commands above into the usage lines, so that each can be typed as it stands.
func prefixUsage(c *ffcli.Command, above string) {
	c.ShortUsage = above + c.ShortUsage
	for _, sub := range c.Subcommands {
		prefixUsage(sub, above+c.Name+" ")
	}
}

// setOutput sets where the flag package writes, for a command and all below it.
func setOutput(c *ffcli.Command, w io.Writer) {
	c.FlagSet.SetOutput(w)
	for _, sub := range c.Subcommands {
		setOutput(sub, w)
	}
}

// wrongUsage tells what is wrong with a command line and where its help is.
func wrongUsage(root *ffcli.Command, args []string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %s\nsee: %s -h\n", program, strings.TrimSuffix(err.Error(), ": "+errUsage.Error()), commandPath(root, args))
	return operator.ExitUsage
}

// commandPath names the command that a command line chooses.
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

// noArguments refuses arguments that a command would not read.
func noArguments(args []string) error {
	if len(args) > 0 {
		return errors.Wrapf(errUsage, "unexpected argument %q", args[0])
	}
	return nil
}

// flagsFirst refuses flags behind the arguments, where the flag package does not read them.
func flagsFirst(args []string) error {
	for _, arg := range args {
		if strings.HasPrefix(arg, "-") {
			return errors.Wrapf(errUsage, "%q: flags stand before the arguments", arg)
		}
	}
	return nil
}

// toldError is an error that the operator was told of.
type toldError struct{ error }

// Unwrap returns the error itself.
func (e toldError) Unwrap() error { return e.error }

// exitCode tells of an error and returns the process's exit code.
func exitCode(err error) int {
	var told toldError
	if err != nil && !errors.As(err, &told) {
		// What an entry did not find is named by the entry and by the client.
		fmt.Fprintf(os.Stderr, "%s: %s\n", program, strings.TrimSuffix(err.Error(), ": "+operator.ErrNotFound.Error()))
	}
	return operator.ExitCode(err)
}
