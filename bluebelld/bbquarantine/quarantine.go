// Package bbquarantine keeps content that crashes endpoints from them, whichever VM it arrives at.
// What a VM sees of a content it tells the keepers of that content, two VMs that all others agree
// on; once endpoints were lost twice, all VMs are told. Each VM decides by its own table, so that
// neither the loss of a VM nor a partition undoes a refusal that is known.
package bbquarantine

import (
	"context"
	"sync"
	"time"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbsuspect"
)

const (
	// maxContents bounds the contents that are watched.
	maxContents = 4096
	// gatherTime is how long news is gathered before it is sent.
	batchDelay = 20 * time.Millisecond
	// refreshPeriod is how often VMs that have started are looked for.
	refreshPeriod = time.Second
	// tellTimeout bounds a call with news.
	sendTimeout = time.Second
	// retryFor is how long news that could not be told is tried again.
	retryFor = 5 * time.Second
	// retryPause is the time between two tries.
	retryDelay = 300 * time.Millisecond
	// maxNews bounds the contents in one call.
	maxBatch = 256
)

// Seams are the effects of a quarantine on the outside.
type Hooks struct {
	// Now returns the steady time.
	Now func() time.Duration
	// Keepers returns the other VMs that gather what is known of a content.
	Aggregators func(fingerprint uint64) []bbgossip.Member
	// Relays returns the other VMs that this one passes news on to; relayed is true for news that
	// another VM has passed on.
	Relays func(relayed bool) []bbgossip.Member
	// Tell sends news to a VM.
	Send func(ctx context.Context, peer string, s bbpeer.Suspects) error
	// Judged tells of another verdict on a content.
	VerdictChanged func(fingerprint uint64, former, present bbsuspect.Verdict)
	// Untold tells of news that a VM did not take.
	SendFailed func(peer string, contents int, err error)
}

// Quarantine is what one VM knows of such content.
type Quarantine struct {
	hooks Hooks
	wake  chan struct{}

	mu        sync.Mutex
	table     *bbsuspect.Table
	successes recentSuccesses
	losses    losses
	// reports are contents to be reported to their keepers, relays those to be passed on; these
	// are true unless another VM has passed them on.
	reports map[uint64]bool
	relays  map[uint64]bool
	// sending are the messages in progress.
	sending map[recipient]*message
	// told has the process of each VM that was told of all active contents.
	synced map[string]int64
}

// New returns a quarantine without content.
func New(s Hooks) *Quarantine {
	return &Quarantine{
		hooks:   s,
		wake:    make(chan struct{}, 1),
		table:   bbsuspect.New(maxContents),
		losses:  make(losses),
		reports: make(map[uint64]bool),
		relays:  make(map[uint64]bool),
		sending: make(map[recipient]*message),
		synced:  make(map[string]int64),
	}
}

// Verdict returns how a content is to be treated.
func (q *Quarantine) Verdict(fingerprint uint64) bbsuspect.Verdict {
	if fingerprint == 0 {
		return bbsuspect.Clear
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Verdict(q.hooks.Now(), fingerprint)
}

// Counts returns the contents that are watched, and of these the ones that are refused.
func (q *Quarantine) Counts() (watched, refused int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.hooks.Now()
	for _, fingerprint := range q.table.Active(now) {
		if q.table.Verdict(now, fingerprint) == bbsuspect.Refused {
			refused++
		}
	}
	return q.table.Len(), refused
}

// Lost takes in a run that ended with its endpoint, as this VM saw it.
func (q *Quarantine) RecordLoss(fingerprint uint64, run bbsuspect.Run) {
	if fingerprint == 0 {
		return
	}
	q.update(fingerprint, func(now time.Duration) change {
		if !q.losses.record(run) {
			return change{}
		}
		verdict, noted := q.table.RecordLoss(now, fingerprint, run)
		q.applySuccess(now, fingerprint)
		return change{
			changed: noted,
			verdict: verdict,
		}
	})
}

// Answered takes in that an endpoint gave some answer.
func (q *Quarantine) RecordAnswer(endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.losses.recordAnswer(q.hooks.Now(), endpoint)
}

// Succeeded takes in a run that came to a good end.
func (q *Quarantine) RecordSuccess(fingerprint uint64, began time.Duration) {
	if fingerprint == 0 {
		return
	}
	q.update(fingerprint, func(now time.Duration) change {
		q.successes.add(now, fingerprint, began)
		return change{
			changed: q.table.RecordSuccess(now, fingerprint, began),
		}
	})
}

// Take takes in what another VM tells.
func (q *Quarantine) Merge(told bbpeer.Suspects) {
	from := reported
	if told.Relayed {
		from = relayed
	}
	for _, s := range told.Suspects[:min(len(told.Suspects), maxBatch)] {
		q.update(s.Fingerprint, func(now time.Duration) change {
			is, outdated := q.table.Merge(now, s)
			n := change{
				changed: is || outdated,
				origin:  from,
				verdict: q.table.Verdict(now, s.Fingerprint),
			}
			if q.applySuccess(now, s.Fingerprint) {
				n.changed = true
				n.origin = observed
			}
			if outdated {
				// The sender, and whoever else was told, lacks a good run.
				n.origin = observed
				n.verdict = bbsuspect.Refused
			}
			return n
		})
	}
}

// exonerate applies a good run of which the table knew nothing; true if that changes anything.
func (q *Quarantine) applySuccess(now time.Duration, fingerprint uint64) bool {
	began, ok := q.successes.latest(fingerprint)
	return ok && q.table.RecordSuccess(now, fingerprint, began)
}

// source is where news comes from. It decides who is told.
type origin uint8

const (
	// seen news is this VM's own: keepers are told, and all VMs if it matters to them.
	observed origin = iota
	// reported news came to this VM as a keeper: all VMs are told if it matters to them.
	reported
	// relayed news is passed on where a fleet is too large for its origin to tell all.
	relayed
)

// news is what a change of a content means to others.
type change struct {
	// is is true if there is any.
	changed bool
	origin  origin
	// verdict is the strictest one that others may have on what they were told.
	verdict bbsuspect.Verdict
}

// change changes what is known of a content and notes whom to tell.
func (q *Quarantine) update(fingerprint uint64, apply func(now time.Duration) change) {
	q.mu.Lock()
	now := q.hooks.Now()
	former := q.table.Verdict(now, fingerprint)
	n := apply(now)
	present := q.table.Verdict(now, fingerprint)
	if n.changed && n.origin == observed && len(q.reports) < maxContents {
		q.reports[fingerprint] = true
	}
	if n.changed && max(former, present, n.verdict) >= bbsuspect.Alone && len(q.relays) < maxContents {
		q.relays[fingerprint] = q.relays[fingerprint] || n.origin != relayed
	}
	waits := len(q.reports)+len(q.relays) > 0
	q.mu.Unlock()
	if former != present {
		q.hooks.VerdictChanged(fingerprint, former, present)
	}
	if waits {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// Run sends what is to be told until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			time.Sleep(batchDelay)
		case <-ticker.C:
		}
		for _, m := range q.collect() {
			go q.send(ctx, m)
		}
	}
}

