package bbexperiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Table writes the means over seeds as a Markdown table, one row for each pattern, load and policy. The
// results of a row must follow each other.
func Table(w io.Writer, results []Result) error {
	if _, err := fmt.Fprint(w, "| pattern | load | policy | worth | on time, late, refused by kind | batch fill | missing inputs | storage full |\n"+
		"| --- | ---: | --- | ---: | --- | ---: | ---: | ---: |\n"); err != nil {
		return err
	}
	for len(results) > 0 {
		n := 1
		for n < len(results) && results[n].Pattern == results[0].Pattern && results[n].Load == results[0].Load && results[n].Policy == results[0].Policy {
			n++
		}
		if err := row(w, results[:n]); err != nil {
			return err
		}
		results = results[n:]
	}
	return nil
}

// row writes the means of results that differ only in their seeds.
func row(w io.Writer, runs []Result) error {
	var sum Result
	kinds := make(map[string]KindResult)
	for _, r := range runs {
		sum.Worth += r.Worth
		sum.BatchFill += r.BatchFill
		sum.MissingInputs += r.MissingInputs
		sum.StorageFull += r.StorageFull
		for name, k := range r.Kinds {
			t := kinds[name]
			t.Requests += k.Requests
			t.OnTime += k.OnTime
			t.Late += k.Late
			t.Refused += k.Refused
			kinds[name] = t
		}
	}
	n := float64(len(runs))
	_, err := fmt.Fprintf(w, "| %s | %g | %s | %.3f | %s | %.2f | %.1f%% | %.1f%% |\n", runs[0].Pattern, runs[0].Load, runs[0].Policy,
		sum.Worth/n, outcomeShares(kinds), sum.BatchFill/n, 100*sum.MissingInputs/n, 100*sum.StorageFull/n)
	return err
}

// outcomeShares formats the shares of requests on time, late and refused of each kind, sorted by kind.
func outcomeShares(kinds map[string]KindResult) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		k := kinds[name]
		asked := float64(max(1, k.Requests))
		parts = append(parts, fmt.Sprintf("%s %.2f, %.2f, %.2f", name, float64(k.OnTime)/asked, float64(k.Late)/asked, float64(k.Refused)/asked))
	}
	return strings.Join(parts, "; ")
}
