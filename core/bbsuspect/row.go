package bbsuspect

import (
	"cmp"
	"slices"
	"time"

	"bluebellhall/core/bbhash"
)

const (
	// suspectTTL is how long content is remembered after the last endpoint crash attributed to it.
	suspectTTL = 5 * time.Minute
	// refusalTTL is how long content is refused after its last counted crash. For another suspectTTL
	// it is still remembered, so that one more crash refuses it again.
	refusalTTL = 10 * time.Minute
	// successTTL is how long a successful run that cleared content is remembered: longer than
	// peers' reports of the runs that it cleared take to arrive.
	successTTL = time.Minute
	// maxRuns bounds the runs stored per row. It exceeds the number needed for a refusal.
	maxRuns = 8
	// isolationThreshold is the number of crashes after which content runs only on an idle endpoint.
	isolationThreshold = 2
	// refusalThreshold is the number of crashes after which content is refused.
	refusalThreshold = 3
	// isolatedRefusalThreshold is the number of crashes that suffice for a refusal when nothing else
	// ran on the endpoints. They must be on that many different endpoints, since a single endpoint
	// may itself be faulty.
	isolatedRefusalThreshold = 2
)

// RetryAfter is the retry delay suggested to callers of refused content. An earlier retry would be
// refused as well.
const RetryAfter = 5 * time.Second

// RunID returns the ID of the run of a request at an endpoint.
func RunID(request, endpoint string) uint64 {
	return bbhash.Content([]byte(request), []byte(endpoint))
}

// Verdict is the treatment of content. Later values are stricter.
type Verdict uint8

// The verdicts on content.
const (
	// Clear content is scheduled without restriction.
	Clear Verdict = iota
	// Watched content has crashed one endpoint. It isn't started beside other watched content.
	Watched
	// Alone content runs only on an endpoint that carries nothing else.
	Alone
	// Refused content does not run.
	Refused
)

// String returns the verdict as a word.
func (v Verdict) String() string {
	if v > Refused {
		return "unknown"
	}
	return [...]string{"clear", "watched", "alone", "refused"}[v]
}

// Run is a run of content that ended with the crash of its endpoint, or without an answer.
type Run struct {
	// ID is unique for each run, so that a run reported twice is counted once.
	ID uint64
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Began and Ended are on the monotonic clock of this process.
	Began, Ended time.Duration
	// Alone is true when nothing else was on the endpoint.
	Alone bool
	// With are the other parts of the prompt if the run counts against a part of it, at most maxWith.
	With []uint64
}

// Row is the crash history of one content. Its verdict depends only on the set of runs and the start
// of the last successful run, so that processes that exchange their histories converge.
type Row struct {
	// runs are sorted by end time, at most maxRuns.
	runs []Run
	// lastSuccessBegan is the start of the newest successful run; noSuccess if there was none.
	lastSuccessBegan time.Duration
	// immunity is how long after the start of a successful run a crash isn't counted.
	immunity time.Duration
}

// isRefuted reports whether a successful run shows that a crash at a time had another cause.
func (r *Row) isRefuted(ended time.Duration) bool {
	return ended <= r.lastSuccessBegan+r.immunity
}

// noSuccess is earlier than the start of any run.
const noSuccess = time.Duration(-1 << 62)

// add records a run. It returns false if the run was already known or a successful run refutes it. Reports
// from peers arrive with a delay, so the earliest times reported for a run are the most accurate; times of runs
// reported together are consistent with each other.
func (r *Row) add(run Run) bool {
	if r.isRefuted(run.Ended) {
		return false
	}
	known := slices.IndexFunc(r.runs, func(known Run) bool { return known.ID == run.ID })
	if known >= 0 {
		run.Began = min(run.Began, r.runs[known].Began)
		run.Ended = min(run.Ended, r.runs[known].Ended)
		r.runs = slices.Delete(r.runs, known, known+1)
	}
	at, _ := slices.BinarySearchFunc(r.runs, run, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Ended, b.Ended), cmp.Compare(a.ID, b.ID))
	})
	r.runs = slices.Insert(r.runs, at, run)
	if len(r.runs) > maxRuns {
		r.evictRun()
	}
	return known < 0
}

// evictRun removes a run that isn't counted, or else the oldest one.
func (r *Row) evictRun() {
	counted := r.counted()
	for i, run := range r.runs {
		if !slices.ContainsFunc(counted, func(c Run) bool { return c.ID == run.ID }) {
			r.runs = slices.Delete(r.runs, i, i+1)
			return
		}
	}
	r.runs = slices.Delete(r.runs, 0, 1)
}

// clear removes the runs that a successful run refutes. It returns false if there were none.
func (r *Row) clear(began time.Duration) bool {
	r.lastSuccessBegan = max(r.lastSuccessBegan, began)
	before := len(r.runs)
	r.runs = slices.DeleteFunc(r.runs, func(run Run) bool { return r.isRefuted(run.Ended) })
	return len(r.runs) < before
}

// counted returns the longest sequence of runs in which each run began after the previous one had ended.
// Overlapping runs count once: when several endpoints fail at the same time, all content that runs on
// more than one of them loses several runs, whichever content caused the failure.
func (r *Row) counted() []Run {
	var series []Run
	for _, run := range r.runs {
		if len(series) == 0 || run.Began >= series[len(series)-1].Ended {
			series = append(series, run)
		}
	}
	return series
}

// Verdict returns how the content is to be treated.
func (r *Row) Verdict(now time.Duration) Verdict {
	series := r.counted()
	if len(series) == 0 {
		return Clear
	}
	if meetsRefusalThreshold(series) && now-series[len(series)-1].Ended < refusalTTL {
		return Refused
	}
	if len(series) >= isolationThreshold {
		return Alone
	}
	return Watched
}

// meetsRefusalThreshold reports whether a sequence of counted runs is enough to refuse content.
func meetsRefusalThreshold(series []Run) bool {
	if len(series) >= refusalThreshold {
		return true
	}
	alone := 0
	endpoints := make(map[string]bool)
	for _, run := range series {
		endpoints[run.Endpoint] = true
		if run.Alone {
			alone++
		}
	}
	return alone >= isolatedRefusalThreshold && len(endpoints) >= isolatedRefusalThreshold
}

// expiresAt returns when the row expires.
func (r *Row) expiresAt() time.Duration {
	if len(r.runs) == 0 {
		return r.lastSuccessBegan + r.immunity + successTTL
	}
	last := r.runs[len(r.runs)-1].Ended
	if meetsRefusalThreshold(r.counted()) {
		return last + refusalTTL + suspectTTL
	}
	return last + suspectTTL
}
