package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"balsamsail/internal/app"
)

// defaultDevListen is the default address for callers of dev.
const defaultDevListen = "127.0.0.1:18080"

func devCommand() *ffcli.Command {
	flags := flag.NewFlagSet("dev", flag.ContinueOnError)
	listen := flags.String("listen", defaultDevListen, "`address` for callers; the other processes take the ports up to 40 above it")
	level := flags.String("log-level", "warn", "least `level` that is logged: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "dev [-listen ADDRESS]",
		ShortHelp:  "run the whole system with stand-ins in one process on loopback",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			err := app.Dev(ctx, app.DevOptions{
				Listen:   *listen,
				Out:      os.Stdout,
				Log:      app.StandardOutput(),
				LogLevel: *level,
			})
			if errors.Is(err, app.ErrDevAddress) {
				return errors.Wrap(errUsage, err.Error())
			}
			return err
		},
	}
}
