package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbjson"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "start a platform and all endpoints of a rules file, and run until interrupted",
		Description: "All listen on loopback. The settings name the rules file and the entry VMs\n" +
			"of the member list. Exit code 2 means that the settings or the rules have findings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "JSON `FILE` with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check settings and rules without starting anything"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	settings, text, err := load(c.String("settings"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Fprintln(c.Root().Writer, "no findings")
		return nil
	}
	fleet, cleanup, err := bbfleet.Start(settings, text)
	if err != nil {
		return err
	}
	defer cleanup()
	fmt.Fprintf(c.Root().Writer, "platform on %s, %d endpoints\n", fleet.Platform.Address(), len(fleet.Endpoints))
	<-ctx.Done()
	return nil
}

// load reads the settings and their rules file and returns all findings of both as one error.
func load(path string) (bbfleet.Settings, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return bbfleet.Settings{}, "", errors.Wrap(err, "read settings")
	}
	settings, found := bbfleet.Parse(data)
	if len(found) > 0 {
		return settings, "", findings(path, found, "", nil)
	}
	rulesPath := filepath.Join(filepath.Dir(path), settings.Rules)
	text, err := os.ReadFile(rulesPath)
	if err != nil {
		return settings, "", errors.Wrapf(err, "%s: rules", path)
	}
	rules, ruleFindings := bbrule.Parse(string(text))
	if rules == nil {
		rules = &bbrule.RuleSet{}
	}
	// The settings are checked against the rules, so invalid rules would lead to wrong findings
	// for the settings. Then only the findings of the rules are reported.
	if len(ruleFindings) == 0 {
		found = bbfleet.Check(settings, rules)
	}
	if len(found)+len(ruleFindings) > 0 {
		return settings, "", findings(path, found, rulesPath, ruleFindings)
	}
	return settings, string(text), nil
}

// findings returns one error with all findings, one per line with its position.
func findings(path string, found []bbjson.Finding, rulesPath string, ruleFindings []bbrule.Finding) error {
	var lines []string
	for _, f := range found {
		lines = append(lines, fmt.Sprintf("%s:%s", path, f))
	}
	for _, f := range ruleFindings {
		lines = append(lines, fmt.Sprintf("%s:%d:%d: %s", rulesPath, f.Line, f.Column, f.Text))
	}
	text := fmt.Sprintf("%d findings\n%s", len(lines), strings.Join(lines, "\n"))
	return cli.Exit(text, exitFindings)
}
