package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/operator"
)

const (
	// defaultEntries is where `dev` serves the operators.
	defaultEntries = "http://127.0.0.1:18081"
	environment    = "BALSAMSAIL"
	formatText     = "text"
	formatJSON     = "json"
	formatINI      = "ini"
)

// operatorFlags are the flags of all operators' commands.
type operatorFlags struct {
	entries string
	format  string
	author  string
	base    uint64
	wait    bool
	patient time.Duration
}

// register adds the flags of a command that only reads.
func (f *operatorFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.entries, "entries", defaultEntries, "base `URLs` of the entries' operator addresses, separated by commas")
	flags.StringVar(&f.format, "o", formatText, "output `format`: text, json, or ini where declarations are shown")
}

// registerEdit adds the flags of a command that edits.
func (f *operatorFlags) registerEdit(flags *flag.FlagSet) {
	f.register(flags)
	flags.StringVar(&f.author, "author", defaultAuthor(), "`name` that others see beside the edit")
	flags.Uint64Var(&f.base, "base", 0, "`revision` that the edit was made on; it is refused when another edit came since (0: any)")
	flags.BoolVar(&f.wait, "wait", false, "return when the edit is in force in every live process")
	flags.DurationVar(&f.patient, "timeout", time.Minute, "longest `time` to wait")
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

func (f *operatorFlags) edit() operator.Edit {
	return operator.Edit{Base: f.base, Author: f.author}
}

// finish tells of an accepted edit and, if asked, follows it until it is in force.
func (f *operatorFlags) finish(ctx context.Context, client *operator.Client, accepted operator.Accepted, err error) error {
	var unknown *operator.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return f.settle(ctx, client, unknown)
	}
	if err != nil {
		return err
	}
	if err := f.print(accepted, func(w io.Writer) error { return operator.WriteAccepted(w, accepted) }); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.patient)
	defer cancel()
	inForce, waitErr := operator.Wait(ctx, client, accepted.Revision)
	if err := f.print(inForce, func(w io.Writer) error { return operator.WriteInForce(w, inForce) }); err != nil {
		return err
	}
	return waitErr
}

// settle looks an edit of unknown outcome up until it is known or the time is over.
func (f *operatorFlags) settle(ctx context.Context, client *operator.Client, unknown *operator.OutcomeUnknownError) error {
	fmt.Fprintln(os.Stderr, "balsamsail: the answer was lost; looking the edit up")
	ctx, cancel := context.WithTimeout(ctx, f.patient)
	defer cancel()
	operation := operator.Settle(ctx, client, unknown.OperationID)
	if operation.State != operator.OperationApplied {
		return unknown
	}
	accepted := operator.Accepted{Revision: operation.Revision, OperationID: operation.OperationID}
	return f.finish(ctx, client, accepted, nil)
}

// print writes an answer as text or JSON.
func (f *operatorFlags) print(answer any, text func(io.Writer) error) error {
	switch f.format {
	case formatJSON:
		return operator.WriteJSON(os.Stdout, answer)
	case formatText:
		return text(os.Stdout)
	default:
		return errors.Wrapf(errUsage, "-o %s: allowed are text and json", f.format)
	}
}

// operatorCommands are the commands that talk to the entries' operators' API.
func operatorCommands() []*ffcli.Command {
	return []*ffcli.Command{applyCommand(), getCommand(), labelCommand(), drainCommand(), statusCommand(), inForceCommand(), operationCommand()}
}

// newOperatorCommand returns a command whose flags may also come from the environment (BALSAMSAIL_ENTRIES and so on).
func newOperatorCommand(name, usage, help string, flags *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: name + " " + usage,
		ShortHelp:  help,
		LongHelp: "Exit codes: 0 done; 1 failed, nothing was changed; 2 wrong command line; 3 another edit came first;\n" +
			"4 the edit may have been applied; 5 accepted and not in force everywhere in time.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(environment)},
		Exec:    exec,
	}
}

func applyCommand() *ffcli.Command {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	var f operatorFlags
	f.registerEdit(flags)
	file := flags.String("f", "", "INI `file` with declarations")
	var deleted keyList
	flags.Var(&deleted, "delete", "declaration to delete, as `kind/name`; may be repeated")
	return newOperatorCommand("apply", "-f FILE [-delete kind/name] [-wait]", "put declarations in force", flags,
		func(ctx context.Context, _ []string) error {
			request := operator.ApplyRequest{File: *file, Delete: deleted, Edit: f.edit()}
			if *file == "" && len(deleted) == 0 {
				return errors.Wrap(errUsage, "-f or -delete is missing")
			}
			if *file != "" {
				text, err := os.ReadFile(*file)
				if err != nil {
					return errors.Wrap(errUsage, err.Error())
				}
				request.INI = string(text)
			}
			client := f.client()
			accepted, err := client.Apply(ctx, request)
			return f.finish(ctx, client, accepted, err)
		})
}

