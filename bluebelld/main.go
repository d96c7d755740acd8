// Command bluebelld is the daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebelld/bbserver"
	"bluebellhall/bluebelld/bbsettings"
)

// The exit codes of the program.
const (
	exitFindings = 1
	exitUsage    = 2
)

func main() {
	command := &cli.Command{
		Name:  "bluebelld",
		Usage: "run an entry VM: serve callers and peers, and call endpoints",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "JSON `FILE` with the settings of this VM",
				Required: true,
			},
			&cli.BoolFlag{
				Name:  "check",
				Usage: "validate the settings, print all findings and exit",
			},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bluebelld:", err)
		os.Exit(exitUsage)
	}
}

// run validates the settings and serves until a signal starts a graceful stop. A second signal
// ends the process at once.
func run(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	settings, findings, err := bbsettings.Load(path)
	if err != nil {
		return err
	}
	for _, f := range findings {
		fmt.Fprintf(os.Stderr, "%s:%s\n", path, f)
	}
	if len(findings) > 0 {
		os.Exit(exitFindings)
	}
	if c.Bool("check") {
		fmt.Println("no findings")
		return nil
	}
	return serve(settings)
}

// serve runs the VM until a graceful stop is complete or a second signal arrives.
func serve(settings bbsettings.Settings) error {
	server, cleanup, err := bbserver.Start(settings, bbserver.Hooks{
		Log: os.Stdout,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	server.Drain()
	select {
	case <-server.Stopped:
		return nil
	case <-signals:
		return errors.New("second signal: exiting before the graceful stop was complete")
	}
}
