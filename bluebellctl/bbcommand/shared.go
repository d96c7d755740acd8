package bbcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbfleet"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// tabPadding is the space between the columns of tables.
const tabPadding = 2

// The flags that several commands have.
const (
	flagJSON    = "json"
	flagNodes   = "nodes"
	flagTimeout = "timeout"
	flagDomain  = "domain"
)

// defaultTimeout bounds the questions to entry VMs.
const defaultTimeout = 3 * time.Second

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{
		Name:  flagJSON,
		Usage: "print one JSON value instead of text",
	}
}

func nodesFlag(isRequired bool) cli.Flag {
	return &cli.StringFlag{
		Name:     flagNodes,
		Usage:    "addresses of entry VMs, as `host:port,host:port`",
		Required: isRequired,
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{
		Name:  flagTimeout,
		Usage: "how long to wait for entry VMs",
		Value: defaultTimeout,
	}
}

// addresses returns the entry VMs of the command line.
func addresses(c *cli.Command) ([]string, error) {
	text := c.String(flagNodes)
	if text == "" {
		return nil, nil
	}
	var found []string
	for address := range strings.SplitSeq(text, ",") {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Newf("--nodes: %q is not host:port", address)
		}
		found = append(found, address)
	}
	return found, nil
}

// answers asks the entry VMs of the command line for their status; it returns nil
// when none are given.
func queryNodes(ctx context.Context, env *Environment, c *cli.Command) ([]bbfleet.Answer, error) {
	nodes, err := addresses(c)
	if err != nil || len(nodes) == 0 {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	return bbfleet.Statuses(ctx, env.Client, nodes), nil
}

// liveStatuses is answers for commands that need all of them.
func liveStatuses(ctx context.Context, env *Environment, c *cli.Command) ([]*bbmsg.Status, error) {
	all, err := queryNodes(ctx, env, c)
	if err != nil {
		return nil, err
	}
	var statuses []*bbmsg.Status
	for _, a := range all {
		if a.Status == nil {
			return nil, errors.Newf("%s: %s", a.Address, a.Error)
		}
		statuses = append(statuses, a.Status)
	}
	return statuses, nil
}

// readRules reads a valid rules file. It prints the findings of an invalid one.
func readRules(env *Environment, name string) (*bbrule.RuleSet, error) {
	text, err := env.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "rules file")
	}
	set, findings := bbrule.Parse(string(text))
	if len(findings) > 0 {
		printFindings(env, name, findings)
		return nil, errFindings
	}
	return set, nil
}

// printFindings prints a line for each finding, with the file as its place.
func printFindings(env *Environment, name string, findings []bbrule.Finding) {
	for _, f := range findings {
		fmt.Fprintf(env.Out, "%s:%s\n", name, f)
	}
}

// printJSON prints one value.
func printJSON(env *Environment, value any) error {
	encoder := json.NewEncoder(env.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "output")
}

// newTable returns a writer that aligns columns; the caller flushes it.
func newTable(env *Environment) *tabwriter.Writer {
	return tabwriter.NewWriter(env.Out, 0, 0, tabPadding, ' ', 0)
}

// row writes one line of a table without empty cells at its end.
func row(w *tabwriter.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	fmt.Fprintln(w, strings.TrimRight(strings.Join(texts, "\t"), "\t"))
}

// foundOrNil returns errFindings when there are any.
func findingsError[T any](findings []T) error {
	if len(findings) > 0 {
		return errFindings
	}
	return nil
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
