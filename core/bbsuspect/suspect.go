// Package bbsuspect finds requests that crash the endpoints they run on. Content is
// known by its fingerprint, a hash of target and body, so that a new request id
// changes nothing.
//
// An attempt that was on an endpoint with others when it died shares the blame: after
// two deaths its content is retried alone, on an endpoint that carries nothing else,
// and a success clears it. Only a death with nothing else on the endpoint proves
// something; content that has caused two of them, or one after other deaths, is
// refused until it expires.
package bbsuspect

import (
	"time"

	"bluebellhall/core/bbmsg"
)

const (
	// sharedKeep is how long content is remembered whose deaths were all shared.
	sharedKeep = 30 * time.Second
	// soleKeep is how long other content is remembered that is not refused.
	soleKeep = 5 * time.Minute
	// refusedKeep is how long content is refused after its last death.
	refusedKeep = 10 * time.Minute
	// sameDeath is the time within which news of the same content and endpoint tells
	// of the same death.
	sameDeath = 2 * time.Second
	// sweepInterval is how often expired rows are looked for.
	sweepInterval = time.Second
	// maxOutbox bounds the news that wait for the peers.
	maxOutbox = 64
	// seenEndpoints is how many dead endpoints a row remembers.
	seenEndpoints = 4
	// aloneDeaths is the number of deaths after which content runs alone only.
	aloneDeaths = 2
	// sameEndpointDeaths is the number of sole deaths that count as proof when all
	// were of one endpoint, which may be at fault itself.
	sameEndpointDeaths = 3
)

// Verdict tells how to treat content. Later values are stricter.
type Verdict uint8

// The verdicts on content.
const (
	// Clear content runs like any other.
	Clear Verdict = iota
	// Alone content runs only on an endpoint that carries nothing else.
	Alone
	// Refused content does not run.
	Refused
)

// String returns the verdict as a word.
func (v Verdict) String() string {
	return [...]string{"clear", "alone", "refused"}[v]
}

// Death tells that an endpoint died while an attempt was on it.
type Death struct {
	// Fingerprint is the hash of target and body of the request.
	Fingerprint uint64
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Others counts the other attempts on the endpoint.
	Others int
}

// Row is what is known of one content.
type Row struct {
	// Deaths counts deaths under the content, Sole those with nothing else there.
	Deaths int
	Sole   int
	// Until is when the row expires.
	Until time.Duration
	// endpoints has the last endpoints that died and when, newest last.
	endpoints [seenEndpoints]seenDeath
	// distinct counts different endpoints, up to seenEndpoints.
	distinct int
}

// seenDeath is an endpoint with the time of its last death under the content.
type seenDeath struct {
	endpoint string
	at       time.Duration
}

// Verdict returns how to treat the content.
func (r *Row) Verdict() Verdict {
	switch {
	case r.Sole >= 2 && r.distinct >= 2,
		r.Sole >= 1 && r.Deaths > aloneDeaths && r.distinct >= 2,
		r.Sole >= sameEndpointDeaths:
		return Refused
	case r.Deaths >= aloneDeaths:
		return Alone
	default:
		return Clear
	}
}

// Table holds what is known of suspect content. It is bounded: when it is full, new
// content takes the place of the row that is least suspect, the first to expire among
// equals. If all rows are refused content, new content is not noted.
type Table struct {
	// rows is by fingerprint.
	rows map[uint64]*Row
	// limit bounds rows.
	limit int
	// outbox has the news for peers, at most maxOutbox.
	outbox []bbmsg.Suspect
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
	return r.Verdict()
}

// Died takes in a death that this node's own request saw. It returns the verdict and
// whether that got stricter; noted is false when the table is full for it.
func (t *Table) Died(now time.Duration, d Death) (verdict Verdict, stricter, noted bool) {
	before := t.Verdict(now, d.Fingerprint)
	r := t.note(now, d)
	if r == nil {
		return before, false, false
	}
	verdict = r.Verdict()
	t.tell(now, d, r)
	return verdict, verdict > before, true
}

// Merge takes in what a peer tells.
func (t *Table) Merge(now time.Duration, s bbmsg.Suspect) {
	d := Death{
		Fingerprint: s.Fingerprint,
		Endpoint:    s.Endpoint,
		Others:      s.Others,
	}
	r := t.note(now, d)
	if r == nil {
		return
	}
	r.Deaths = max(r.Deaths, s.Deaths)
	r.Sole = max(r.Sole, s.Sole)
	keep := min(bbmsg.Millis(s.KeepMillis), refusedKeep)
	r.Until = max(r.Until, now+keep)
}

