package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog/check"
	"github.com/hornbeamhoist/hornbeamhoist/platform"
)

const flagAgainst = "against"

func (a *App) configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with the configuration of the operators' platform",
		Commands: []*cli.Command{{
			Name:        "check",
			Usage:       "check a configuration before it is sent",
			ArgsUsage:   "FILE",
			Description: "Exits with 0 if there are no errors, 1 if there are, and 2 if the command line is wrong or a file cannot be read.",
			Flags:       []cli.Flag{&cli.StringFlag{Name: flagAgainst, Usage: "show the differences from the version in force in `FILE`", TakesFile: true}},
			Action:      a.checkConfig,
		}},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return usageError("unknown command %q", "config "+command.Args().First())
			}
			return usageError("config needs a command: check")
		},
	}
}

// configReport is the output of the config check command.
type configReport struct {
	Valid bool `json:"valid"`
	platform.ConfigReport
}

func (r configReport) table(out io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintf(out, "%-8s %s\n", f.Severity, sanitize(f.String()))
	}
	if r.Omitted > 0 {
		fmt.Fprintf(out, "%d more findings are not listed\n", r.Omitted)
	}
	fmt.Fprintf(out, "errors: %d, warnings: %d\n", r.Errors, r.Warnings)
	if c := r.Counts; c != nil {
		fmt.Fprintf(out, "version %d: %d routes, %d pools, %d workspaces, %d keys\n", c.Version, c.Routes, c.Pools, c.Workspaces, c.Keys)
	}
	if !r.Compared {
		return
	}
	if len(r.Changes) == 0 {
		fmt.Fprintln(out, "no change from the version in force")
		return
	}
	rows := newTableWriter(out, "CHANGE", "SUBJECT", "EFFECT", "BEFORE", "AFTER")
	for _, c := range r.Changes {
		rows.addRow(c.Kind, c.Subject, c.Effect, c.Old, c.New)
	}
	rows.flush()
}

func (a *App) checkConfig(_ context.Context, command *cli.Command) error {
	paths, err := arguments(command, "FILE")
	if err != nil {
		return err
	}
	value, err := readConfig(paths[0])
	if err != nil {
		return err
	}
	var inForce []byte
	if path := command.String(flagAgainst); path != "" {
		if inForce, err = readConfig(path); err != nil {
			return err
		}
	}
	result, err := platform.CheckConfig(value, inForce)
	if err != nil {
		return usageError("%s: %w", command.String(flagAgainst), err)
	}
	if result.Findings == nil {
		result.Findings = []platform.ConfigProblem{}
	}
	if result.Compared && result.Changes == nil {
		result.Changes = []check.Change{}
	}
	if err := a.print(command, configReport{Valid: result.Errors == 0, ConfigReport: result}); err != nil {
		return err
	}
	if result.Errors > 0 {
		return &exitError{code: ExitFailure, err: fmt.Errorf("%d errors", result.Errors)}
	}
	return nil
}

// readConfig reads a configuration. The errors have the exit code of an unreadable file.
func readConfig(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError("%w", err)
	}
	defer file.Close()
	// The result is not nil for an empty file, which is no valid value.
	value, err := io.ReadAll(io.LimitReader(file, platform.MaxConfigBytes+1))
	if err != nil {
		return nil, usageError("%w", err)
	}
	if len(value) > platform.MaxConfigBytes {
		return nil, usageError("%s exceeds %d bytes", path, platform.MaxConfigBytes)
	}
	return value, nil
}
