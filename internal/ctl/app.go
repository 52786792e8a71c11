// Package ctl implements the commands of hoistctl.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

// App is the command-line application with its input, output and clock.
type App struct {
	// In is the standard input.
	In io.Reader
	// Out receives the output of the commands.
	Out io.Writer
	// Err receives errors and warnings.
	Err io.Writer
	// Now returns the current time.
	Now func() time.Time
	// Sleep waits for d, or returns the error of ctx once ctx is done.
	Sleep func(ctx context.Context, d time.Duration) error
}

// NewApp returns an App that uses the system clock.
func NewApp(out, err io.Writer) *App {
	return &App{In: os.Stdin, Out: out, Err: err, Now: time.Now, Sleep: sleep}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run executes a command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, args)
	if err == nil {
		return int(ExitOK)
	}
	var exitErr *exitError
	if !errors.As(err, &exitErr) {
		exitErr = &exitError{code: ExitFailure, err: err}
	}
	if exitErr.err != nil {
		fmt.Fprintln(a.Err, "hoistctl:", exitErr.err)
	}
	return int(exitErr.code)
}

func (a *App) command() *cli.Command {
	root := &cli.Command{
		Name:                  "hoistctl",
		Usage:                 "check and inspect a hornbeamhoist deployment",
		Description:           exitCodeHelp,
		EnableShellCompletion: true,
		Writer:                a.Out,
		ErrWriter:             a.Err,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags:                 []cli.Flag{outputFlag()},
		Commands: []*cli.Command{
			a.checkCommand(), a.diffCommand(), a.configCommand(), a.statusCommand(),
			a.explainCommand(), a.burnCommand(), a.costCommand(), a.traceCommand(),
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return usageError("unknown command %q", command.Args().First())
			}
			return cli.ShowRootCommandHelp(command)
		},
	}
	onUsageError := func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &exitError{code: ExitUsage, err: err}
	}
	root.OnUsageError = onUsageError
	for _, command := range root.Commands {
		command.OnUsageError = onUsageError
		for _, subcommand := range command.Commands {
			subcommand.OnUsageError = onUsageError
		}
	}
	return root
}

// arguments returns the positional arguments of the command, or a usage error unless there
// is exactly one for each name.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	if command.Args().Len() != len(names) {
		return nil, usageError("%s takes %d arguments, got %d", command.Name, len(names), command.Args().Len())
	}
	return command.Args().Slice(), nil
}