// Succeeded clears content that ran to its end. Refused content stays refused, since
// the run may have been that of an attempt from before.
func (t *Table) Succeeded(now time.Duration, fingerprint uint64) {
	if r := t.row(now, fingerprint); r != nil && r.Verdict() != Refused {
		delete(t.rows, fingerprint)
	}
}

// Outbox returns the news for all peers since the last call.
func (t *Table) Outbox() []bbmsg.Suspect {
	news := t.outbox
	t.outbox = nil
	return news
}

// row returns the row of content, nil if nothing is known. Refused content whose time
// is over stays as content to run alone, so that one more sole death refuses it again.
func (t *Table) row(now time.Duration, fingerprint uint64) *Row {
	r := t.rows[fingerprint]
	if r == nil || now < r.Until {
		return r
	}
	if r.Verdict() != Refused {
		delete(t.rows, fingerprint)
		return nil
	}
	r.Sole = 0
	r.Deaths = aloneDeaths
	r.Until += soleKeep
	return t.row(now, fingerprint)
}

// note counts a death, and returns nil when the table is full for the content.
func (t *Table) note(now time.Duration, d Death) *Row {
	t.sweep(now)
	r := t.row(now, d.Fingerprint)
	if r == nil {
		if !t.makeRoom() {
			return nil
		}
		r = &Row{}
		t.rows[d.Fingerprint] = r
	}
	if r.seen(now, d.Endpoint) {
		return r
	}
	r.Deaths++
	if d.Others == 0 {
		r.Sole++
	}
	r.Until = max(r.Until, now+r.keep())
	return r
}

// seen notes a dead endpoint and tells whether this death is known already.
func (r *Row) seen(now time.Duration, endpoint string) bool {
	for i := range r.distinct {
		e := &r.endpoints[i]
		if e.endpoint != endpoint {
			continue
		}
		known := now-e.at < sameDeath
		e.at = now
		return known
	}
	if r.distinct == seenEndpoints {
		copy(r.endpoints[:], r.endpoints[1:])
		r.distinct--
	}
	r.endpoints[r.distinct] = seenDeath{
		endpoint: endpoint,
		at:       now,
	}
	r.distinct++
	return false
}

// keep returns how long the row is kept after a death.
func (r *Row) keep() time.Duration {
	switch {
	case r.Verdict() == Refused:
		return refusedKeep
	case r.Sole > 0:
		return soleKeep
	default:
		return sharedKeep
	}
}

// tell puts a death into the outbox. When that is full, a first shared death gives
// way, and other news take the place of the oldest.
func (t *Table) tell(now time.Duration, d Death, r *Row) {
	if len(t.outbox) >= maxOutbox {
		if r.Verdict() == Clear {
			return
		}
		t.outbox = append(t.outbox[:0], t.outbox[1:]...)
	}
	t.outbox = append(t.outbox, bbmsg.Suspect{
		Fingerprint: d.Fingerprint,
		Deaths:      r.Deaths,
		Sole:        r.Sole,
		Endpoint:    d.Endpoint,
		Others:      d.Others,
		KeepMillis:  (r.Until - now).Milliseconds(),
	})
}

// makeRoom removes the least suspect row if the table is full, and tells whether
// there is room.
func (t *Table) makeRoom() bool {
	if len(t.rows) < t.limit {
		return true
	}
	var weakest uint64
	var least *Row
	for fingerprint, r := range t.rows {
		if least == nil || weaker(fingerprint, r, weakest, least) {
			weakest, least = fingerprint, r
		}
	}
	if least.Verdict() == Refused {
		return false
	}
	delete(t.rows, weakest)
	return true
}

// weaker orders rows by verdict, sole deaths, expiry and fingerprint.
func weaker(aPrint uint64, a *Row, bPrint uint64, b *Row) bool {
	if a.Verdict() != b.Verdict() {
		return a.Verdict() < b.Verdict()
	}
	if a.Sole != b.Sole {
		return a.Sole < b.Sole
	}
	if a.Until != b.Until {
		return a.Until < b.Until
	}
	return aPrint < bPrint
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
