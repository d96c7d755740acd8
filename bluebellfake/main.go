// Command bluebellfake runs fakes of the platform and of all endpoints of a rules file, and
// injects faults into running ones.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed   = 1
	exitFindings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "bluebellfake:", err)
	if exit, ok := err.(cli.ExitCoder); ok {
		os.Exit(exit.ExitCode())
	}
	os.Exit(exitFailed)
}

// command returns the root command with its subcommands.
func command() *cli.Command {
	return &cli.Command{
		Name:  "bluebellfake",
		Usage: "run fakes of the platform, model engines, stage pools and plain services",
		// main prints errors and converts them to exit codes.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			runCommand(),
			faultCommand(),
			cutCommand(),
			outageCommand(),
			publishCommand(),
		},
	}
}