// recipient is a VM that is told, as a keeper or as one of all.
type recipient struct {
	name    string
	relayed bool
}

// message is news for one VM. The fields after the first are guarded by the quarantine's lock.
type message struct {
	recipient
	// peer is the VM's address for calls.
	peer     string
	contents map[uint64]bool
	// deadline is when the VM is given up that doesn't take it.
	deadline time.Duration
}

// gather adds what is to be told to the messages that are being sent, and returns the new ones.
func (q *Quarantine) collect() []*message {
	q.mu.Lock()
	defer q.mu.Unlock()
	var added []*message
	add := func(to bbgossip.Member, relayed bool, fingerprint uint64) {
		key := recipient{to.Name, relayed}
		m := q.sending[key]
		if m == nil {
			m = &message{
				recipient: key,
				contents:  make(map[uint64]bool),
			}
			q.sending[key] = m
			added = append(added, m)
		}
		m.peer = to.Peer
		m.deadline = q.hooks.Now() + retryFor
		if len(m.contents) < maxContents {
			m.contents[fingerprint] = true
		}
	}
	for fingerprint := range q.reports {
		for _, keeper := range q.hooks.Aggregators(fingerprint) {
			add(keeper, false, fingerprint)
		}
	}
	for fingerprint, own := range q.relays {
		for _, m := range q.hooks.Relays(!own) {
			add(m, true, fingerprint)
		}
	}
	clear(q.reports)
	clear(q.relays)
	q.addNewPeers(func(to bbgossip.Member, fingerprint uint64) { add(to, true, fingerprint) })
	return added
}

// addStarted adds all active contents for VMs that have started since they were told.
func (q *Quarantine) addNewPeers(add func(to bbgossip.Member, fingerprint uint64)) {
	active := q.table.Active(q.hooks.Now())
	if len(active) == 0 {
		clear(q.synced)
		return
	}
	present := make(map[string]bool)
	for _, m := range q.hooks.Relays(false) {
		present[m.Name] = true
		if boot, ok := q.synced[m.Name]; ok && boot == m.Boot {
			continue
		}
		q.synced[m.Name] = m.Boot
		for _, fingerprint := range active {
			add(m, fingerprint)
		}
	}
	for name := range q.synced {
		if !present[name] {
			delete(q.synced, name)
		}
	}
}

// tell sends a message in parts, and what is added to it meanwhile. A part that is not taken is
// sent again for a while; a VM that wasn't told is told of all when it is reached again.
func (q *Quarantine) send(ctx context.Context, m *message) {
	for tries := 0; ; tries++ {
		part := q.nextBatch(m)
		if len(part) == 0 {
			return
		}
		err := q.sendBatch(ctx, m, part)
		if err == nil {
			continue
		}
		if tries == 0 {
			q.hooks.SendFailed(m.name, len(part), err)
		}
		if q.requeue(m, part) || ctx.Err() != nil {
			return
		}
		time.Sleep(retryDelay)
	}
}

// nextPart takes contents out of a message; none ends it.
func (q *Quarantine) nextBatch(m *message) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var part []uint64
	for fingerprint := range m.contents {
		if len(part) == maxBatch {
			break
		}
		part = append(part, fingerprint)
		delete(m.contents, fingerprint)
	}
	if len(part) == 0 {
		delete(q.sending, m.recipient)
	}
	return part
}

// putBack puts contents back into a message that was not taken. It is true if the VM is given up.
func (q *Quarantine) requeue(m *message, part []uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fingerprint := range part {
		m.contents[fingerprint] = true
	}
	if q.hooks.Now() < m.deadline {
		return false
	}
	delete(q.sending, m.recipient)
	delete(q.synced, m.name)
	return true
}

func (q *Quarantine) sendBatch(ctx context.Context, m *message, part []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	told := bbpeer.Suspects{
		Relayed: m.relayed,
	}
	q.mu.Lock()
	now, peer := q.hooks.Now(), m.peer
	for _, fingerprint := range part {
		told.Suspects = append(told.Suspects, q.table.Snapshot(now, fingerprint))
	}
	q.mu.Unlock()
	return q.hooks.Send(ctx, peer, told)
}
