//go:build rolling

package bbcluster

import (
	"context"
	"regexp"
	"testing"
	"time"

	"bluebellhall/bluebellbench/bbaudit"
	"bluebellhall/bluebellbench/bbclient"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/core/bbmsg"
)

// TestRollingReplacement drains every node, one after the other, and restarts it while a load runs. No link
// is blocked, so no request may end as unknown or without an outcome, except those in flight when the test
// ends the load.
func TestRollingReplacement(t *testing.T) {
	c := startCluster(t, func(rules string) string {
		return regexp.MustCompile(`\banswer=\S+`).ReplaceAllString(rules, "answer=2s")
	})
	client, cleanup := bbclient.New(clientNodes(c))
	defer cleanup()
	plan, err := bbload.Plan(bbload.PlanSettings{
		Seed:     1,
		Rate:     15,
		Duration: 150 * time.Second,
		Kinds:    bbload.DefaultKinds(c.Fleet.Rules),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan []bbload.Result)
	go func() { ended <- bbload.Run(ctx, bbload.RunSettings{}, plan, client.Send) }()
	for _, name := range c.Names() {
		c.Fleet.SetLeaving(name, true)
		if err := c.Drain(name, testTimeout); err != nil {
			t.Error(err)
		}
		c.SetListed(name, false)
		if err := c.Restart(name); err != nil {
			t.Fatal(err)
		}
		c.SetListed(name, true)
		waitUsable(t, c)
	}
	stop()
	var results []bbload.Result
	for _, r := range <-ended {
		cancelled := r.Reply.Outcome == bbmsg.OutcomeUnknown && r.Reply.Reason == bbmsg.ReasonNone
		if r.Reply.Outcome != "" && !cancelled {
			results = append(results, r)
		}
	}
	audit := bbaudit.Check(c.Fleet, results)
	if audit.Violations() > 0 || audit.Answered == 0 {
		t.Errorf("violated guarantees: %+v", audit)
	}
	for _, r := range results {
		if r.Reply.Outcome == bbmsg.OutcomeUnknown {
			t.Errorf("request %d ended as unknown: %s", r.Request.Number, r.Reply.Reason)
		}
	}
	t.Logf("outcomes: %v", bbload.Summarize(results).Outcomes)
}
