package bbcommand

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/core/bbrule"
)

// checkResult is the output of check as JSON.
type checkResult struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Digest   string           `json:"digest"`
	Findings []bbrule.Finding `json:"findings"`
}

func newCheck(env *Environment) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a rules file as the entry VMs will",
		ArgsUsage: "FILE",
		Description: "Prints every finding as file:line:column: text (check number). An entry VM refuses a text\n" +
			"with findings whole and keeps the one before. docs/RULES.md lists the checks.",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			arguments, err := argumentsOf(c, "FILE")
			if err != nil {
				return err
			}
			return runCheck(env, arguments[0], c.Bool(flagJSON))
		},
	}
}

func runCheck(env *Environment, name string, asJSON bool) error {
	text, err := env.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "rules file")
	}
	set, findings := bbrule.Parse(string(text))
	digest := fmt.Sprintf("%016x", bbrule.Digest(string(text)))
	if asJSON {
		if findings == nil {
			findings = []bbrule.Finding{}
		}
		err := printJSON(env, checkResult{
			File:     name,
			Valid:    set != nil,
			Digest:   digest,
			Findings: findings,
		})
		if err != nil {
			return err
		}
		return findingsError(findings)
	}
	printFindings(env, name, findings)
	if set == nil {
		fmt.Fprintf(env.Out, "%d findings; the text would be refused\n", len(findings))
		return errFindings
	}
	fmt.Fprintf(env.Out, "%s is valid, digest %s: %d domains, %d services, %d endpoints, %d pipelines, %d accounts\n",
		name, digest, len(set.Domains), len(set.Services), len(set.Endpoints), len(set.Pipelines), len(set.Accounts))
	return nil
}
