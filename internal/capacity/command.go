// Package capacity measures the CPU, memory and network use of the control path per VM
// at several fleet sizes, on one host over loopback.
package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// options configures a measurement.
type options struct {
	agentProgram      string
	zones             int
	upstreams         int
	workspaces        int
	reportsPerGateway int
	warmUp            time.Duration
	steadyDuration    time.Duration
	changeCount       int
	changeInterval    time.Duration
}

// Command returns the subcommand that runs the measurements and prints their results.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure messages, CPU time and memory of agents at several fleet sizes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "agent", Usage: "path of the hoist-agent binary", Value: "bin/hoist-agent"},
			&cli.IntSliceFlag{Name: "processes", Usage: "fleet sizes to run as agent processes", Value: []int{2, 8, 32, 100}},
			&cli.IntSliceFlag{Name: "machines", Usage: "fleet sizes to run as state machines in this process", Value: []int{8, 32, 100, 330}},
			&cli.IntFlag{Name: "zones", Value: 6},
			&cli.IntFlag{Name: "upstreams", Value: 600},
			&cli.IntFlag{Name: "workspaces", Value: 3000},
			&cli.IntFlag{Name: "reports", Usage: "number of upstreams that each gateway reports every second", Value: 29},
			&cli.DurationFlag{Name: "warm-up", Value: 20 * time.Second},
			&cli.DurationFlag{Name: "steady", Usage: "duration of the measurement without configuration changes", Value: 60 * time.Second},
			&cli.IntFlag{Name: "changes", Usage: "number of configuration changes to measure after the steady state", Value: 10},
			&cli.DurationFlag{Name: "between", Usage: "time between two configuration changes", Value: 3 * time.Second},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	o := options{
		agentProgram: command.String("agent"), zones: command.Int("zones"), upstreams: command.Int("upstreams"),
		workspaces: command.Int("workspaces"), reportsPerGateway: command.Int("reports"), warmUp: command.Duration("warm-up"),
		steadyDuration: command.Duration("steady"), changeCount: command.Int("changes"), changeInterval: command.Duration("between"),
	}
	routes, pools := generateTables(o.workspaces, o.upstreams, 0)
	fmt.Printf("routes table %d bytes, pools table %d bytes\n", len(routes), len(pools))
	for _, n := range command.IntSlice("machines") {
		fmt.Println(measureStateMachines(n, o))
	}
	for _, n := range command.IntSlice("processes") {
		result, err := measureProcesses(ctx, n, o)
		if err != nil {
			return errors.Wrapf(err, "%d agents", n)
		}
		fmt.Println(result)
	}
	return nil
}
