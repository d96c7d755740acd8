// Package bbsuspect finds requests that crash the endpoints they run on. Content is
// known by its fingerprint, a hash of target, caller and body, so that a new request id
// changes nothing.
//
// What counts is a run that ended with its endpoint. Others on the endpoint share the blame:
// after two such runs, one after the other, content is run alone, on an endpoint that carries
// nothing else, and a good end clears it. After the third it is refused until it expires,
// whoever was there. Two are enough where nothing else was on the endpoints.
package bbsuspect

import (
	"time"

	"bluebellhall/core/bbmsg"
)

const (
	// sweepInterval is how often expired rows are looked for.
	sweepInterval = time.Second
	// maxName bounds the name of an endpoint that another process tells of, in bytes.
	maxName = 256
	// maxActive bounds the rows that Active returns.
	maxActive = 256
)

// Table holds what is known of suspect content. It is bounded: when it is full, new
// content takes the place of the row that is least suspect, the first to expire among
// equals. If all rows are refused content, new content is not noted.
type Table struct {
	// rows is by fingerprint.
	rows map[uint64]*Row
	// limit bounds rows.
	limit int
	// lastSweep is when expired rows were last looked for.
	lastSweep time.Duration
}

// New returns an empty table for at most limit contents, at least 1.
func New(limit int) *Table {
	return &Table{
		rows:  map[uint64]*Row{},
		limit: max(limit, 1),
	}
}

// Len returns the number of contents noted.
func (t *Table) Len() int { return len(t.rows) }

// Verdict returns how to treat content.
func (t *Table) Verdict(now time.Duration, fingerprint uint64) Verdict {
	r := t.row(now, fingerprint)
	if r == nil {
		return Clear
	}
	return r.Verdict(now)
}

// Lost takes in a run that ended with its endpoint. It returns the verdict; noted is false
// when the run was known or the table is full for it.
func (t *Table) RecordLoss(now time.Duration, fingerprint uint64, run Run) (verdict Verdict, noted bool) {
	r := t.getOrCreate(now, fingerprint)
	if r == nil {
		return Clear, false
	}
	noted = r.add(run)
	t.removeIfExpired(now, fingerprint, r)
	return t.Verdict(now, fingerprint), noted
}

// Succeeded takes in a run that came to a good end: what the content lost before it began is
// forgotten. It is true if there was any. Runs from before a loss clear nothing of it.
func (t *Table) RecordSuccess(now time.Duration, fingerprint uint64, began time.Duration) bool {
	r := t.row(now, fingerprint)
	if r == nil {
		return false
	}
	cleared := r.clear(began)
	t.removeIfExpired(now, fingerprint, r)
	return cleared
}

// Merge takes in what another process tells. News is true if something of it was, outdated if a
// good run is known here that clears some of it. What can't be true is passed over.
func (t *Table) Merge(now time.Duration, s bbmsg.Suspect) (news, outdated bool) {
	r := t.getOrCreate(now, s.Fingerprint)
	if r == nil {
		return false, false
	}
	if s.Good != nil && *s.Good >= 0 {
		news = r.clear(now - *s.Good)
	}
	for _, run := range s.Runs[:min(len(s.Runs), maxRuns)] {
		if run.EndedAgo < 0 || run.BeganAgo < run.EndedAgo || run.BeganAgo > refusalTTL+suspectTTL || len(run.Endpoint) > maxName {
			continue
		}
		outdated = outdated || now-run.EndedAgo <= r.lastSuccessBegan
		news = r.add(Run{
			ID:       run.ID,
			Endpoint: run.Endpoint,
			Began:    now - run.BeganAgo,
			Ended:    now - run.EndedAgo,
			Alone:    run.Alone,
		}) || news
	}
	t.removeIfExpired(now, s.Fingerprint, r)
	return news, outdated
}

// Snapshot returns what is known of content, for other processes.
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
		})
	}
	return s
}

// Active returns the contents that don't run like any other, at most maxActive of them, refused
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

// row returns the row of content, nil if nothing is known.
func (t *Table) row(now time.Duration, fingerprint uint64) *Row {
	r := t.rows[fingerprint]
	if r != nil && now >= r.expiresAt() {
		delete(t.rows, fingerprint)
		return nil
	}
	return r
}

// open returns the row of content, a new one if nothing is known, and nil when the table is full
// for it.
func (t *Table) getOrCreate(now time.Duration, fingerprint uint64) *Row {
	t.sweep(now)
	r := t.row(now, fingerprint)
	if r == nil && t.evictIfFull(now) {
		r = &Row{
			lastSuccessBegan: noSuccess,
		}
		t.rows[fingerprint] = r
	}
	return r
}

// tidy forgets a row that says nothing.
func (t *Table) removeIfExpired(now time.Duration, fingerprint uint64, r *Row) {
	if now >= r.expiresAt() {
		delete(t.rows, fingerprint)
	}
}

// makeRoom removes the least suspect row if the table is full, and tells whether
// there is room.
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
