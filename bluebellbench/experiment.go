package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellbench/bbexperiment"
)

// experimentCommand returns the command that simulates load patterns in virtual time.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "simulate load patterns in virtual time, with the current policy and with baselines",
		ArgsUsage: "PATTERN...",
		Flags: []cli.Flag{
			&cli.FloatSliceFlag{
				Name:  "load",
				Usage: "multiple of the pattern's `LOAD`; may be repeated",
				Value: []float64{0.5, 1, 1.7, 3},
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "`NUMBER` of seeds for each row of the table",
				Value: 5,
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "write a plot of worth against load to `FILE`, PNG or SVG",
			},
		},
		Action: runExperiment,
	}
}

func runExperiment(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return errors.New("at least one pattern file is needed")
	}
	var results []bbexperiment.Result
	for _, path := range c.Args().Slice() {
		pattern, err := bbexperiment.Load(path)
		if err != nil {
			return err
		}
		for _, load := range c.FloatSlice("load") {
			for _, policy := range bbexperiment.Policies {
				for seed := range c.Int("seeds") {
					results = append(results, bbexperiment.Simulate(pattern, policy, load, uint64(seed)))
				}
			}
		}
	}
	if path := c.String("plot"); path != "" {
		if err := bbexperiment.Plot(path, results); err != nil {
			return err
		}
	}
	return bbexperiment.Table(os.Stdout, results)
}
