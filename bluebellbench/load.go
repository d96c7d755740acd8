package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"bluebellhall/bluebellbench/bbclient"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// maxLoadTime bounds the duration of a load.
const maxLoadTime = time.Hour

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to running entry VMs and report the results",
		Description: "The load has all pipelines and calls of a rules file over all its accounts. Answers\n" +
			"are checked against their requests, which needs endpoints run by bluebellfake.\n" +
			"Exit code 1 means that an answer was incomplete or belonged to another request.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "rules", Required: true, Usage: "rules `FILE` of the fleet"},
			&cli.StringSliceFlag{Name: "node", Required: true, Usage: "`HOST:PORT` of an entry VM; may be repeated"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "mean requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time over which the requests are spread, up to 1h"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load; equal seeds give equal loads"},
			&cli.IntFlag{Name: "in-flight", Value: bbload.DefaultInFlight, Usage: "maximum number of requests in flight"},
			&cli.BoolFlag{Name: "json", Usage: "print the summary as JSON"},
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	rules, err := readRules(c.String("rules"))
	if err != nil {
		return err
	}
	if d := c.Duration("duration"); d <= 0 || d > maxLoadTime {
		return errors.Newf("--duration: %s is not in 0..%s", d, maxLoadTime)
	}
	plan, err := bbload.Plan(bbload.PlanSettings{
		Seed:     c.Uint64("seed"),
		Rate:     c.Float("rate"),
		Duration: c.Duration("duration"),
		Kinds:    bbload.DefaultKinds(rules),
	})
	if err != nil {
		return err
	}
	var nodes []bbclient.Node
	for _, address := range c.StringSlice("node") {
		nodes = append(nodes, bbclient.Node{Address: address})
	}
	client, cleanup := bbclient.New(nodes)
	defer cleanup()
	summary := bbload.Summarize(bbload.Run(ctx, bbload.RunSettings{InFlight: c.Int("in-flight")}, plan, client.Send))
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(summary)
	} else {
		summary.Write(c.Root().Writer)
	}
	if err != nil {
		return errors.Wrap(err, "write summary")
	}
	if summary.Wrong > 0 {
		return errors.Newf("%d answers were incomplete or belonged to another request", summary.Wrong)
	}
	return nil
}

// readRules reads a rules file and reports all its findings.
func readRules(path string) (*bbrule.RuleSet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read rules")
	}
	rules, findings := bbrule.Parse(string(text))
	for _, f := range findings {
		err = errors.CombineErrors(err, errors.Newf("%s:%s", path, f))
	}
	return rules, err
}
