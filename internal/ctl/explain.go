package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
)

// explainReport is the output of the explain command.
type explainReport struct{ adminapi.Explanation }

func (a *App) explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show which upstreams a gateway could use for a route and why",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagGateway, Required: true, Usage: "administration `ADDRESS` (IP:port) of the gateway"},
			&cli.StringFlag{Name: "route", Required: true, Usage: "`NAME` of the route"},
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "`NAME` of the workspace"},
			timeoutFlag(),
		},
		Action: a.explain,
	}
}

func (a *App) explain(_ context.Context, command *cli.Command) error {
	if _, err := arguments(command); err != nil {
		return err
	}
	var report explainReport
	if _, err := outputFormat(command, &report); err != nil {
		return err
	}
	query := url.Values{
		adminapi.ParamRoute:     {command.String("route")},
		adminapi.ParamWorkspace: {command.String("workspace")},
	}
	client := newAdminClient(command.Duration("timeout"))
	if err := client.getJSON(command.String(flagGateway), adminapi.PathExplain, query, &report.Explanation); err != nil {
		return err
	}
	return a.print(command, &report)
}

func (r *explainReport) table(out io.Writer) {
	fmt.Fprintf(out, "route %s, workspace %s on %s in %s (routes %d, pools %d)\n",
		sanitize(r.Route), sanitize(r.Workspace), sanitize(r.VM), sanitize(r.Zone), r.Revisions.Routes, r.Revisions.Pools)
	rows := newTableWriter(out, "STAGE", "POOL", "UPSTREAM", "ZONE", "FILTER", "SCORE", "WARMTH", "IN FLIGHT", "LIMIT")
	for _, stage := range r.Stages {
		for _, pool := range stage.Pools {
			for _, c := range pool.Candidates {
				score := "-"
				if c.Filter == adminapi.FilterOK {
					score = fmt.Sprintf("%.3f", c.Score)
				}
				rows.addRow(stage.Stage, pool.Pool, c.Upstream, c.Zone, c.Filter, score, c.Warmth, c.InFlight, c.Limit)
			}
		}
	}
	rows.flush()
}
