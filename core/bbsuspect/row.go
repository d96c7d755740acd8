package bbsuspect

import (
	"cmp"
	"slices"
	"time"

	"bluebellhall/core/bbhash"
)

const (
	// suspectKeep is how long content is remembered after the last endpoint that it lost.
	suspectTTL = 5 * time.Minute
	// refusedKeep is how long content is refused after that. For another suspectKeep one more
	// lost endpoint refuses it again.
	refusalTTL = 10 * time.Minute
	// clearedKeep is how long it is remembered that a good run has cleared content: longer than
	// news of what it cleared takes to arrive.
	successTTL = time.Minute
	// maxRuns bounds the runs of a row: more than lead to a refusal.
	maxRuns = 8
	// aloneCrashes is the number of lost endpoints after which content runs alone only.
	isolationThreshold = 2
	// refusedCrashes is the number after which it doesn't run at all.
	refusalThreshold = 3
	// refusedAlone is the same where nothing else was on the endpoints, unless all were one
	// endpoint, which may be at fault itself.
	isolatedRefusalThreshold = 2
)

// RetryAfter is for callers of refused content: nothing will have changed sooner.
const RetryAfter = 5 * time.Second

// RunID returns the ID of the run of a request at an endpoint.
func RunID(request, endpoint string) uint64 {
	return bbhash.Content([]byte(request), []byte(endpoint))
}

// Verdict tells how to treat content. Later values are stricter.
type Verdict uint8

// The verdicts on content.
const (
	// Clear content runs like any other.
	Clear Verdict = iota
	// Watched content has lost one endpoint. It runs where no other watched content begins.
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

// Run is a run of content that ended with its endpoint, or without an answer.
type Run struct {
	// ID is unique for each run, so that a run that is told of twice counts once.
	ID uint64
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Began and Ended are by the steady clock of this process.
	Began, Ended time.Duration
	// Alone is true when nothing else was on the endpoint.
	Alone bool
}

// Row is what is known of one content. Its verdict follows from the set of runs and the time
// of the last good one alone, so that processes which tell each other agree in the end.
type Row struct {
	// runs are sorted by their ends, at most maxRuns.
	runs []Run
	// good is when the newest run began that came to a good end; noGood if there was none.
	lastSuccessBegan time.Duration
}

// noGood is earlier than any run.
const noSuccess = time.Duration(-1 << 62)

// add notes a run; false if it was known or says nothing new. News takes time to arrive, so that
// the earliest times that are told of a run are the closest; those of runs that are told together
// fit each other.
func (r *Row) add(run Run) bool {
	if run.Ended <= r.lastSuccessBegan {
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

// shrink drops a run that doesn't count, or else the oldest.
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

// clear forgets the runs that ended before a good one began; false if there were none.
func (r *Row) clear(began time.Duration) bool {
	r.lastSuccessBegan = max(r.lastSuccessBegan, began)
	before := len(r.runs)
	r.runs = slices.DeleteFunc(r.runs, func(run Run) bool { return run.Ended <= r.lastSuccessBegan })
	return len(r.runs) < before
}

// counted returns the longest series of runs of which each began after the one before had ended.
// Runs that overlapped count once: endpoints that are lost at the same time take all with them
// that runs on several of them.
func (r *Row) counted() []Run {
	var series []Run
	for _, run := range r.runs {
		if len(series) == 0 || run.Began >= series[len(series)-1].Ended {
			series = append(series, run)
		}
	}
	return series
}

// Verdict returns how to treat the content.
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

// provenBy tells whether runs are enough to refuse content.
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

// until returns when the row is to be forgotten.
func (r *Row) expiresAt() time.Duration {
	if len(r.runs) == 0 {
		return r.lastSuccessBegan + successTTL
	}
	last := r.runs[len(r.runs)-1].Ended
	if meetsRefusalThreshold(r.counted()) {
		return last + refusalTTL + suspectTTL
	}
	return last + suspectTTL
}
