package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
)

// costReport is the result of cost.
type costReport struct {
	burn.CostReport
	// Failures name the gateways that could not be read.
	Failures []string `json:"failures,omitempty"`
}

func (a *App) costCommand() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "show cost by stage, route and workspace with wasted work apart",
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
	if err := uniqueAddresses(addresses); err != nil {
		return err
	}
	var report costReport
	if _, err := outputFormat(command, &report); err != nil {
		return err
	}
	ledger := burn.NewCostAggregator()
	for _, result := range readGateways(newFetcher(command.Duration("timeout")), addresses, adminapi.PathMetrics) {
		if result.err != nil {
			report.Failures = append(report.Failures, result.err.Error())
			continue
		}
		for _, warning := range result.reading.warnings {
			fmt.Fprintf(a.Err, "hoistctl: %s: %s\n", result.address, plain(warning))
		}
		ledger.Merge(result.reading.ledger)
	}
	report.CostReport = ledger.Report()
	if err := a.print(command, &report); err != nil {
		return err
	}
	if n := len(report.Failures); n > 0 {
		return fmt.Errorf("%d of %d gateways could not be read", n, len(addresses))
	}
	return nil
}

func (r *costReport) table(out io.Writer) {
	stages := newRows(out, "ROUTE", "STAGE", "POOL", "USED", "WASTED", "WASTED SHARE")
	for _, c := range r.Stages {
		stages.add(c.Route, c.Stage, c.Pool, costText(c.Used), costText(c.Wasted), shareText(c.Cost))
	}
	stages.flush()
	fmt.Fprintln(out)
	routes := newRows(out, "ROUTE", "USED", "WASTED", "WASTED SHARE")
	for _, c := range r.Routes {
		routes.add(c.Route, costText(c.Used), costText(c.Wasted), shareText(c.Cost))
	}
	routes.add("total", costText(r.Total.Used), costText(r.Total.Wasted), shareText(r.Total))
	routes.flush()
	fmt.Fprintln(out)
	workspaces := newRows(out, "WORKSPACE", "ROUTE", "COST", "WASTED", "WASTED SHARE")
	for _, c := range r.Workspaces {
		workspaces.add(c.Workspace, c.Route, costText(c.Total()), wastedText(c.Cost), shareText(c.Cost))
	}
	workspaces.flush()
	for _, failure := range r.Failures {
		fmt.Fprintln(out, plain(failure))
	}
}

// costText keeps six digits at any size, since one call may cost a hundred-thousandth.
func costText(cost float64) string { return fmt.Sprintf("%.6g", cost) }

// wastedText is "-" for a cost of which the source does not say whether it was used.
func wastedText(amount burn.Cost) string {
	if amount.Unsplit > 0 {
		return "-"
	}
	return costText(amount.Wasted)
}

func shareText(amount burn.Cost) string {
	if amount.Unsplit > 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*amount.WastedShare())
}
