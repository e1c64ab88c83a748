package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/declarations"
	"balsamsail/internal/operator"
)

func (f *operatorFlags) edit() operator.Edit {
	return operator.Edit{Base: f.base, Author: f.author}
}

// reportEdit prints the outcome of an edit. With -wait it waits until the edit is in force.
func (f *operatorFlags) reportEdit(ctx context.Context, client *operator.Client, accepted operator.Accepted, err error) error {
	var unknown *operator.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return f.resolveUnknownEdit(ctx, client, unknown)
	}
	if err != nil {
		return reportError(err)
	}
	if err := f.print(accepted, func(w io.Writer) error { return operator.WriteAccepted(w, accepted) }); err != nil {
		return err
	}
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	inForce, waitErr := operator.Wait(ctx, client, accepted.Revision)
	if err := f.print(inForce, func(w io.Writer) error { return operator.WriteInForce(w, inForce) }); err != nil {
		return err
	}
	return reportError(waitErr)
}

// reportError prints an edit's error with advice for the operator, and marks the error as reported.
func reportError(err error) error {
	if err == nil {
		return nil
	}
	if writeErr := operator.WriteError(os.Stderr, err); writeErr != nil {
		return writeErr
	}
	return reportedError{err}
}

// warnUnknownEndpoint prints a warning if no listed host has the edited endpoint. The edit is valid, because a declaration
// may precede its host, but the name may also be mistyped.
func warnUnknownEndpoint(ctx context.Context, client *operator.Client, endpoint string) {
	status, err := client.Status(ctx)
	if err != nil {
		return
	}
	for _, e := range status.Endpoints {
		if e.Endpoint == endpoint {
			return
		}
	}
	fmt.Fprintf(os.Stderr, "%s: warning: no listed host has an endpoint %q\n", program, endpoint)
}

// resolveUnknownEdit looks up an edit with an unknown outcome until the outcome is known or the timeout expires.
func (f *operatorFlags) resolveUnknownEdit(ctx context.Context, client *operator.Client, unknown *operator.OutcomeUnknownError) error {
	fmt.Fprintln(os.Stderr, "balsamsail: the answer was lost; looking the edit up")
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	operation := operator.AwaitOperation(ctx, client, unknown.OperationID)
	if operation.State != operator.OperationApplied {
		return reportError(unknown)
	}
	accepted := operator.Accepted{Revision: operation.Revision, OperationID: operation.OperationID}
	return f.reportEdit(ctx, client, accepted, nil)
}

func applyCommand() *ffcli.Command {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	var f operatorFlags
	f.registerEdit(flags)
	file := flags.String("f", "", "INI `file` with declarations")
	var deleted keyList
	flags.Var(&deleted, "delete", "declaration to delete, as `kind/name`; may be repeated")
	return f.command("apply", "-f FILE [-delete kind/name] [-wait]", "put declarations in force", editCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
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
			return f.reportEdit(ctx, client, accepted, err)
		})
}

// keyList collects the values of a repeated kind/name flag.
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

func labelCommand() *ffcli.Command {
	flags := flag.NewFlagSet("label", flag.ContinueOnError)
	var f operatorFlags
	f.registerEdit(flags)
	return f.command("label", "[flags] KIND NAME key=value... key-...", "set labels (key=value) and remove them (key-)", editCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := flagsFirst(args); err != nil {
				return err
			}
			const minArgs = 3
			if len(args) < minArgs {
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
			if err == nil && request.Kind == declarations.KindEngine {
				warnUnknownEndpoint(ctx, client, request.Name)
			}
			return f.reportEdit(ctx, client, accepted, err)
		})
}

// addLabel adds the label change "key=value" or "key-" to the request.
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
	return f.command("drain", "[-undo] [-wait] ENDPOINT", "give an endpoint no new work", editCodes, flags,
		func(ctx context.Context, args []string) error {
			if err := flagsFirst(args); err != nil {
				return err
			}
			if len(args) != 1 {
				return errors.Wrap(errUsage, "one endpoint is wanted")
			}
			client := f.client()
			accepted, err := client.Drain(ctx, operator.DrainRequest{Endpoint: args[0], Drain: !*undo, Edit: f.edit()})
			if err == nil {
				warnUnknownEndpoint(ctx, client, args[0])
			}
			return f.reportEdit(ctx, client, accepted, err)
		})
}
