// Package bblines parses the log lines of entry VMs, collects the lines of one request
// from the logs of all processes, and explains from them why the request ended as it did.
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

// maxLine is the maximum length of a log line in bytes; Read fails at a longer one.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Time is in milliseconds since the Unix epoch, by the wall clock of the VM.
	Time int64 `json:"time"`
	// VM is the name of the VM that wrote the line.
	VM string `json:"vm"`
	// Number and Title identify the event in the event catalogue.
	Number int    `json:"event"`
	Title  string `json:"message"`
	Level  string `json:"level"`
	// ID is the request ID; empty if the line is not about a request.
	ID string `json:"id"`
	// Call is the number of a call to a stage worker, unique within a process.
	Call     uint64 `json:"call"`
	Endpoint string `json:"endpoint"`
	Peer     string `json:"peer"`
	Detail   string `json:"detail"`
	// Content is a hash of what a request asks. It is the same for all requests of a caller that ask for
	// the same.
	Content string `json:"content"`
	// Value is a duration in milliseconds; its meaning depends on the event.
	Value float64 `json:"value"`

	// The fields of the final line of a request.
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
	// Limit is the time limit of the request in milliseconds, the shorter of those of its caller and its
	// route.
	Limit float64 `json:"limit"`
}

// Read parses a log. Text before the first brace of a line is ignored. Lines that hold no
// JSON object with an event number are skipped; the number of them is returned.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var l Line
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Number == 0 {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

// callKey identifies a call: call numbers are unique only within a process.
type callKey struct {
	vm   string
	call uint64
}

// RequestLines returns the lines of a request and of the calls that carried its pieces,
// sorted by time. The id is the request ID or a prefix of it.
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
		// A restarted process numbers its calls from the start, so that other calls can have the same
		// numbers: only lines within the time of the request count.
		during := l.Time >= first && l.Time <= last
		if l.ID != "" && strings.HasPrefix(l.ID, id) || l.ID == "" && during && calls[callKey{vm: l.VM, call: l.Call}] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return found
}

// Requests returns the final lines of all requests with the given outcome. An empty outcome
// selects all requests that were not answered.
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