// keyList gathers repeated kind/name flags.
type keyList []operator.ObjectKey

// String implements flag.Value.
func (l *keyList) String() string { return fmt.Sprint([]operator.ObjectKey(*l)) }

// Set implements flag.Value.
func (l *keyList) Set(v string) error {
	kind, name, ok := strings.Cut(v, "/")
	if !ok {
		return errors.Errorf("%q is not kind/name", v)
	}
	*l = append(*l, operator.ObjectKey{Kind: kind, Name: name})
	return nil
}

func getCommand() *ffcli.Command {
	flags := flag.NewFlagSet("get", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	return newOperatorCommand("get", "[kind [name]]", "show declarations", flags,
		func(ctx context.Context, args []string) error {
			var query operator.ObjectQuery
			switch len(args) {
			case 2:
				query.Name = args[1]
				fallthrough
			case 1:
				query.Kind = args[0]
			case 0:
			default:
				return errors.Wrap(errUsage, "at most a kind and a name are wanted")
			}
			objects, err := f.client().Objects(ctx, query)
			if err != nil {
				return err
			}
			if f.format == formatINI {
				f.format = formatText
			}
			return f.print(objects, func(w io.Writer) error { return operator.WriteINI(w, objects) })
		})
}

func labelCommand() *ffcli.Command {
	flags := flag.NewFlagSet("label", flag.ContinueOnError)
	var f operatorFlags
	f.registerEdit(flags)
	return newOperatorCommand("label", "[flags] KIND NAME key=value... key-...", "set labels (key=value) and remove them (key-)", flags,
		func(ctx context.Context, args []string) error {
			const least = 3
			if len(args) < least {
				return errors.Wrap(errUsage, "a kind, a name and at least one label are wanted")
			}
			request := operator.LabelRequest{
				ObjectKey: operator.ObjectKey{Kind: args[0], Name: args[1]},
				Set:       map[string]string{},
				Edit:      f.edit(),
			}
			for _, change := range args[2:] {
				if err := addLabel(&request, change); err != nil {
					return err
				}
			}
			client := f.client()
			accepted, err := client.Label(ctx, request)
			return f.finish(ctx, client, accepted, err)
		})
}

// addLabel reads "key=value" or "key-".
func addLabel(request *operator.LabelRequest, change string) error {
	if key, value, ok := strings.Cut(change, "="); ok {
		request.Set[key] = value
		return nil
	}
	key, ok := strings.CutSuffix(change, "-")
	if !ok {
		return errors.Wrapf(errUsage, "%q is neither key=value nor key-", change)
	}
	request.Remove = append(request.Remove, key)
	return nil
}

func drainCommand() *ffcli.Command {
	flags := flag.NewFlagSet("drain", flag.ContinueOnError)
	var f operatorFlags
	f.registerEdit(flags)
	undo := flags.Bool("undo", false, "end the drain")
	return newOperatorCommand("drain", "[-undo] ENDPOINT", "give an endpoint no new work", flags,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Wrap(errUsage, "one endpoint is wanted")
			}
			client := f.client()
			accepted, err := client.Drain(ctx, operator.DrainRequest{Endpoint: args[0], Drain: !*undo, Edit: f.edit()})
			return f.finish(ctx, client, accepted, err)
		})
}

func statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	return newOperatorCommand("status", "", "show models and engines: what is warm, and why", flags,
		func(ctx context.Context, _ []string) error {
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
	return newOperatorCommand("inforce", "[-revision N]", "show in which processes a revision is in force", flags,
		func(ctx context.Context, _ []string) error {
			inForce, err := f.client().InForce(ctx, *revision)
			if err != nil {
				return err
			}
			return f.print(inForce, func(w io.Writer) error { return operator.WriteInForce(w, inForce) })
		})
}

func operationCommand() *ffcli.Command {
	flags := flag.NewFlagSet("operation", flag.ContinueOnError)
	var f operatorFlags
	f.register(flags)
	return newOperatorCommand("operation", "ID", "look up what became of an edit whose answer was lost", flags,
		func(ctx context.Context, args []string) error {
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
