package bbcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbpreview"
	"bluebellhall/core/bbrule"
)

func newDrain(env *Environment) *cli.Command {
	return newDomainChange(env, true, &cli.Command{
		Name:      "drain",
		Usage:     "preview taking a failure domain out of service",
		ArgsUsage: "FILE DOMAIN",
		Description: "Prints the line to add to the rules and its effect: endpoints and slots of each service before\n" +
			"and after, and with --nodes the requests that are running or queued. Nothing is changed: publish\n" +
			"the changed rules to take the domain out. Findings (exit code 1) are services and stages that\n" +
			"would lose their last endpoint, and services that would have fewer slots than requests.",
	})
}

func newReturn(env *Environment) *cli.Command {
	return newDomainChange(env, false, &cli.Command{
		Name:      "return",
		Usage:     "preview bringing a failure domain back into service",
		ArgsUsage: "FILE DOMAIN",
		Description: "Prints the line to remove from the rules and its effect. Endpoints that return are cold at\n" +
			"first and get only as many requests as they have cold slots. Nothing is changed: publish the\n" +
			"changed rules to bring the domain back.",
	})
}

// newDomainChange adds flags and action to a command that takes a domain out or brings it back.
func newDomainChange(env *Environment, out bool, c *cli.Command) *cli.Command {
	c.Flags = previewFlags()
	c.Action = func(ctx context.Context, c *cli.Command) error {
		arguments, err := argumentsOf(c, "FILE", "DOMAIN")
		if err != nil {
			return err
		}
		before, err := readRules(env, arguments[0])
		if err != nil {
			return err
		}
		after, err := bbpreview.WithDomainOut(before, arguments[1], out)
		if err != nil {
			return err
		}
		if !c.Bool(flagJSON) {
			printDomainLine(env, arguments[1], out)
		}
		return runPreview(ctx, env, c, before, after)
	}
	return c
}

func newCompare(env *Environment) *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "preview replacing one rules file by another",
		ArgsUsage: "OLD NEW",
		Description: "Prints which endpoints stop and start getting new work when NEW replaces OLD. The findings are\n" +
			"those of drain.",
		Flags: previewFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			arguments, err := argumentsOf(c, "OLD", "NEW")
			if err != nil {
				return err
			}
			before, err := readRules(env, arguments[0])
			if err != nil {
				return err
			}
			after, err := readRules(env, arguments[1])
			if err != nil {
				return err
			}
			return runPreview(ctx, env, c, before, after)
		},
	}
}

func previewFlags() []cli.Flag {
	return []cli.Flag{
		nodesFlag(false),
		timeoutFlag(),
		jsonFlag(),
	}
}

func runPreview(ctx context.Context, env *Environment, c *cli.Command, before, after *bbrule.RuleSet) error {
	statuses, err := liveStatuses(ctx, env, c)
	if err != nil {
		return err
	}
	preview := bbpreview.Compare(before, after, statuses)
	if c.Bool(flagJSON) {
		if err := printJSON(env, preview); err != nil {
			return err
		}
		return findingsError(preview.Findings)
	}
	printPreview(env, preview)
	return findingsError(preview.Findings)
}

func printDomainLine(env *Environment, domain string, out bool) {
	if out {
		fmt.Fprintf(env.Out, "add this line, with your name and the reason:\n  out %s # \n", domain)
		return
	}
	fmt.Fprintf(env.Out, "remove the line that starts with:\n  out %s\n", domain)
}

func printPreview(env *Environment, p bbpreview.Preview) {
	if len(p.Services) == 0 {
		fmt.Fprintln(env.Out, "no endpoint stops or starts getting new work")
	}
	w := newTable(env)
	if len(p.Services) > 0 {
		row(w, "SERVICE", "ENDPOINTS", "WARM SLOTS", "COLD AT FIRST", "BUSY", "MOVING", "LEAVING", "JOINING")
	}
	for _, s := range p.Services {
		row(w, s.Service,
			fmt.Sprintf("%d -> %d", s.EndpointsBefore, s.EndpointsAfter),
			fmt.Sprintf("%d -> %d", s.SlotsBefore, s.SlotsAfter),
			s.ColdSlots,
			countOrUnknown(s.Busy),
			countOrUnknown(s.Moving),
			listOrNone(s.Leaving),
			listOrNone(s.Joining))
	}
	w.Flush()
	for _, f := range p.Findings {
		fmt.Fprintln(env.Out, "finding:", f)
	}
}

func countOrUnknown(count int) string {
	if count < 0 {
		return "?"
	}
	return fmt.Sprint(count)
}

func listOrNone(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}
