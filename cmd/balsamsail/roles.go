package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/app"
	"balsamsail/internal/declarations"
	"balsamsail/internal/settings"
)

// setList collects the values of a repeated -set flag.
type setList []string

// String implements flag.Value. It is empty for the zero value, so that the help shows no default.
func (s *setList) String() string { return strings.Join(*s, " ") }

// Set implements flag.Value.
func (s *setList) Set(v string) error {
	*s = append(*s, v)
	return nil
}

// settingsFlags holds the flags of the commands that read a settings file.
type settingsFlags struct {
	file string
	sets setList
}

func (f *settingsFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.file, "config", "", "settings `file` (INI)")
	flags.Var(&f.sets, "set", "override a setting: `section.key=value`; may be repeated")
}

func (f *settingsFlags) check() error {
	if f.file == "" {
		return errors.Wrap(errUsage, "-config is missing")
	}
	return nil
}

// roleCommand returns a command that runs a role from its settings file.
func roleCommand[S any](name, help string, role settings.Role, load func(string, ...string) (*S, error), run func(context.Context, *S, app.Output) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var f settingsFlags
	f.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: name + " -config FILE [-set section.key=value]",
		ShortHelp:  help,
		LongHelp: "Exit codes: 0 stopped as planned; 1 failed; 2 wrong command line.\n" +
			"A setting may also come from the environment: BALSAMSAIL__SECTION__KEY; -set goes first.\n" +
			"All settings with their units, bounds and defaults:\n\n" + settings.Describe(role),
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if err := f.check(); err != nil {
				return err
			}
			s, err := load(f.file, f.sets...)
			if err != nil {
				return err
			}
			return run(ctx, s, app.StandardOutput())
		},
	}
}

func entryCommand() *ffcli.Command {
	return roleCommand("entry", "run an entry", settings.RoleEntry, settings.LoadEntry, app.RunEntry)
}

func agentCommand() *ffcli.Command {
	return roleCommand("agent", "run the agent beside an endpoint", settings.RoleAgent, settings.LoadAgent, app.RunAgent)
}

func gatewayCommand() *ffcli.Command {
	return roleCommand("gateway", "run a gateway on the users' platform", settings.RoleGateway, settings.LoadGateway,
		logsToStandardOutput(app.RunGateway))
}

func engineAgentCommand() *ffcli.Command {
	return roleCommand("engine-agent", "run the agent beside an engine on the users' platform", settings.RoleEngineAgent,
		settings.LoadEngineAgent, logsToStandardOutput(app.RunEngineAgent))
}

// logsToStandardOutput makes a role log to standard output, from which the platform collects logs.
func logsToStandardOutput[S any](run func(context.Context, *S, app.Output) error) func(context.Context, *S, app.Output) error {
	return func(ctx context.Context, s *S, _ app.Output) error { return run(ctx, s, app.Output{Writer: os.Stdout}) }
}

func standinCommand() *ffcli.Command {
	return groupCommand("standin", "platform|engine|service -config FILE", "run a stand-in of an outside system, for trials and tests",
		[]*ffcli.Command{
			roleCommand("platform", "stand in for the platform's services", settings.RoleStandinPlatform,
				settings.LoadStandinPlatform, app.RunStandinPlatform),
			roleCommand("engine", "stand in for a model engine", settings.RoleStandinEngine,
				settings.LoadStandinEngine, app.RunStandinEngine),
			roleCommand("service", "stand in for a plain service", settings.RoleStandinService,
				settings.LoadStandinService, app.RunStandinService),
		})
}

func checkCommand() *ffcli.Command {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	var f settingsFlags
	f.register(flags)
	declared := flags.String("f", "", "INI `file` with declarations; what it refers to must stand in it")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "check -config FILE | -f FILE",
		ShortHelp:  "check settings or declarations without starting anything",
		LongHelp: "Exit codes: 0 valid; 1 not valid; 2 wrong command line.\n" +
			"All declarations with their units, bounds and defaults:\n\n" + declarations.DescribeFile(),
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if *declared != "" {
				return checkDeclarations(*declared)
			}
			if err := f.check(); err != nil {
				return err
			}
			role, err := settings.CheckFile(f.file, f.sets...)
			if err != nil {
				return err
			}
			fmt.Printf("%s: the settings of %s are valid\n", f.file, role)
			return nil
		},
	}
}

func checkDeclarations(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	objects, err := declarations.ParseFile(file, text)
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid; declarations: %d\n", file, len(objects))
	return nil
}
