// Package bbsuspect detects requests that crash the endpoints they run on. Content is
// identified by its fingerprint, a hash of target, caller and body, so that a retry under a
// new request ID is recognized.
//
// A run that ended with the crash of its endpoint counts against the content, and against all
// other content that ran there. After two such runs, one after the other, content is isolated: it
// runs only on an endpoint that carries nothing else, and a success clears it. After the third it
// is refused until the refusal expires, whatever else ran on the endpoints. Two crashes are enough
// for a refusal if nothing else was on the endpoints.
//
// A table of parts does the same for the parts of prompts that requests share, see RefusesPrompt.
package bbsuspect

import (
	"time"

	"bluebellhall/core/bbmsg"
)

const (
	// sweepInterval is the minimum time between two scans for expired rows.
	sweepInterval = time.Second
	// maxName bounds the name of an endpoint in a peer's report, in bytes.
	maxName = 256
	// maxActive bounds the fingerprints that Active returns.
	maxActive = 256
)

// Table holds the crash histories of content. It is bounded: when it is full, new content
// evicts the row with the least strict verdict, the first to expire among equals. If the content
// of all rows is refused, new content is not recorded.
type Table struct {
	// rows is keyed by fingerprint.
	rows map[uint64]*Row
	// limit bounds rows.
	limit int
	// immunity is that of the rows.
	immunity time.Duration
	// lastSweep is the time of the last scan for expired rows.
	lastSweep time.Duration
}

// New returns an empty table for at most limit fingerprints, at least 1.
func New(limit int) *Table {
	return &Table{
		rows:  map[uint64]*Row{},
		limit: max(limit, 1),
	}
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.rows) }

// Verdict returns how content is to be treated.
func (t *Table) Verdict(now time.Duration, fingerprint uint64) Verdict {
	r := t.row(now, fingerprint)
	if r == nil {
		return Clear
	}
	return r.Verdict(now)
}

// RecordLoss records a run that ended with the crash of its endpoint. It returns the new verdict;
// noted is false if the run was already known, if a successful run refutes it, or if the table has no place for
// it.
func (t *Table) RecordLoss(now time.Duration, fingerprint uint64, run Run) (verdict Verdict, noted bool) {
	r := t.getOrCreate(now, fingerprint)
	if r == nil {
		return Clear, false
	}
	noted = r.add(run)
	t.removeIfExpired(now, fingerprint, r)
	return t.Verdict(now, fingerprint), noted
}

// RecordSuccess records a successful run and removes the crashes that it refutes: those that ended before it
// began, or during the immunity of parts. It returns true if there were any.
func (t *Table) RecordSuccess(now time.Duration, fingerprint uint64, began time.Duration) bool {
	r := t.row(now, fingerprint)
	if r == nil {
		return false
	}
	cleared := r.clear(began)
	t.removeIfExpired(now, fingerprint, r)
	return cleared
}

// Merge merges a peer's history of a fingerprint. Learned is true if the report added or
// cleared a run, outdated if a successful run known here clears some of the reported runs. Implausible
// runs (negative or too great ages, an end before the start, an overlong name, too many parts) are ignored.
func (t *Table) Merge(now time.Duration, s bbmsg.Suspect) (learned, outdated bool) {
	r := t.getOrCreate(now, s.Fingerprint)
	if r == nil {
		return false, false
	}
	if s.Good != nil && *s.Good >= 0 {
		learned = r.clear(now - *s.Good)
	}
	for _, run := range s.Runs[:min(len(s.Runs), maxRuns)] {
		if run.EndedAgo < 0 || run.BeganAgo < run.EndedAgo || run.BeganAgo > refusalTTL+suspectTTL || len(run.Endpoint) > maxName || len(run.With) > maxWith {
			continue
		}
		outdated = outdated || r.isRefuted(now-run.EndedAgo)
		learned = r.add(Run{
			ID:       run.ID,
			Endpoint: run.Endpoint,
			Began:    now - run.BeganAgo,
			Ended:    now - run.EndedAgo,
			Alone:    run.Alone,
			With:     run.With,
		}) || learned
	}
	t.removeIfExpired(now, s.Fingerprint, r)
	return learned, outdated
}

