package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/declarations"
	"balsamsail/internal/operator"
)

const (
	// defaultEntries is the operator address of `balsamsail dev`.
	defaultEntries = "http://127.0.0.1:18081"
	environment    = "BALSAMSAIL"
	formatText     = "text"
	formatJSON     = "json"
	formatINI      = "ini"
)

// operatorFlags holds the flags of the operator commands.
type operatorFlags struct {
	entries string
	format  string
	// formats are the allowed values of format.
	formats []string
	author  string
	base    uint64
	wait    bool
	timeout time.Duration
}

// register adds the flags of a read-only command.
func (f *operatorFlags) register(flags *flag.FlagSet, moreFormats ...string) {
	f.formats = append([]string{formatText, formatJSON}, moreFormats...)
	flags.StringVar(&f.entries, "entries", defaultEntries, "base `URLs` of the entries' operator addresses, separated by commas")
	flags.StringVar(&f.format, "o", formatText, "output `format`: "+strings.Join(f.formats, ", "))
}

// registerEdit adds the flags of a command that edits.
func (f *operatorFlags) registerEdit(flags *flag.FlagSet) {
	f.register(flags)
	flags.StringVar(&f.author, "author", defaultAuthor(), "`name` that others see beside the edit")
	flags.Uint64Var(&f.base, "base", 0, "`revision` that the edit was made on; it is refused when another edit came since (0: any)")
	flags.BoolVar(&f.wait, "wait", false, "return when the edit is in force in every live process")
	flags.DurationVar(&f.timeout, "timeout", time.Minute, "longest `time` to wait")
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (f *operatorFlags) client() *operator.Client {
	return operator.NewClient(strings.Split(f.entries, ","), http.DefaultClient)
}

// checkFormat returns a usage error for an unknown output format. It runs before the command has any effect.
func (f *operatorFlags) checkFormat() error {
	if !slices.Contains(f.formats, f.format) {
		return errors.Wrapf(errUsage, "-o %s: allowed are %s", f.format, strings.Join(f.formats, ", "))
	}
	return nil
}

// print writes an answer in the selected output format; text writes every format except JSON.
func (f *operatorFlags) print(answer any, text func(io.Writer) error) error {
	if f.format == formatJSON {
		return operator.WriteJSON(os.Stdout, answer)
	}
	return text(os.Stdout)
}

// operatorCommands returns the commands that use the operator API of the entries.
func operatorCommands() []*ffcli.Command {
	return []*ffcli.Command{applyCommand(), getCommand(), labelCommand(), drainCommand(), statusCommand(), inForceCommand(), operationCommand()}
}

// Help texts for the exit codes of editing and of read-only commands.
const (
	editCodes = "Exit codes: 0 done; 1 failed, nothing was changed; 2 wrong command line; 3 another edit came first;\n" +
		"4 the edit may have been applied; 5 accepted and not in force everywhere in time."
	readCodes = "Exit codes: 0 done; 1 failed; 2 wrong command line."
)

// command returns a command whose flags can also be set by environment variables such as BALSAMSAIL_ENTRIES.
func (f *operatorFlags) command(name, usage, help, codes string, flags *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace(name + " " + usage),
		ShortHelp:  help,
		LongHelp:   codes + "\nEach flag may come from the environment instead: " + environment + "_ENTRIES for -entries, and so on.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environment)},
		Exec: func(ctx context.Context, args []string) error {
			if err := f.checkFormat(); err != nil {
				return err
			}
			return exec(ctx, args)
		},
	}
}

// kinds lists the kinds of declarations.
var kinds = []string{
	declarations.KindModel, declarations.KindAdapter, declarations.KindEngine, declarations.KindService, declarations.KindLimits,
}

func getCommand() *ffcli.Command {
	flags := flag.NewFlagSet("get", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags, formatINI)
	return f.command("get", "[flags] [KIND [NAME]]", "show declarations", readCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := flagsFirst(args); err != nil {
				return err
			}
			var query operator.ObjectQuery
			switch len(args) {
			case 2:
				query.Name = args[1]
				fallthrough
			case 1:
				query.Kind = args[0]
				if !slices.Contains(kinds, query.Kind) {
					return errors.Wrapf(errUsage, "kind %q: allowed are %s", query.Kind, strings.Join(kinds, ", "))
				}
			case 0:
			default:
				return errors.Wrap(errUsage, "at most a kind and a name are wanted")
			}
			objects, err := f.client().Objects(ctx, query)
			if err != nil {
				return err
			}
			return f.print(objects, func(w io.Writer) error { return operator.WriteINI(w, objects) })
		})
}

func statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	return f.command("status", "", "show models and engines: what is warm, and why", readCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			status, err := f.client().Status(ctx)
			if err != nil {
				return err
			}
			return f.print(status, func(w io.Writer) error { return operator.WriteStatus(w, status) })
		})
}

func inForceCommand() *ffcli.Command {
	flags := flag.NewFlagSet("inforce", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	revision := flags.Uint64("revision", 0, "`revision` to ask for (0: the newest)")
	return f.command("inforce", "[-revision N]", "show in which processes a revision is in force",
		strings.TrimSuffix(readCodes, ".")+"; 5 not in force in every live process.", flags,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			inForce, err := f.client().InForce(ctx, *revision)
			if err != nil {
				return err
			}
			if err := f.print(inForce, func(w io.Writer) error { return operator.WriteInForce(w, inForce) }); err != nil {
				return err
			}
			if len(inForce.Missing()) > 0 {
				return reportedError{operator.ErrNotInForce}
			}
			return nil
		})
}

func operationCommand() *ffcli.Command {
	flags := flag.NewFlagSet("operation", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	return f.command("operation", "[flags] ID", "look up what became of an edit whose answer was lost", readCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := flagsFirst(args); err != nil {
				return err
			}
			if len(args) != 1 {
				return errors.Wrap(errUsage, "one operation identifier is wanted")
			}
			operation, err := f.client().Operation(ctx, args[0])
			if err != nil {
				return err
			}
			return f.print(operation, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "operation %s: %s, revision %d\n", operation.OperationID, operation.State, operation.Revision)
				return err
			})
		})
}
