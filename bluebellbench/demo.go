package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellbench/bbdemo"
)

// demoCommand returns the command that runs the whole system in this process and injects failures.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run seven entry VMs, a fake platform and fake endpoints in this process, inject failures and report",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "rules",
				Usage: "rules `FILE`",
				Value: "examples/khangai/rules.txt",
			},
			&cli.Float64Flag{
				Name:  "rate",
				Usage: "`REQUESTS` a second",
				Value: 80,
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "length of the load as a `TIME`",
				Value: 16 * time.Second,
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "`NUMBER` that seeds the load; equal seeds give equal loads",
				Value: 1,
			},
			&cli.BoolFlag{
				Name:  "log",
				Usage: "write the logs of all nodes to standard error",
			},
		},
		Action: runDemo,
	}
}

// runDemo reads the rules and runs the demo.
func runDemo(ctx context.Context, c *cli.Command) error {
	rules, err := os.ReadFile(c.String("rules"))
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	settings := bbdemo.Settings{
		Rules:    string(rules),
		Rate:     c.Float64("rate"),
		Duration: c.Duration("duration"),
		Seed:     c.Uint64("seed"),
		Out:      os.Stdout,
	}
	if c.Bool("log") {
		settings.Log = os.Stderr
	}
	return bbdemo.Run(ctx, settings)
}