// Snapshot returns the history of a fingerprint, to be sent to peers.
func (t *Table) Snapshot(now time.Duration, fingerprint uint64) bbmsg.Suspect {
	s := bbmsg.Suspect{
		Fingerprint: fingerprint,
	}
	r := t.row(now, fingerprint)
	if r == nil {
		return s
	}
	if r.lastSuccessBegan != noSuccess {
		ago := now - r.lastSuccessBegan
		s.Good = &ago
	}
	for _, run := range r.runs {
		s.Runs = append(s.Runs, bbmsg.SuspectRun{
			ID:       run.ID,
			Endpoint: run.Endpoint,
			BeganAgo: now - run.Began,
			EndedAgo: now - run.Ended,
			Alone:    run.Alone,
			With:     run.With,
		})
	}
	return s
}

// Active returns the fingerprints that are isolated or refused, at most maxActive of them, refused
// ones first.
func (t *Table) Active(now time.Duration) []uint64 {
	var refused, alone []uint64
	for fingerprint := range t.rows {
		switch t.Verdict(now, fingerprint) {
		case Refused:
			refused = append(refused, fingerprint)
		case Alone:
			alone = append(alone, fingerprint)
		default:
		}
	}
	all := append(refused, alone...)
	return all[:min(len(all), maxActive)]
}

// row returns the row of a fingerprint, or nil if there is none or it has expired.
func (t *Table) row(now time.Duration, fingerprint uint64) *Row {
	r := t.rows[fingerprint]
	if r != nil && now >= r.expiresAt() {
		delete(t.rows, fingerprint)
		return nil
	}
	return r
}

// getOrCreate returns the row of a fingerprint and creates it if there is none. It returns nil if
// the table is full and no row may be evicted.
func (t *Table) getOrCreate(now time.Duration, fingerprint uint64) *Row {
	t.sweep(now)
	r := t.row(now, fingerprint)
	if r == nil && t.evictIfFull(now) {
		r = &Row{
			lastSuccessBegan: noSuccess,
			immunity:         t.immunity,
		}
		t.rows[fingerprint] = r
	}
	return r
}

// removeIfExpired removes a row that has expired, such as one without runs and without a recent
// success.
func (t *Table) removeIfExpired(now time.Duration, fingerprint uint64, r *Row) {
	if now >= r.expiresAt() {
		delete(t.rows, fingerprint)
	}
}

// evictIfFull evicts the row with the least strict verdict if the table is full, and reports
// whether a row can be added.
func (t *Table) evictIfFull(now time.Duration) bool {
	if len(t.rows) < t.limit {
		return true
	}
	var least *rank
	for fingerprint, r := range t.rows {
		if k := r.rank(now, fingerprint); least == nil || k.less(*least) {
			least = &k
		}
	}
	if least.verdict == Refused {
		return false
	}
	delete(t.rows, least.fingerprint)
	return true
}

// rank orders rows by verdict, expiry and fingerprint.
type rank struct {
	verdict     Verdict
	until       time.Duration
	fingerprint uint64
}

func (r *Row) rank(now time.Duration, fingerprint uint64) rank {
	return rank{
		verdict:     r.Verdict(now),
		until:       r.expiresAt(),
		fingerprint: fingerprint,
	}
}

func (a rank) less(b rank) bool {
	if a.verdict != b.verdict {
		return a.verdict < b.verdict
	}
	if a.until != b.until {
		return a.until < b.until
	}
	return a.fingerprint < b.fingerprint
}

// sweep removes expired rows, at most once per sweepInterval.
func (t *Table) sweep(now time.Duration) {
	if now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = now
	for fingerprint := range t.rows {
		t.row(now, fingerprint)
	}
}
