package bbcommand

import (
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbincident"
)

// flagLogs names the logs that are read instead of querying entry VMs.
const flagLogs = "logs"

func logsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  flagLogs,
		Usage: "log `FILE` of entry VMs, a directory of them, or - for standard input",
	}
}

// runLogTimeline prints the log lines that the flags select, such as those of one request.
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

// runLogExplain explains why a request ended as it did, or lists the requests that were not answered.
func runLogExplain(env *Environment, c *cli.Command) error {
	lines, err := bbincident.Read(c.String(flagLogs))
	if err != nil {
		return err
	}
	return bbincident.Explain(env.Out, lines, c.String(flagRequest))
}
