package main

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/operator"
)

// runCaptured executes a command line and returns the exit code and its output.
func runCaptured(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	dir := t.TempDir()
	capture := func(name string, stream **os.File) func() string {
		file, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		original := *stream
		*stream = file
		return func() string {
			*stream = original
			if err := file.Close(); err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(file.Name())
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		}
	}
	endOut, endErr := capture("out", &os.Stdout), capture("err", &os.Stderr)
	code = run(args)
	return code, endOut(), endErr()
}

// writeText writes a file for a test and returns its path.
func writeText(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// commandLines returns the arguments that select each command and subcommand.
func commandLines(c *ffcli.Command, parents []string) [][]string {
	lines := [][]string{parents}
	for _, sub := range c.Subcommands {
		lines = append(lines, commandLines(sub, append(append([]string{}, parents...), sub.Name))...)
	}
	return lines
}

func TestEachCommandHasHelp(t *testing.T) {
	for _, words := range commandLines(rootCommand(), nil) {
		line := strings.Join(append([]string{program}, words...), " ")
		t.Run(line, func(t *testing.T) {
			code, stdout, stderr := runCaptured(t, append(words, "-h")...)
			if code != operator.ExitOK || stderr != "" || !strings.Contains(stdout, "USAGE\n  "+line+" ") && !strings.Contains(stdout, "USAGE\n  "+line+"\n") {
				t.Errorf("exit code %d, output\n%s%s", code, stdout, stderr)
			}
		})
	}
}

func TestCommandLines(t *testing.T) {
	valid := writeText(t, "service.ini", "[standin]\nlisten = 127.0.0.1:0\n\n[service]\nservice_time = 1ms\n")
	broken := writeText(t, "broken.ini", "[standin]\nlisten = 127.0.0.1:0\n\n[service]\nservice_time = 1\n")
	declared := writeText(t, "declared.ini", "[model \"m\"]\nversions = v1\nmemory = 1GiB\n")
	undeclared := writeText(t, "undeclared.ini", "[adapter \"a\"]\nmodel = m\nmemory = 1MiB\n")
	const nowhere = "-entries=http://127.0.0.1:1"
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, operator.ExitUsage, "SUBCOMMANDS"},
		{"unknown command", []string{"nonsense"}, operator.ExitUsage, `unknown command "nonsense"`},
		{"unknown stand-in", []string{"standin", "disk"}, operator.ExitUsage, "unknown command \"disk\"\nsee: balsamsail standin -h"},
		{"unknown flag", []string{"get", "-x"}, operator.ExitUsage, "-x\nsee: balsamsail get -h"},
		{"no settings", []string{"entry"}, operator.ExitUsage, "-config is missing"},
		{"stray argument", []string{"agent", "-config", valid, "now"}, operator.ExitUsage, `unexpected argument "now"`},
		{"settings that do not exist", []string{"entry", "-config", "/nonexistent"}, operator.ExitFailed, "no such file"},
		{"valid settings", []string{"check", "-config", valid}, operator.ExitOK, "the settings of standin service are valid"},
		{"broken settings", []string{"check", "-config", broken}, operator.ExitFailed, broken + ":5: [service] service_time: "},
		{"broken override", []string{"check", "-config", valid, "-set", "service.concurrency=0"}, operator.ExitFailed, "-set service.concurrency: [service] concurrency: "},
		{"valid declarations", []string{"check", "-f", declared}, operator.ExitOK, "valid; declarations: 1"},
		{"broken declarations", []string{"check", "-f", undeclared}, operator.ExitFailed, undeclared + `:2: [adapter "a"] model: model "m" is not declared`},
		{"nothing to apply", []string{"apply"}, operator.ExitUsage, "-f or -delete is missing"},
		{"file that does not exist", []string{"apply", "-f", "/nonexistent"}, operator.ExitUsage, "no such file"},
		{"wrong kind", []string{"get", "engines"}, operator.ExitUsage, "allowed are model, adapter, engine, service, limits"},
		{"wrong format before an edit", []string{"drain", "-o", "xml", "engine-1"}, operator.ExitUsage, "allowed are text, json"},
		{"flag behind arguments", []string{"label", "engine", "engine-1", "a=b", "-wait"}, operator.ExitUsage, `"-wait": flags stand before the arguments`},
		{"no label", []string{"label", "engine", "engine-1"}, operator.ExitUsage, "at least one label"},
		{"edit without entries", []string{"drain", nowhere, "engine-1"}, operator.ExitFailed, "no entry can be reached\n"},
		{"read without entries", []string{"status", nowhere}, operator.ExitFailed, "no entry can be reached"},
		{"load elsewhere", []string{"load", "-url", "http://192.0.2.1", "-target", "m"}, operator.ExitUsage, "only loopback"},
		{"dev on a name", []string{"dev", "-listen", "localhost:1"}, operator.ExitUsage, "an IP address and a port"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCaptured(t, c.args...)
			if code != c.code || !strings.Contains(stdout+stderr, c.want) {
				t.Errorf("exit code %d, want %d and %q in\n%s%s", code, c.code, c.want, stdout, stderr)
			}
		})
	}
}

