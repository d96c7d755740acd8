package bbcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbfleet"
	"bluebellhall/core/bbmsg"
)

// statusResult is the output of status as JSON.
type statusResult struct {
	Nodes    []bbfleet.Answer  `json:"nodes"`
	Findings []bbfleet.Finding `json:"findings"`
}

func newStatus(env *Environment) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what the entry VMs say of themselves",
		Description: "Asks every entry VM given, and prints the revision of the rules in force, the member list,\n" +
			"endpoints with their owner and state, what is held back and why, and failure domains out.\n" +
			"Finds fault with entry VMs that don't answer, are not ready or not confirmed, differ in their\n" +
			"rules, refused a revision, have lost a peer or the configuration service, and with endpoints\n" +
			"that several entry VMs claim. The answers are not from one instant: ask again before acting.",
		Flags: []cli.Flag{
			nodesFlag(true),
			timeoutFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			all, err := queryNodes(ctx, env, c)
			if err != nil {
				return err
			}
			findings := bbfleet.Findings(all)
			if c.Bool(flagJSON) {
				err = printJSON(env, statusResult{
					Nodes:    all,
					Findings: append([]bbfleet.Finding{}, findings...),
				})
			} else {
				printStatus(env, all, findings)
			}
			if err != nil {
				return err
			}
			return findingsError(findings)
		},
	}
}

func printStatus(env *Environment, all []bbfleet.Answer, findings []bbfleet.Finding) {
	w := newTable(env)
	row(w, "NODE", "DOMAIN", "STATE", "CONFIRMED", "RULES", "LIST", "PLATFORM", "REQUESTS", "RECORDS", "ATTEMPTS", "QUEUED", "OUT")
	for _, a := range all {
		if s := a.Status; s != nil {
			row(w, s.Node, s.Domain, nodeState(s), yesOrNo(s.Confirmed), s.Rules.Revision, s.ListRevision, upOrDown(s.Platform.Up),
				s.Counts.Requests, s.Counts.Records, s.Counts.Attempts, s.Counts.Queued, listOrNone(s.DomainsOut))
			continue
		}
		row(w, a.Address, "-", "no answer")
	}
	w.Flush()
	fmt.Fprintln(env.Out)
	printEndpoints(env, all)
	for _, f := range findings {
		fmt.Fprintln(env.Out, "finding:", f)
	}
}

// printEndpoints prints the endpoints of all owners and what is held back.
func printEndpoints(env *Environment, all []bbfleet.Answer) {
	w := newTable(env)
	row(w, "ENDPOINT", "OWNER", "STATE", "IN FLIGHT", "WINDOW", "QUEUED", "WAIT", "MODEL", "HELD BACK")
	for _, a := range all {
		if a.Status == nil {
			continue
		}
		for _, e := range a.Status.Endpoints {
			row(w, e.Name, a.Status.Node, e.State, e.InFlight, e.Window, e.Queued, fmt.Sprintf("%d ms", e.WaitMillis),
				textOrNone(e.Model), heldBack(a.Status, e.Name))
		}
	}
	w.Flush()
}

// heldBack returns why an endpoint gets less than the rules allow.
func heldBack(s *bbmsg.Status, endpoint string) string {
	var reasons []string
	for _, h := range s.HeldBack {
		if h.Endpoint == endpoint {
			reasons = append(reasons, string(h.Reason))
		}
	}
	return textOrNone(strings.Join(reasons, ","))
}

func nodeState(s *bbmsg.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "starting"
	}
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func textOrNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
