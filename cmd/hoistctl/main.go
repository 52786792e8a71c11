// Command hoistctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamhoist/hornbeamhoist/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.NewApp(os.Stdout, os.Stderr).Run(ctx, os.Args)
	stop()
	os.Exit(code)
}
