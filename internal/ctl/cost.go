package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
)

// costReport is the output of the cost command.
type costReport struct {
	burn.CostReport
	// Failures lists the errors of the gateways that could not be read.
	Failures []string `json:"failures,omitempty"`
}

func (a *App) costCommand() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "show cost by stage, route and workspace, with wasted cost listed separately",
		Description: "Costs are totals since the start of each gateway. Wasted is the cost of work that\n" +
			"was cancelled, late or failed.",
		Flags: []cli.Flag{
			addressFlag(flagGateway, "administration `ADDRESS` (IP:port) of a gateway; may be repeated"),
			timeoutFlag(),
		},
		Action: a.cost,
	}
}

func (a *App) cost(_ context.Context, command *cli.Command) error {
	if _, err := arguments(command); err != nil {
		return err
	}
	addresses := command.StringSlice(flagGateway)
	if len(addresses) == 0 {
		return usageError("cost needs --gateway")
	}
	if err := checkUniqueAddresses(addresses); err != nil {
		return err
	}
	var report costReport
	if _, err := outputFormat(command, &report); err != nil {
		return err
	}
	costs := burn.NewCostAggregator()
	for _, result := range scrapeGateways(newAdminClient(command.Duration("timeout")), addresses, adminapi.PathMetrics) {
		if result.err != nil {
			report.Failures = append(report.Failures, result.err.Error())
			continue
		}
		for _, warning := range result.scrape.warnings {
			fmt.Fprintf(a.Err, "hoistctl: %s: %s\n", result.address, sanitize(warning))
		}
		costs.Merge(result.scrape.costs)
	}
	report.CostReport = costs.Report()
	if err := a.print(command, &report); err != nil {
		return err
	}
	if n := len(report.Failures); n > 0 {
		return fmt.Errorf("%d of %d gateways could not be read", n, len(addresses))
	}
	return nil
}

func (r *costReport) table(out io.Writer) {
	stages := newTableWriter(out, "ROUTE", "STAGE", "POOL", "USED", "WASTED", "WASTED SHARE")
	for _, c := range r.Stages {
		stages.addRow(c.Route, c.Stage, c.Pool, costText(c.Used), costText(c.Wasted), shareText(c.Cost))
	}
	stages.flush()
	fmt.Fprintln(out)
	routes := newTableWriter(out, "ROUTE", "USED", "WASTED", "WASTED SHARE")
	for _, c := range r.Routes {
		routes.addRow(c.Route, costText(c.Used), costText(c.Wasted), shareText(c.Cost))
	}
	routes.addRow("total", costText(r.Total.Used), costText(r.Total.Wasted), shareText(r.Total))
	routes.flush()
	fmt.Fprintln(out)
	workspaces := newTableWriter(out, "WORKSPACE", "ROUTE", "COST", "WASTED", "WASTED SHARE")
	for _, c := range r.Workspaces {
		workspaces.addRow(c.Workspace, c.Route, costText(c.Total()), wastedText(c.Cost), shareText(c.Cost))
	}
	workspaces.flush()
	for _, failure := range r.Failures {
		fmt.Fprintln(out, sanitize(failure))
	}
}

// costText formats with six significant digits, since a single call may cost only 0.00001.
func costText(cost float64) string { return fmt.Sprintf("%.6g", cost) }

// wastedText returns "-" if the cost is not split into used and wasted.
func wastedText(cost burn.Cost) string {
	if cost.Unsplit > 0 {
		return "-"
	}
	return costText(cost.Wasted)
}

func shareText(cost burn.Cost) string {
	if cost.Unsplit > 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*cost.WastedShare())
}
