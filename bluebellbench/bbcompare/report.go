package bbcompare

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// row is one measure in the report.
type row struct {
	name string
	// value returns the measure; NaN means that it does not apply.
	value func(Measures) float64
	// format prints a value.
	format string
}

// rows has the measures in the order of the report.
var rows = []row{
	{name: "requests", value: func(m Measures) float64 { return float64(m.Summary.Sent + m.Summary.Unsent) }, format: "%.0f"},
	{name: "deadline attainment, %", value: func(m Measures) float64 { return 100 * m.Summary.Attainment().Share() }, format: "%.1f"},
	{name: "goodput, answers/s", value: Measures.Goodput, format: "%.1f"},
	{name: "attainment of the large account, %", value: func(m Measures) float64 { return 100 * m.Large.Share() }, format: "%.1f"},
	{name: "attainment of the other accounts, %", value: func(m Measures) float64 { return 100 * m.Small.Share() }, format: "%.1f"},
	{name: "complete answer p50, ms", value: func(m Measures) float64 { return millis(m.Summary.Total.P50) }, format: "%.0f"},
	{name: "complete answer p95, ms", value: func(m Measures) float64 { return millis(m.Summary.Total.P95) }, format: "%.0f"},
	{name: "first token p95, ms", value: func(m Measures) float64 { return millis(m.Summary.First.P95) }, format: "%.0f"},
	{name: "per token p95, ms", value: func(m Measures) float64 { return millis(m.Summary.Gap.P95) }, format: "%.1f"},
	{name: "wrong answers", value: func(m Measures) float64 { return float64(m.Summary.Wrong) }, format: "%.0f"},
	{name: "calls that run at most once", value: func(m Measures) float64 { return float64(m.AtMostOnce) }, format: "%.0f"},
	{name: "of them run twice or more", value: func(m Measures) float64 { return float64(m.DuplicateRuns) }, format: "%.0f"},
	{name: "requests lost", value: func(m Measures) float64 { return float64(m.Lost) }, format: "%.0f"},
	{name: "calls refused as not run that ran", value: func(m Measures) float64 { return float64(m.FalseNotRun) }, format: "%.0f"},
	{name: "requests over cold capacity", value: func(m Measures) float64 { return float64(m.OverCold) }, format: "%.0f"},
	{name: "of them before any sign that it is cold", value: func(m Measures) float64 { return float64(m.OverColdUnwarned) }, format: "%.0f"},
	{name: "endpoint crashes", value: func(m Measures) float64 { return float64(m.Crashes) }, format: "%.0f"},
	{name: "prefix hits, %", value: prefixShare, format: "%.1f"},
	{name: "bytes between regions per answer in time", value: crossBytes, format: "%.0f"},
	{name: "requests at endpoints per answer in time", value: requestsPerAnswer, format: "%.2f"},
	{name: "last work in the failure domain after its outage began, ms", value: lastWorkMillis, format: "%.0f"},
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func prefixShare(m Measures) float64 {
	if m.PrefixLookups == 0 {
		return math.NaN()
	}
	return 100 * float64(m.PrefixHits) / float64(m.PrefixLookups)
}

func crossBytes(m Measures) float64 {
	return perAnswer(m, float64(m.CrossBytes))
}

func requestsPerAnswer(m Measures) float64 {
	total := 0
	for _, count := range m.Exchanges {
		total += count
	}
	return perAnswer(m, float64(total))
}

func perAnswer(m Measures, total float64) float64 {
	if m.Summary.InTime == 0 {
		return math.NaN()
	}
	return total / float64(m.Summary.InTime)
}

func lastWorkMillis(m Measures) float64 {
	if m.LastWorkDelay == 0 {
		return math.NaN()
	}
	return millis(max(m.LastWorkDelay, 0))
}

// preface is the introduction of the report; its parameter is the seed.
const preface = `# The system compared with a naive baseline

Made by

    go run ./bluebellbench compare --seed %d --out docs/measurements

In each scenario the
system (seven entry VMs) and the baseline (callers send to the endpoints round-robin and
retry any failed stage up to three times) get the same load at the same time, each with
fake endpoints of its own, all in one process over loopback. Engines are small, so that
they and not the machine are the bottleneck; the load is relative to their capacity. The
links have no delay: bytes between regions are counted, but they take no time.

![attainment](attainment.png)

![goodput](goodput.png)

`

// Write writes the report as Markdown.
func Write(w io.Writer, seed uint64, pairs []Pair) {
	fmt.Fprintf(w, preface, seed)
	fmt.Fprintln(w, "| scenario | attainment, system | baseline | goodput, system | baseline | ratio |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: | ---: | ---: |")
	for _, p := range pairs {
		fmt.Fprintf(w, "| %s | %.1f%% | %.1f%% | %.1f/s | %.1f/s | %s |\n",
			p.Scenario.Title,
			100*p.System.Summary.Attainment().Share(), 100*p.Baseline.Summary.Attainment().Share(),
			p.System.Goodput(), p.Baseline.Goodput(),
			ratio(p.System.Goodput(), p.Baseline.Goodput()))
	}
	for _, p := range pairs {
		writePair(w, p)
	}
}

func writePair(w io.Writer, p Pair) {
	fmt.Fprintf(w, "\n### %s\n\n", p.Scenario.Title)
	fmt.Fprintln(w, "| measure | system | baseline | ratio |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: |")
	for _, r := range rows {
		system, baseline := r.value(p.System), r.value(p.Baseline)
		if math.IsNaN(system) && math.IsNaN(baseline) {
			continue
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", r.name, r.print(system), r.print(baseline), ratio(system, baseline))
	}
	for _, account := range accountsOf(p) {
		system, baseline := 100*p.System.Summary.Accounts[account].Share(), 100*p.Baseline.Summary.Accounts[account].Share()
		fmt.Fprintf(w, "| attainment of %s, %% | %.1f | %.1f | %s |\n", account, system, baseline, ratio(system, baseline))
	}
	for _, service := range servicesOf(p) {
		system, baseline := perAnswer(p.System, float64(p.System.Exchanges[service])), perAnswer(p.Baseline, float64(p.Baseline.Exchanges[service]))
		fmt.Fprintf(w, "| requests at %s per answer in time | %.2f | %.2f | %s |\n", service, system, baseline, ratio(system, baseline))
	}
	fmt.Fprintf(w, "\nOutcomes, system: %s; baseline: %s.\n", outcomes(p.System), outcomes(p.Baseline))
}

func (r row) print(value float64) string {
	if math.IsNaN(value) {
		return "-"
	}
	return fmt.Sprintf(r.format, value)
}

func ratio(system, baseline float64) string {
	if baseline == 0 || math.IsNaN(system) || math.IsNaN(baseline) {
		return "-"
	}
	return fmt.Sprintf("%.2f", system/baseline)
}

// accountsOf returns the accounts with requests, sorted.
func accountsOf(p Pair) []string {
	var names []string
	for name := range p.System.Summary.Accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// servicesOf returns the services that either side used, sorted.
func servicesOf(p Pair) []string {
	var names []string
	for name := range p.System.Exchanges {
		names = append(names, name)
	}
	for name := range p.Baseline.Exchanges {
		if _, both := p.System.Exchanges[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func outcomes(m Measures) string {
	var parts []string
	for key, count := range m.Summary.Outcomes {
		parts = append(parts, fmt.Sprintf("%s %d", key, count))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