// fakeBackend has the single endpoint engine-1. It accepts every drain, rejects label edits with a conflict and loses the
// outcome of apply edits.
type fakeBackend struct{ operator.Backend }

func (fakeBackend) Label(context.Context, operator.LabelRequest) (operator.Accepted, error) {
	return operator.Accepted{}, &operator.ConflictError{Author: "rana", Revision: 8, Base: 7}
}

func (fakeBackend) Drain(context.Context, operator.DrainRequest) (operator.Accepted, error) {
	return operator.Accepted{Revision: 8}, nil
}

func (fakeBackend) Status(context.Context) (operator.Status, error) {
	return operator.Status{Endpoints: []operator.EndpointStatus{{Endpoint: "engine-1"}}}, nil
}

func (fakeBackend) InForce(context.Context, uint64) (operator.InForce, error) {
	return operator.InForce{Revision: 8, Processes: []operator.ProcessRevision{{Process: "engine-1", Revision: 7}}}, nil
}

func (fakeBackend) Objects(context.Context, operator.ObjectQuery) (operator.Objects, error) {
	return operator.Objects{}, errors.Wrap(operator.ErrNotFound, `model "m"`)
}

func (fakeBackend) Apply(context.Context, operator.ApplyRequest) (operator.Accepted, error) {
	return operator.Accepted{}, &operator.OutcomeUnknownError{OperationID: "op-1", Reason: "timeout"}
}

func (fakeBackend) Operation(context.Context, string) (operator.Operation, error) {
	return operator.Operation{OperationID: "op-1", State: operator.OperationUnknown}, nil
}

func TestExitCodesOfAnswers(t *testing.T) {
	server := httptest.NewServer(operator.NewHandler(fakeBackend{}))
	defer server.Close()
	t.Setenv("BALSAMSAIL_ENTRIES", server.URL)
	file := writeText(t, "declared.ini", "")
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"done", []string{"drain", "engine-1"}, operator.ExitOK, "accepted as revision 8"},
		{"mistyped endpoint", []string{"drain", "engine-l"}, operator.ExitOK, `warning: no listed host has an endpoint "engine-l"`},
		{"conflict", []string{"label", "engine", "engine-1", "a=b"}, operator.ExitConflict, "next: read the declarations again"},
		{"not in force in time", []string{"drain", "-wait", "-timeout", "500ms", "engine-1"}, operator.ExitNotInForce, "NOT IN FORCE IN"},
		{"not in force", []string{"inforce"}, operator.ExitNotInForce, "in 0 of 1 live processes"},
		{"not found", []string{"get", "model", "m"}, operator.ExitFailed, "balsamsail: model \"m\": operator: not found\n"},
		{"outcome unknown", []string{"apply", "-f", file, "-timeout", "1ms"}, operator.ExitOutcomeUnknown, "operation op-1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCaptured(t, c.args...)
			if code != c.code || !strings.Contains(stdout+stderr, c.want) {
				t.Errorf("exit code %d, want %d and %q in\n%s%s", code, c.code, c.want, stdout, stderr)
			}
		})
	}
}
