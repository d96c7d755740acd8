package bbcommand

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bbreference"
	"bluebellhall/core/bbevent"
)

// flagMarkdown selects the Markdown page as output.
const flagMarkdown = "markdown"

// eventEntry is an entry of the event catalogue in the JSON output.
type eventEntry struct {
	Number   bbevent.Number   `json:"number"`
	Title    string           `json:"title"`
	Severity bbevent.Severity `json:"severity"`
	Text     string           `json:"text"`
}

func newEvents(env *Environment) *cli.Command {
	return &cli.Command{
		Name:        "events",
		Usage:       "list the event catalogue",
		Description: "Prints number, title, severity and meaning of each kind of event. docs/EVENTS.md is generated with --markdown.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagMarkdown, Usage: "print the page docs/EVENTS.md"},
			jsonFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := argumentsOf(c); err != nil {
				return err
			}
			switch {
			case c.Bool(flagJSON):
				return printJSON(env, eventEntries())
			case c.Bool(flagMarkdown):
				_, err := fmt.Fprint(env.Out, bbreference.Events())
				return err
			}
			w := newTable(env)
			for _, e := range bbevent.Catalogue {
				row(w, e.Number, e.Title, e.Severity, e.Text)
			}
			return w.Flush()
		},
	}
}

func eventEntries() []eventEntry {
	entries := make([]eventEntry, 0, len(bbevent.Catalogue))
	for _, e := range bbevent.Catalogue {
		entries = append(entries, eventEntry(e))
	}
	return entries
}
