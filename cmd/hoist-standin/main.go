// Command hoist-standin emulates the platform and upstreams for tests and runs a load
// generator.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamhoist/hornbeamhoist/internal/capacity"
	"github.com/hornbeamhoist/hornbeamhoist/internal/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := standin.Command()
	command.Commands = append(command.Commands, capacity.Command())
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hoist-standin:", err)
		os.Exit(1)
	}
}
