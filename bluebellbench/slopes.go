package main

import (
	"context"

	"bluebellhall/bluebellbench/bbcompare"
	"bluebellhall/bluebellbench/bbslope"

	"github.com/urfave/cli/v3"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how memory, bytes and processor time of an entry VM grow, as a Markdown table",
		Description: "Drives the core of one node under a manual clock, and with --sockets seven entry VMs\n" +
			"with fake endpoints over loopback. docs/CAPACITY.md is derived from these figures.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "sockets", Usage: "also measure complete requests over sockets, which takes about 90 s"},
			&cli.StringFlag{Name: "rules", Value: "examples/khangai/rules.txt", Usage: "rules `FILE` for --sockets"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load; equal seeds give equal loads"},
		},
		Action: slopes,
	}
}

func slopes(ctx context.Context, c *cli.Command) error {
	found, err := bbslope.Measure()
	if err != nil {
		return err
	}
	if c.Bool("sockets") {
		rules, err := readRules(c.String("rules"))
		if err != nil {
			return err
		}
		costs, err := bbcompare.Costs(ctx, rules, c.Uint64("seed"))
		if err != nil {
			return err
		}
		found = append(found, costs...)
	}
	bbslope.Write(c.Root().Writer, found)
	return nil
}
