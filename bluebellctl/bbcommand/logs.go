package bbcommand

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellctl/bblines"
)

// flagLogs names the logs that are read in place of asking entry VMs.
const flagLogs = "logs"

func logsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  flagLogs,
		Usage: "log `FILE` of entry VMs, a directory of them, or - for standard input",
	}
}

// readLogs returns the lines of a file, of all files of a directory or of standard input.
func readLogs(path string) ([]bblines.Line, error) {
	if path == "-" {
		lines, _, err := bblines.Read(os.Stdin)
		return lines, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, errors.Wrap(err, "--logs")
		}
	}
	var all []bblines.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]bblines.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "--logs")
	}
	defer func() {
		// The file was only read.
		_ = f.Close()
	}()
	lines, _, err := bblines.Read(io.Reader(f))
	return lines, errors.Wrap(err, name)
}

// timelineOfLogs prints the lines of one request, or those of a kind.
func timelineOfLogs(env *Environment, c *cli.Command) error {
	lines, err := readLogs(c.String(flagLogs))
	if err != nil {
		return err
	}
	if id := c.String(flagRequest); id != "" {
		lines = bblines.Of(lines, id)
	}
	var found []bblines.Line
	for _, l := range lines {
		if (c.String(flagKind) == "" || l.Title == c.String(flagKind)) &&
			(c.String(flagEndpoint) == "" || l.Endpoint == c.String(flagEndpoint)) &&
			(c.String(flagNode) == "" || l.VM == c.String(flagNode) || l.Peer == c.String(flagNode)) &&
			(!c.Bool(flagWarnings) || l.Level != "info") {
			found = append(found, l)
		}
	}
	if len(found) == 0 {
		return errors.New("--logs: no line is selected")
	}
	if c.Bool(flagJSON) {
		return printJSON(env, found)
	}
	w := newTable(env)
	for _, l := range found {
		row(w, time.UnixMilli(l.Time).UTC().Format(timeFormat), l.VM, l.Title, linePlace(l), lineText(l))
	}
	return w.Flush()
}

// linePlace tells what a line is about.
func linePlace(l bblines.Line) string {
	place := ""
	if l.Call != 0 {
		place += fmt.Sprintf("call %d ", l.Call)
	}
	if l.Endpoint != "" {
		place += "endpoint " + l.Endpoint
	}
	if l.Peer != "" {
		place += "peer " + l.Peer
	}
	return place
}

// lineText tells the rest of a line.
func lineText(l bblines.Line) string {
	if l.Outcome != "" {
		return fmt.Sprintf("%s %s %s status=%d tries=%d version=%d took=%.0fms", l.Route, l.Outcome, l.Cause, l.Status, l.Tries, l.Version, l.Took)
	}
	if l.Value != 0 {
		return fmt.Sprintf("%s %.0fms", l.Detail, l.Value)
	}
	return l.Detail
}

// explainLogs tells why requests ended as they did.
func explainLogs(env *Environment, c *cli.Command) error {
	lines, err := readLogs(c.String(flagLogs))
	if err != nil {
		return err
	}
	id := c.String(flagRequest)
	if id == "" {
		for _, l := range bblines.Requests(lines, "") {
			fmt.Fprintln(env.Out, l.ID, l.Route, l.Outcome, l.Cause, l.Status)
		}
		return nil
	}
	found := bblines.Of(lines, id)
	if len(found) == 0 {
		return errors.Newf("--request: no line of %s in the logs", id)
	}
	for _, text := range bblines.Explain(found) {
		fmt.Fprintln(env.Out, text)
	}
	return nil
}
