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
		Usage:     "preview taking a failure domain out",
		ArgsUsage: "FILE DOMAIN",
		Description: "Prints the line to add to the rules and what it takes out: endpoints and slots of each\n" +
			"service before and after, and with --nodes the requests that run now. Nothing is changed;\n" +
			"publish the changed rules to do it. Finds fault when a service or stage would be left\n" +
			"without an endpoint, or with fewer slots than it has requests.",
	})
}

func newReturn(env *Environment) *cli.Command {
	return newDomainChange(env, false, &cli.Command{
		Name:      "return",
		Usage:     "preview bringing a failure domain back",
		ArgsUsage: "FILE DOMAIN",
		Description: "Prints the line to remove from the rules and what comes back. Endpoints that come back\n" +
			"start as cold: they carry their cold slots first. Nothing is changed; publish the changed\n" +
			"rules to do it.",
	})
}

// newDomainChange completes a command that takes a domain out or brings it back.
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
		Usage:     "preview the step from one rules file to another",
		ArgsUsage: "OLD NEW",
		Description: "Prints what stops and what starts to get new work when NEW takes the place of OLD.\n" +
			"Finds fault like drain.",
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
		fmt.Fprintf(env.Out, "add this line, with your name and the cause:\n  out %s # \n", domain)
		return
	}
	fmt.Fprintf(env.Out, "remove the line that starts with:\n  out %s\n", domain)
}

func printPreview(env *Environment, p bbpreview.Preview) {
	if len(p.Services) == 0 {
		fmt.Fprintln(env.Out, "no endpoint stops or starts to get new work")
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
