package bbcommand

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbexplanation"
	"bluebellhall/core/bbroute"
	"bluebellhall/core/bbrule"
)

// Flags of explain.
const (
	flagPipeline    = "pipeline"
	flagCall        = "call"
	flagSession     = "session"
	flagSeed        = "seed"
	flagDomainDelay = "domainMillis"
	flagRegionDelay = "regionMillis"
	flagByteDelay   = "gigabyteMillis"
)

// Defaults of the costs that the choice weighs, in milliseconds.
const (
	defaultDomainMillis = 1.5
	defaultRegionMillis = 10
)

func newExplain(env *Environment) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell why a request would go where",
		ArgsUsage: "FILE",
		Description: "Prints, stage by stage, the endpoints in the order in which the home of the request prefers\n" +
			"them, with the reason for each; the chosen one is marked with *. Between like endpoints the\n" +
			"choice is drawn, so that other requests may go elsewhere. The rules file gives the endpoints;\n" +
			"without --nodes all are taken to be warm and idle, with it their owners are asked.\n" +
			"Finds fault (exit code 1) when a stage has no endpoint.\n" +
			"With --logs it tells why a request that has ended was answered, refused or lost.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPipeline, Usage: "`NAME` of the pipeline that is asked for"},
			&cli.StringFlag{Name: flagCall, Usage: "`SERVICE/PATH` of the call that is asked for"},
			&cli.StringFlag{Name: flagDomain, Usage: "failure `DOMAIN` of the request's home"},
			&cli.StringFlag{Name: flagSession, Usage: "`ID` of the conversation"},
			&cli.Uint64Flag{Name: flagSeed, Usage: "`SEED` of the draws between like endpoints", Value: 1},
			&cli.FloatFlag{Name: flagDomainDelay, Usage: "one-way delay between failure domains of a region", Value: defaultDomainMillis},
			&cli.FloatFlag{Name: flagRegionDelay, Usage: "one-way delay between regions", Value: defaultRegionMillis},
			&cli.FloatFlag{Name: flagByteDelay, Usage: "delay that is worth a gigabyte between regions"},
			logsFlag(),
			&cli.StringFlag{Name: flagRequest, Usage: "with --logs: the request with this `ID` or beginning of one; without it those that failed are listed"},
			nodesFlag(false),
			timeoutFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runExplain(ctx, env, c)
		},
	}
}

func runExplain(ctx context.Context, env *Environment, c *cli.Command) error {
	if c.String(flagLogs) != "" {
		return runLogExplain(env, c)
	}
	if c.String(flagDomain) == "" {
		return errors.New("one of --domain and --logs is needed")
	}
	arguments, err := argumentsOf(c, "FILE")
	if err != nil {
		return err
	}
	question := bbexplanation.Question{
		Pipeline: c.String(flagPipeline),
		Call:     c.String(flagCall),
		Domain:   c.String(flagDomain),
		Session:  c.String(flagSession),
		Seed:     c.Uint64(flagSeed),
	}
	if (question.Pipeline == "") == (question.Call == "") {
		return errors.New("one of --pipeline and --call is needed")
	}
	set, err := readRules(env, arguments[0])
	if err != nil {
		return err
	}
	statuses, err := liveStatuses(ctx, env, c)
	if err != nil {
		return err
	}
	explainer := bbexplanation.Explainer{
		Index: bbrule.NewIndex(set),
		Settings: bbroute.Settings{
			DomainMillis:   c.Float(flagDomainDelay),
			RegionMillis:   c.Float(flagRegionDelay),
			GigabyteMillis: c.Float(flagByteDelay),
		},
		Statuses: statuses,
	}
	explanation, err := explainer.Explain(question)
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		err = printJSON(env, explanation)
	} else {
		printExplanation(env, explanation)
	}
	if err != nil {
		return err
	}
	return findingsError(explanation.Unserved())
}

func printExplanation(env *Environment, e bbexplanation.Explanation) {
	fmt.Fprintf(env.Out, "%s, within %d ms, from failure domain %s in region %s (asked by %s)\n",
		e.Target, e.DeadlineMillis, e.Domain, e.Region, e.AskedBy)
	if !e.Live {
		fmt.Fprintln(env.Out, "no entry VM was asked: all endpoints are taken to be warm and idle")
	}
	for i, s := range e.Stages {
		fmt.Fprintf(env.Out, "stage %d of %d: %s, %s, %s\n", i+1, len(e.Stages), s.Target, s.Kind, repeatText(s.Once))
		fmt.Fprintf(env.Out, "  %s\n", s.Why)
		for _, l := range s.Endpoints {
			fmt.Fprintf(env.Out, "  %s\n", l)
		}
	}
	for _, text := range e.Unserved() {
		fmt.Fprintln(env.Out, "finding:", text)
	}
}

func repeatText(once bool) string {
	if once {
		return "runs at most once"
	}
	return "may be repeated"
}
