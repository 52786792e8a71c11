// Package ctl holds the commands of hoistctl.
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

// App is hoistctl with its connections to the outside.
type App struct {
	// In is the standard input.
	In io.Reader
	// Out receives reports.
	Out io.Writer
	// Err receives errors and warnings.
	Err io.Writer
	// Now returns the time of a reading.
	Now func() time.Time
	// Wait returns after a time or with the error of ctx.
	Wait func(ctx context.Context, d time.Duration) error
}

// NewApp returns an App with the system's clock.
func NewApp(out, err io.Writer) *App {
	return &App{In: os.Stdin, Out: out, Err: err, Now: time.Now, Wait: wait}
}

func wait(ctx context.Context, d time.Duration) error {
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
	var status *exitError
	if !errors.As(err, &status) {
		status = &exitError{code: ExitFailure, err: err}
	}
	if status.err != nil {
		fmt.Fprintln(a.Err, "hoistctl:", status.err)
	}
	return int(status.code)
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
			a.checkCommand(), a.diffCommand(), a.statusCommand(),
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
	}
	return root
}

// arguments returns the arguments of a command that takes exactly those with the names.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	if command.Args().Len() != len(names) {
		return nil, usageError("%s takes %d arguments, got %d", command.Name, len(names), command.Args().Len())
	}
	return command.Args().Slice(), nil
}
