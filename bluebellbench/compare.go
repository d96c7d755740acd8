package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"bluebellhall/bluebellbench/bbcompare"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "measure the system and the naive baseline under equal load and faults, each with fake endpoints of its own",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "rules", Value: "examples/khangai/rules.txt", Usage: "rules `FILE`; sizes of engines and deadlines are replaced"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "`NAME` of a scenario; may be repeated, default all"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load; equal seeds give equal loads"},
			&cli.StringFlag{Name: "out", Usage: "`DIRECTORY` for compare.md and plots; without it the tables go to standard output"},
			&cli.BoolFlag{Name: "list", Usage: "print the scenarios"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, c *cli.Command) error {
	if c.Bool("list") {
		for _, s := range bbcompare.Scenarios() {
			fmt.Fprintf(c.Root().Writer, "%-12s %s\n", s.Name, s.Title)
		}
		return nil
	}
	rules, err := readRules(c.String("rules"))
	if err != nil {
		return err
	}
	scenarios, err := selectScenarios(c.StringSlice("scenario"))
	if err != nil {
		return err
	}
	var pairs []bbcompare.Pair
	for _, s := range scenarios {
		begin := time.Now()
		pair, err := bbcompare.Run(ctx, rules, s, c.Uint64("seed"))
		if err != nil {
			return errors.Wrapf(err, "scenario %s", s.Name)
		}
		fmt.Fprintf(os.Stderr, "%s: %s\n", s.Name, time.Since(begin).Round(time.Millisecond))
		pairs = append(pairs, pair)
	}
	if c.String("out") == "" {
		bbcompare.Write(c.Root().Writer, c.Uint64("seed"), pairs)
		return nil
	}
	return writeReport(c.String("out"), c.Uint64("seed"), pairs)
}

// selectScenarios returns the scenarios with the given names, or all scenarios if there are no names.
func selectScenarios(names []string) ([]bbcompare.Scenario, error) {
	all := bbcompare.Scenarios()
	if len(names) == 0 {
		return all, nil
	}
	var found []bbcompare.Scenario
	for _, name := range names {
		i := slices.IndexFunc(all, func(s bbcompare.Scenario) bool { return s.Name == name })
		if i < 0 {
			return nil, errors.Newf("unknown scenario %q; --list prints all scenarios", name)
		}
		found = append(found, all[i])
	}
	return found, nil
}

// writeReport writes compare.md and the plots into a directory.
func writeReport(directory string, seed uint64, pairs []bbcompare.Pair) error {
	var text bytes.Buffer
	bbcompare.Write(&text, seed, pairs)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	path := filepath.Join(directory, "compare.md")
	if err := os.WriteFile(path, text.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	return bbcompare.Plot(directory, pairs)
}
