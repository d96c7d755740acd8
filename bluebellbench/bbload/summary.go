package bbload

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"bluebellhall/core/bbmsg"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and the precision of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// Quantiles has points of a distribution of times.
type Quantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
}

// Summary is what a run came to.
type Summary struct {
	// Sent counts the requests sent, Unsent those that were not.
	Sent   int `json:"sent"`
	Unsent int `json:"unsent"`
	// InTime counts the whole answers in time, Late those after the deadline.
	InTime int `json:"inTime"`
	Late   int `json:"late"`
	// Wrong counts answers that were not whole or not the caller's own.
	Wrong int `json:"wrong"`
	// Outcomes counts the ends by outcome and reason.
	Outcomes map[string]int `json:"outcomes"`
	// Messages counts the messages sent for all requests.
	Messages int `json:"messages"`
	// Total, First and Gap are the times to the whole answer, to the first token and
	// between tokens.
	Total Quantiles `json:"total"`
	First Quantiles `json:"first"`
	Gap   Quantiles `json:"gap"`
	// Accounts has the attainment of each account.
	Accounts map[string]Attainment `json:"accounts"`
}

// Attainment is the share of requests answered in time.
type Attainment struct {
	Requests int `json:"requests"`
	InTime   int `json:"inTime"`
}

// Share returns the part in time, 0 without requests.
func (a Attainment) Share() float64 {
	if a.Requests == 0 {
		return 0
	}
	return float64(a.InTime) / float64(a.Requests)
}

// Attainment returns the attainment over all accounts, requests not sent included.
func (s Summary) Attainment() Attainment {
	return Attainment{
		Requests: s.Sent + s.Unsent,
		InTime:   s.InTime,
	}
}

// Summarize sums up the results of a run.
func Summarize(results []Result) Summary {
	s := Summary{
		Outcomes: map[string]int{},
		Accounts: map[string]Attainment{},
	}
	total, first, gap := newHistogram(), newHistogram(), newHistogram()
	for _, r := range results {
		s.add(r)
		if r.Unsent || r.Reply.Outcome != bbmsg.OutcomeAnswered {
			continue
		}
		record(total, r.Reply.Total)
		if len(r.Reply.Tokens) > 0 {
			record(first, r.Reply.First)
		}
		for _, g := range r.Reply.Gaps {
			record(gap, g)
		}
	}
	s.Total = quantiles(total)
	s.First = quantiles(first)
	s.Gap = quantiles(gap)
	return s
}

// add counts one result.
func (s *Summary) add(r Result) {
	a := s.Accounts[r.Request.Account]
	a.Requests++
	if r.Unsent {
		s.Unsent++
		s.Accounts[r.Request.Account] = a
		return
	}
	s.Sent++
	s.Messages += r.Reply.Sends
	s.Outcomes[outcomeKey(r.Reply)]++
	switch {
	case r.Reply.InTime(r.Request):
		s.InTime++
		a.InTime++
	case r.Reply.Wrong != "":
		s.Wrong++
	case r.Reply.Outcome == bbmsg.OutcomeAnswered:
		s.Late++
	}
	s.Accounts[r.Request.Account] = a
}

func outcomeKey(p Reply) string {
	if p.Reason == bbmsg.ReasonNone {
		return string(p.Outcome)
	}
	return string(p.Outcome) + "/" + string(p.Reason)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The bounds keep the value in range, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
	}
}

// Write prints a summary for people.
func (s Summary) Write(w io.Writer) {
	a := s.Attainment()
	fmt.Fprintf(w, "requests      %d sent, %d not sent, %d messages\n", s.Sent, s.Unsent, s.Messages)
	fmt.Fprintf(w, "in time       %d (%.1f%%), late %d, wrong %d\n", s.InTime, 100*a.Share(), s.Late, s.Wrong)
	writeQuantiles(w, "whole answer", s.Total)
	writeQuantiles(w, "first token", s.First)
	writeQuantiles(w, "per token", s.Gap)
	for _, key := range sortedKeys(s.Outcomes) {
		fmt.Fprintf(w, "outcome       %s: %d\n", key, s.Outcomes[key])
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		fmt.Fprintf(w, "account       %s: %d of %d in time (%.1f%%)\n", name, a.InTime, a.Requests, 100*a.Share())
	}
}

func writeQuantiles(w io.Writer, name string, q Quantiles) {
	round := func(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
	fmt.Fprintf(w, "%-13s p50 %s, p95 %s, p99 %s of %d\n", name, round(q.P50), round(q.P95), round(q.P99), q.Count)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}
