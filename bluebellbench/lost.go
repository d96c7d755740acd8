package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellbench/bbaudit"
	"bluebellhall/bluebellbench/bbclient"
	"bluebellhall/bluebellbench/bbcluster"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebelld/bbserver"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbrule"
)

const (
	// lostNodes is the number of entry VMs.
	lostNodes = 7
	// lostReadyTimeout bounds the start of the cluster.
	lostReadyTimeout = 15 * time.Second
	// lostWarmRate and lostWarmTime are the rate, in requests a second, and the length of the load that warms
	// the endpoints.
	lostWarmRate = 80
	lostWarmTime = 6 * time.Second
	// lostDetectionTime is the time between the kills and the load, in which peers detect the loss.
	lostDetectionTime = 2 * time.Second
)

// lostCommand returns the command that measures a load while the member list still contains entry VMs
// that were killed.
func lostCommand() *cli.Command {
	return &cli.Command{
		Name:  "lost",
		Usage: "kill entry VMs that the platform continues to list, and report the results of a load",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "rules", Value: "examples/khangai/rules.txt", Usage: "rules `FILE`"},
			&cli.StringSliceFlag{Name: "kill", Usage: "`NAME` of an entry VM; may be repeated"},
			&cli.BoolFlag{Name: "unlist", Usage: "remove the killed entry VMs from the platform's member list"},
			&cli.Float64Flag{Name: "rate", Value: 80, Usage: "mean requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the load as a `TIME`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds the load; equal seeds give equal loads"},
		},
		Action: runLost,
	}
}

// runLost starts a cluster, warms its endpoints, kills entry VMs and reports the results of a load.
func runLost(ctx context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("rules"))
	if err != nil {
		return errors.Wrap(err, "read rules")
	}
	rules, err := readRules(c.String("rules"))
	if err != nil {
		return err
	}
	cluster, cleanup, err := bbcluster.Start(bbcluster.Settings{
		Rules: string(text),
		Fleet: bbfleet.Settings{
			FreePorts: true,
			Seed:      c.Uint64("seed"),
		},
		Domains: lostDomains(rules),
	})
	if err != nil {
		return err
	}
	defer cleanup()
	confirmed := func(s *bbserver.Server) bool { return s.Status().Ready && s.Status().Confirmed }
	if err := cluster.WaitReady(lostReadyTimeout, confirmed); err != nil {
		return err
	}
	var nodes []bbclient.Node
	for _, name := range cluster.Names() {
		nodes = append(nodes, bbclient.Node{
			Address: cluster.Address(name),
			Region:  cluster.Server(name).Status().Region,
		})
	}
	client, closeClient := bbclient.New(nodes)
	defer closeClient()
	if _, err := lostLoad(ctx, c, rules, client, lostWarmRate, lostWarmTime); err != nil {
		return err
	}
	for _, name := range c.StringSlice("kill") {
		cluster.Kill(name)
		if c.Bool("unlist") {
			cluster.SetListed(name, false)
		}
	}
	time.Sleep(lostDetectionTime)
	results, err := lostLoad(ctx, c, rules, client, c.Float64("rate"), c.Duration("duration"))
	if err != nil {
		return err
	}
	audit := bbaudit.Check(cluster.Fleet, results)
	bbload.Summarize(results).Write(c.Root().Writer)
	_, _ = fmt.Fprintf(c.Root().Writer, "answered %d of %d, broken promises %d\n", audit.Answered, audit.Requests, audit.Violations())
	return nil
}

// lostDomains returns the failure domain of each entry VM, assigned round-robin.
func lostDomains(rules *bbrule.RuleSet) []string {
	var domains []string
	for i := range lostNodes {
		domains = append(domains, rules.Domains[i%len(rules.Domains)].Name)
	}
	return domains
}

// lostLoad sends a load of the default mix and returns its results.
func lostLoad(ctx context.Context, c *cli.Command, rules *bbrule.RuleSet, client *bbclient.Client, rate float64, length time.Duration) ([]bbload.Result, error) {
	plan, err := bbload.Plan(bbload.PlanSettings{
		Seed:     c.Uint64("seed"),
		Rate:     rate,
		Duration: length,
		Kinds:    bbload.DefaultKinds(rules),
	})
	if err != nil {
		return nil, err
	}
	return bbload.Run(ctx, bbload.RunSettings{}, plan, client.Send), nil
}
