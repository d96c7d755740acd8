package bbcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbfleet"
	"bluebellhall/core/bbevent"
)

// Flags of timeline.
const (
	flagRequest  = "request"
	flagEndpoint = "endpoint"
	flagNode     = "node"
	flagKind     = "kind"
	flagContent  = "content"
	flagWarnings = "warnings"
	flagSince    = "since"
)

// timeFormat is how the time line shows times, in UTC.
const timeFormat = "15:04:05.000"

// timelineResult is the output of timeline as JSON.
type timelineResult struct {
	Events   []bbevent.Event   `json:"events"`
	Findings []bbfleet.Finding `json:"findings"`
}

func newTimeline(env *Environment) *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all entry VMs in one order",
		Description: "Asks every entry VM given for its latest events and merges them by their stamps, so that an\n" +
			"event that was caused by another stands after it. With --logs it reads log lines instead.\n" +
			"Times are UTC. docs/EVENTS.md explains each event.\n" +
			"Finds fault with entry VMs that don't answer or no longer hold all that was asked for.",
		Flags: []cli.Flag{
			nodesFlag(false),
			logsFlag(),
			&cli.StringFlag{Name: flagRequest, Usage: "only events of the request with this `ID` or beginning of one"},
			&cli.StringFlag{Name: flagEndpoint, Usage: "only events of the endpoint with this `NAME`"},
			&cli.StringFlag{Name: flagNode, Usage: "only events of or about the entry VM with this `NAME`"},
			&cli.StringFlag{Name: flagKind, Usage: "only events with this `TITLE`, such as rulesRefused"},
			&cli.StringFlag{Name: flagContent, Usage: "with --logs, only lines with this `HASH` of what was asked"},
			&cli.BoolFlag{Name: flagWarnings, Usage: "only warnings and errors"},
			&cli.DurationFlag{Name: flagSince, Usage: "only events of the latest `DURATION`; 0 means all that are held"},
			timeoutFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runTimeline(ctx, env, c)
		},
	}
}

func runTimeline(ctx context.Context, env *Environment, c *cli.Command) error {
	if c.String(flagLogs) != "" {
		return runLogTimeline(env, c)
	}
	if c.String(flagContent) != "" {
		return errors.New("--content needs --logs")
	}
	if c.String(flagNodes) == "" {
		return errors.New("one of --nodes and --logs is needed")
	}
	nodes, err := addresses(c)
	if err != nil {
		return err
	}
	if kind := c.String(flagKind); kind != "" && !isTitle(kind) {
		return errors.Newf("--kind: no event has the title %q; see bluebellctl events", kind)
	}
	var after bbevent.Stamp
	if since := c.Duration(flagSince); since > 0 {
		after = bbevent.StampAt(env.Now().Add(-since))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	events, findings := bbfleet.Timeline(ctx, env.Client, nodes, after, bbfleet.Filter{
		Request:  c.String(flagRequest),
		Endpoint: c.String(flagEndpoint),
		Node:     c.String(flagNode),
		Kind:     c.String(flagKind),
		Warnings: c.Bool(flagWarnings),
	})
	if c.Bool(flagJSON) {
		err = printJSON(env, timelineResult{
			Events:   append([]bbevent.Event{}, events...),
			Findings: append([]bbfleet.Finding{}, findings...),
		})
	} else {
		printTimeline(env, events, findings)
	}
	if err != nil {
		return err
	}
	return findingsError(findings)
}

func printTimeline(env *Environment, events []bbevent.Event, findings []bbfleet.Finding) {
	w := newTable(env)
	for _, e := range events {
		entry, ok := bbevent.Lookup(e.Number)
		if !ok {
			entry.Title = fmt.Sprintf("event %d", e.Number)
		}
		row(w, e.Stamp.Wall().UTC().Format(timeFormat), e.Node, entry.Title, eventSubject(e), e.Detail)
	}
	w.Flush()
	for _, f := range findings {
		fmt.Fprintln(env.Out, "finding:", f)
	}
}

// eventPlace tells what the event is about.
func eventSubject(e bbevent.Event) string {
	var parts []string
	if e.Request != "" {
		parts = append(parts, "request "+e.Request)
	}
	if e.Attempt > 0 {
		parts = append(parts, fmt.Sprintf("stage %d attempt %d", e.Stage+1, e.Attempt))
	}
	if e.Endpoint != "" {
		parts = append(parts, "endpoint "+e.Endpoint)
	}
	if e.Peer != "" {
		parts = append(parts, "peer "+e.Peer)
	}
	return strings.Join(parts, ", ")
}

// isTitle returns true for a title of the catalogue.
func isTitle(title string) bool {
	for _, e := range bbevent.Catalogue {
		if e.Title == title {
			return true
		}
	}
	return false
}
