// Command hoist-evaluate compares the gateway's decisions with simple baselines in
// simulated time and prints the tables of docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/internal/evaluate"
)

func main() {
	command := &cli.Command{
		Name:  "hoist-evaluate",
		Usage: "compare the gateway's decisions with simple baselines in simulated time",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generator"}},
		Action: func(_ context.Context, command *cli.Command) error {
			evaluate.Run(os.Stdout, command.Uint64("seed"))
			return nil
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hoist-evaluate:", err)
		os.Exit(1)
	}
}
