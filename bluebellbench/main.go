// Command bluebellbench measures the system: it sends load, compares the system with a naive baseline,
// simulates load patterns and injects faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// exitFailed is the exit code after any error.
const exitFailed = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "bluebellbench:", err)
	os.Exit(exitFailed)
}

// command returns the root command.
func command() *cli.Command {
	return &cli.Command{
		Name:  "bluebellbench",
		Usage: "load, demo and measurements",
		Commands: []*cli.Command{
			compareCommand(),
			demoCommand(),
			experimentCommand(),
			lostCommand(),
			loadCommand(),
			slopesCommand(),
			soakCommand(),
		},
	}
}
