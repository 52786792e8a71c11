package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// readTable reads a table file. It stops one byte after the size limit, which is enough for
// the decoder to reject the table.
func readTable(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, table.MaxValueBytes+1))
}

func loadTables(routesPath, poolsPath string) (*table.Tables, error) {
	routes, err := readTable(routesPath)
	if err != nil {
		return nil, err
	}
	pools, err := readTable(poolsPath)
	if err != nil {
		return nil, err
	}
	return table.Load(routesPath, routes, poolsPath, pools)
}

// tableError adds ExitInvalid to an error of a decoder if it lists validation errors.
func tableError(err error) error {
	var validationErrors table.ValidationErrors
	if errors.As(err, &validationErrors) {
		return &exitError{code: ExitInvalid, err: err}
	}
	return err
}

// checkReport is the output of the check command.
type checkReport struct {
	Valid  bool                   `json:"valid"`
	Errors table.ValidationErrors `json:"faults"`
	Counts *checkCounts           `json:"counts,omitempty"`
}

type checkCounts struct {
	Workspaces int `json:"workspaces"`
	Routes     int `json:"routes"`
	Pools      int `json:"pools"`
	Upstreams  int `json:"upstreams"`
	// OutOfService is the number of upstreams that receive no new work.
	OutOfService int `json:"out_of_service"`
	VMs          int `json:"vms,omitempty"`
}

func (r checkReport) table(out io.Writer) {
	if !r.Valid {
		for _, validationError := range r.Errors {
			fmt.Fprintln(out, sanitize(validationError.String()))
		}
		return
	}
	c := r.Counts
	fmt.Fprintf(out, "valid: %d workspaces, %d routes, %d pools, %d upstreams (%d out of service)\n",
		c.Workspaces, c.Routes, c.Pools, c.Upstreams, c.OutOfService)
}

func (a *App) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a routes table and a pools table and list all errors",
		ArgsUsage: "ROUTES POOLS",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "vms", Usage: "check a VM list `FILE` as well", TakesFile: true}},
		Action:    a.check,
	}
}

func (a *App) check(_ context.Context, command *cli.Command) error {
	paths, err := arguments(command, "ROUTES", "POOLS")
	if err != nil {
		return err
	}
	report := checkReport{Errors: table.ValidationErrors{}}
	tables, err := loadTables(paths[0], paths[1])
	if !errors.As(err, &report.Errors) && err != nil {
		return err
	}
	vmList := &table.VMList{}
	if path := command.String("vms"); path != "" {
		data, err := readTable(path)
		if err != nil {
			return err
		}
		var validationErrors table.ValidationErrors
		if vmList, err = table.LoadVMList(path, data); errors.As(err, &validationErrors) {
			report.Errors = append(report.Errors, validationErrors...)
		}
	}
	report.Valid = len(report.Errors) == 0
	if report.Valid {
		report.Counts = countTables(tables, vmList)
	}
	if err := a.print(command, report); err != nil {
		return err
	}
	if !report.Valid {
		return &exitError{code: ExitInvalid, err: fmt.Errorf("%d faults", len(report.Errors))}
	}
	return nil
}

func countTables(tables *table.Tables, vmList *table.VMList) *checkCounts {
	counts := &checkCounts{
		Workspaces: len(tables.Routes.Workspaces),
		Routes:     len(tables.Routes.Routes),
		Pools:      len(tables.Pools.Pools),
		VMs:        len(vmList.VMs),
	}
	for _, pool := range tables.Pools.Pools {
		counts.Upstreams += len(pool.Upstreams)
		for i := range pool.Upstreams {
			if tables.UpstreamOutOfService(&pool.Upstreams[i]) {
				counts.OutOfService++
			}
		}
	}
	return counts
}

// diffReport is the output of the diff command.
type diffReport struct {
	Changes []table.Change `json:"changes"`
}

func (r diffReport) table(out io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintln(out, "no change in effect")
		return
	}
	rows := newTableWriter(out, "SUBJECT", "EFFECT", "BEFORE", "AFTER")
	for _, c := range r.Changes {
		rows.addRow(c.Subject, c.Effect, c.Old, c.New)
	}
	rows.flush()
}

func (a *App) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show how the effect of one pair of tables differs from that of another",
		ArgsUsage: "OLD_ROUTES OLD_POOLS NEW_ROUTES NEW_POOLS",
		Flags:     []cli.Flag{exitCodeFlag("exit with 4 if there are changes")},
		Action:    a.diff,
	}
}

func exitCodeFlag(usage string) cli.Flag {
	return &cli.BoolFlag{Name: "exit-code", Usage: usage}
}

func (a *App) diff(_ context.Context, command *cli.Command) error {
	paths, err := arguments(command, "OLD_ROUTES", "OLD_POOLS", "NEW_ROUTES", "NEW_POOLS")
	if err != nil {
		return err
	}
	before, err := loadTables(paths[0], paths[1])
	if err != nil {
		return tableError(err)
	}
	after, err := loadTables(paths[2], paths[3])
	if err != nil {
		return tableError(err)
	}
	report := diffReport{Changes: table.Diff(before, after)}
	if report.Changes == nil {
		report.Changes = []table.Change{}
	}
	if err := a.print(command, report); err != nil {
		return err
	}
	if len(report.Changes) > 0 && command.Bool("exit-code") {
		return &exitError{code: ExitDifferent}
	}
	return nil
}
