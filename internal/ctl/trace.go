package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

func (a *App) traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the steps of a request from the logs of hoist-edge and why it failed",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Required: true, Usage: "`ID` of the request"},
			outputFlag(),
		},
		Action: a.trace,
	}
}

// trace reads the log files, or the standard input if none is given. The name "-" also means
// the standard input.
func (a *App) trace(_ context.Context, command *cli.Command) error {
	id := command.String("request")
	report := &traceReport{Request: id}
	names := command.Args().Slice()
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		if err := a.readTraceFile(report, name); err != nil {
			return err
		}
	}
	report.finish()
	if len(report.Steps) == 0 {
		return fmt.Errorf("no line of the logs has request %s", id)
	}
	return a.print(command, report)
}

func (a *App) readTraceFile(report *traceReport, name string) error {
	if name == "-" {
		return report.readLog(a.In)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return report.readLog(file)
}

// table implements document.
func (r *traceReport) table(out io.Writer) {
	fmt.Fprintf(out, "request %s\n", r.Request)
	for _, step := range r.Steps {
		fmt.Fprintf(out, "%s  %-12s  %s\n", step.Time.Format("15:04:05.000"), step.VM, step.Text)
	}
	fmt.Fprintf(out, "cause: %s\n", r.Cause)
}
