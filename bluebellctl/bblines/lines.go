// Package bblines reads the log lines of entry VMs, puts those of one request in order over
// all processes and tells from them why the request ended as it did.
package bblines

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a log line; longer ones are passed over.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Time is in milliseconds since the Unix epoch, by the clock of the VM.
	Time int64 `json:"time"`
	// VM is the name of the process's VM.
	VM string `json:"vm"`
	// Number and Title are those of the event catalogue.
	Number int    `json:"event"`
	Title  string `json:"message"`
	Level  string `json:"level"`
	// ID is that of the request; empty if the line is about none.
	ID string `json:"id"`
	// Call is the number of a call to a stage worker, unique for a process.
	Call     uint64 `json:"call"`
	Endpoint string `json:"endpoint"`
	Peer     string `json:"peer"`
	Detail   string `json:"detail"`
	// Content names what a request asks, the same for all of its caller's requests for it.
	Content string `json:"content"`
	// Value is in milliseconds; the event tells of what.
	Value float64 `json:"value"`

	// The fields of a request's last line.
	Route       string  `json:"route"`
	Outcome     string  `json:"outcome"`
	Cause       string  `json:"cause"`
	Coordinator string  `json:"coordinator"`
	Status      int     `json:"status"`
	Tries       int     `json:"tries"`
	Version     uint64  `json:"version"`
	Granted     float64 `json:"granted"`
	First       float64 `json:"first"`
	Took        float64 `json:"took"`
	// Limit is how long the request might take, by its caller and its route.
	Limit float64 `json:"limit"`
}

// Read returns the lines of a log. What stands before the first brace of a line is passed
// over, and so are lines without a numbered event; their number is returned.
func Read(r io.Reader) (lines []Line, passed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var l Line
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Number == 0 {
			passed++
			continue
		}
		lines = append(lines, l)
	}
	return lines, passed, errors.Wrap(scanner.Err(), "read log")
}

// callKey names a call of a VM.
type callKey struct {
	vm   string
	call uint64
}

// Of returns the lines of a request, and of the calls that its pieces were in, in the order
// of their times. The request is named by its ID or the beginning of it.
func RequestLines(lines []Line, id string) []Line {
	calls := make(map[callKey]bool)
	var first, last int64
	for _, l := range lines {
		if l.ID == "" || !strings.HasPrefix(l.ID, id) {
			continue
		}
		if first == 0 || l.Time < first {
			first = l.Time
		}
		last = max(last, l.Time)
		if l.Call != 0 {
			calls[callKey{vm: l.VM, call: l.Call}] = true
		}
	}
	var found []Line
	for _, l := range lines {
		// A process that starts again counts its calls anew.
		during := l.Time >= first && l.Time <= last
		if l.ID != "" && strings.HasPrefix(l.ID, id) || l.ID == "" && during && calls[callKey{vm: l.VM, call: l.Call}] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return found
}

// Requests returns the last lines of all requests with an outcome; empty means all but those
// that were answered.
func Requests(lines []Line, outcome string) []Line {
	var found []Line
	for _, l := range lines {
		if l.Outcome == "" || (outcome == "" && l.Outcome == "answered") || (outcome != "" && l.Outcome != outcome) {
			continue
		}
		found = append(found, l)
	}
	return found
}
