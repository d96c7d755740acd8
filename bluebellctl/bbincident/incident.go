// Package bbincident shows what the logs of entry VMs tell: a time line of chosen lines, the
// requests that failed, and why one of them did.
package bbincident

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebellctl/bblines"
)

// timeFormat is how the time line shows times, in UTC.
const timeFormat = "15:04:05.000"

// Filter selects lines. Empty fields select all.
type Filter struct {
	// Request selects a request by its ID or the beginning of it, with the calls that its
	// pieces were in.
	Request string
	// Endpoint and Node select by name; Node selects the peer concerned as well.
	Endpoint, Node string
	// Kind selects by the title of the catalogue.
	Kind string
	// Content selects by what was asked, of those lines that name it.
	Content string
	// Warnings selects lines of warnings and errors only.
	Warnings bool
}

// Read returns the lines of a file, of all files of a directory, or of standard input if the
// path is "-".
func Read(path string) ([]bblines.Line, error) {
	if path == "-" {
		lines, _, err := bblines.Read(os.Stdin)
		return lines, err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
			return nil, errors.Wrap(err, "logs")
		}
	}
	var all []bblines.Line
	for _, name := range files {
		lines, err := readFile(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(name string) ([]bblines.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "logs")
	}
	defer func() {
		// The file was only read.
		_ = f.Close()
	}()
	lines, _, err := bblines.Read(f)
	return lines, errors.Wrap(err, name)
}

// Select returns the lines that a filter selects; an error if there are none.
func Select(lines []bblines.Line, f Filter) ([]bblines.Line, error) {
	if f.Request != "" {
		lines = bblines.RequestLines(lines, f.Request)
	}
	var found []bblines.Line
	for _, l := range lines {
		if (f.Kind == "" || l.Title == f.Kind) &&
			(f.Endpoint == "" || l.Endpoint == f.Endpoint) &&
			(f.Content == "" || l.Content == f.Content) &&
			(f.Node == "" || l.VM == f.Node || l.Peer == f.Node) &&
			(!f.Warnings || l.Level != "info") {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b bblines.Line) int { return cmp.Compare(a.Time, b.Time) })
	if len(found) == 0 {
		return nil, errors.New("no line of the logs is selected")
	}
	return found, nil
}

// columnGap is the number of spaces between columns.
const columnGap = 2

// Print writes lines as a table.
func Print(w io.Writer, lines []bblines.Line) error {
	table := tabwriter.NewWriter(w, 0, 1, columnGap, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n",
			time.UnixMilli(l.Time).UTC().Format(timeFormat), l.VM, l.Title, subject(l), details(l))
	}
	return errors.Wrap(table.Flush(), "print time line")
}

// place tells what a line is about.
func subject(l bblines.Line) string {
	text := ""
	if l.Call != 0 {
		text += fmt.Sprintf("call %d ", l.Call)
	}
	if l.Endpoint != "" {
		text += "endpoint " + l.Endpoint
	}
	if l.Peer != "" {
		text += "peer " + l.Peer
	}
	return text
}

// rest tells the rest of a line.
func details(l bblines.Line) string {
	if l.Outcome != "" {
		return fmt.Sprintf("%s %s %s status=%d tries=%d version=%d took=%.0fms", l.Route, l.Outcome, l.Cause, l.Status, l.Tries, l.Version, l.Took)
	}
	if l.Cause != "" {
		return l.Content + " " + l.Cause
	}
	if l.Content != "" {
		return l.Content + " " + l.Detail
	}
	if l.Value != 0 {
		return fmt.Sprintf("%s %.0fms", l.Detail, l.Value)
	}
	return l.Detail
}

// Explain writes why a request ended as it did, or, without one, lists the requests that
// were not answered.
func Explain(w io.Writer, lines []bblines.Line, request string) error {
	if request == "" {
		for _, l := range bblines.Requests(lines, "") {
			fmt.Fprintln(w, l.ID, l.Route, l.Outcome, l.Cause, l.Status)
		}
		return nil
	}
	found := bblines.RequestLines(lines, request)
	if len(found) == 0 {
		return errors.Newf("no line of request %s in the logs", request)
	}
	for _, text := range bblines.Explain(found) {
		fmt.Fprintln(w, text)
	}
	return nil
}
