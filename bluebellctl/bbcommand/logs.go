package bbcommand

import (
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbincident"
)

// flagLogs names the logs that are read in place of asking entry VMs.
const flagLogs = "logs"

func logsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  flagLogs,
		Usage: "log `FILE` of entry VMs, a directory of them, or - for standard input",
	}
}

// timelineOfLogs prints the lines of one request, or those of a kind.
func runLogTimeline(env *Environment, c *cli.Command) error {
	lines, err := bbincident.Read(c.String(flagLogs))
	if err != nil {
		return err
	}
	found, err := bbincident.Select(lines, bbincident.Filter{
		Request:  c.String(flagRequest),
		Endpoint: c.String(flagEndpoint),
		Node:     c.String(flagNode),
		Kind:     c.String(flagKind),
		Content:  c.String(flagContent),
		Warnings: c.Bool(flagWarnings),
	})
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return printJSON(env, found)
	}
	return bbincident.Print(env.Out, found)
}

// explainLogs tells why requests ended as they did.
func runLogExplain(env *Environment, c *cli.Command) error {
	lines, err := bbincident.Read(c.String(flagLogs))
	if err != nil {
		return err
	}
	return bbincident.Explain(env.Out, lines, c.String(flagRequest))
}
