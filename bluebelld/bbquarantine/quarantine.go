// Package bbquarantine keeps requests whose content, or a part of whose prompt, crashes endpoints away from
// them, whichever entry VM they arrive at. A VM reports the runs that it observes to the aggregators of their
// content, two VMs on which all others agree. After two crashes, all VMs are informed. Each VM derives its
// verdict from its own table, so that neither the loss of a VM nor a network partition reverts a refusal that it
// knows of.
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
	// maxContents bounds the fingerprints that are tracked.
	maxContents = 4096
	// batchDelay is how long updates are collected before they are sent.
	batchDelay = 20 * time.Millisecond
	// refreshPeriod is the interval between checks for VMs that have started.
	refreshPeriod = time.Second
	// sendTimeout bounds one call that sends updates to a VM.
	sendTimeout = time.Second
	// retryFor is how long failed sends to a VM are retried after the last new update for it.
	retryFor = 5 * time.Second
	// retryDelay is the delay before a failed send is retried.
	retryDelay = 300 * time.Millisecond
	// maxBatch bounds the fingerprints in one call.
	maxBatch = 256
)

// Hooks connect a quarantine to the fleet and the log.
type Hooks struct {
	// Now returns the monotonic time.
	Now func() time.Duration
	// Aggregators returns the other VMs that collect the reports about a fingerprint.
	Aggregators func(fingerprint uint64) []bbgossip.Member
	// Relays returns the other VMs to which this one forwards updates that are meant for all VMs;
	// relayed is true for updates that another VM has forwarded to this one.
	Relays func(relayed bool) []bbgossip.Member
	// Send sends updates to the VM with the given address.
	Send func(ctx context.Context, peer string, s bbpeer.Suspects) error
	// VerdictChanged is called when the verdict on a fingerprint has changed on this VM.
	VerdictChanged func(fingerprint uint64, former, present bbsuspect.Verdict)
	// SendFailed is called when the first attempt to send a batch of updates to a VM has failed.
	SendFailed func(peer string, contents int, err error)
}

// Quarantine holds one VM's crash histories of content and exchanges them with the other VMs.
type Quarantine struct {
	hooks Hooks
	wake  chan struct{}

	mu        sync.Mutex
	table     *bbsuspect.Table
	successes recentSuccesses
	losses    losses
	// reports are the fingerprints to be reported to their aggregators. relays are those to be sent to
	// all VMs; the value is false if another VM has already relayed the update.
	reports map[uint64]bool
	relays  map[uint64]bool
	// sending are the messages that are being sent.
	sending map[recipient]*message
	// synced maps VMs to the boot of the process that was sent all active fingerprints.
	synced map[string]int64
}

// New returns an empty quarantine of contents.
func New(h Hooks) *Quarantine {
	return newQuarantine(h, bbsuspect.New(maxContents), successTTL)
}

func newQuarantine(h Hooks, table *bbsuspect.Table, ttl time.Duration) *Quarantine {
	return &Quarantine{
		hooks: h,
		wake:  make(chan struct{}, 1),
		table: table,
		successes: recentSuccesses{
			ttl: ttl,
		},
		losses:  make(losses),
		reports: make(map[uint64]bool),
		relays:  make(map[uint64]bool),
		sending: make(map[recipient]*message),
		synced:  make(map[string]int64),
	}
}

// Verdict returns how content is to be treated. Fingerprint 0 stands for unknown content, which is clear.
func (q *Quarantine) Verdict(fingerprint uint64) bbsuspect.Verdict {
	if fingerprint == 0 {
		return bbsuspect.Clear
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Verdict(q.hooks.Now(), fingerprint)
}

// Counts returns the number of tracked fingerprints, and how many of them are refused.
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

// RecordLoss records a run that this VM saw end with the loss of its endpoint.
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

// RecordAnswer records that an endpoint answered a request, whatever the answer.
func (q *Quarantine) RecordAnswer(endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.losses.recordAnswer(q.hooks.Now(), endpoint)
}

// RecordSuccess records a successful run.
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

// Merge merges the histories that another VM sent.
func (q *Quarantine) Merge(update bbpeer.Suspects) {
	from := reported
	if update.Relayed {
		from = relayed
	}
	for _, s := range update.Suspects[:min(len(update.Suspects), maxBatch)] {
		q.update(s.Fingerprint, func(now time.Duration) change {
			learned, outdated := q.table.Merge(now, s)
			c := change{
				changed: learned || outdated,
				origin:  from,
				verdict: q.table.Verdict(now, s.Fingerprint),
			}
			if q.applySuccess(now, s.Fingerprint) {
				c.changed = true
				c.origin = observed
			}
			if outdated {
				// The sender, and all VMs that got the same update, lack a successful run known here.
				c.origin = observed
				c.verdict = bbsuspect.Refused
			}
			return c
		})
	}
}

// applySuccess clears the runs that a remembered successful run refutes. It returns true if there were any.
func (q *Quarantine) applySuccess(now time.Duration, fingerprint uint64) bool {
	began, ok := q.successes.latest(fingerprint)
	return ok && q.table.RecordSuccess(now, fingerprint, began)
}

// origin is where a change comes from. It decides which VMs are informed.
type origin uint8

const (
	// observed changes are this VM's own: they go to the aggregators, and to all VMs if the content is or
	// was isolated or refused.
	observed origin = iota
	// reported changes were sent to this VM as an aggregator: they go to all VMs under the same condition.
	reported
	// relayed changes were forwarded by another VM: in a fleet too large for their origin to reach all
	// VMs itself, they are forwarded further.
	relayed
)

// change is the effect of an update on the history of one fingerprint.
type change struct {
	// changed is true if other VMs may have to be informed.
	changed bool
	origin  origin
	// verdict is the strictest one that other VMs may have reached with the data that they were sent.
	verdict bbsuspect.Verdict
}

// update applies a change to the history of a fingerprint and schedules the updates of other VMs.
func (q *Quarantine) update(fingerprint uint64, apply func(now time.Duration) change) {
	q.mu.Lock()
	now := q.hooks.Now()
	former := q.table.Verdict(now, fingerprint)
	c := apply(now)
	present := q.table.Verdict(now, fingerprint)
	if c.changed && c.origin == observed && len(q.reports) < maxContents {
		q.reports[fingerprint] = true
	}
	if c.changed && max(former, present, c.verdict) >= bbsuspect.Alone && len(q.relays) < maxContents {
		q.relays[fingerprint] = q.relays[fingerprint] || c.origin != relayed
	}
	pending := len(q.reports)+len(q.relays) > 0
	q.mu.Unlock()
	if former != present {
		q.hooks.VerdictChanged(fingerprint, former, present)
	}
	if pending {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// Run sends updates to other VMs until the context ends.
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

// recipient is a VM that gets updates, either as an aggregator or as one of all VMs.
type recipient struct {
	name    string
	relayed bool
}

// message collects updates for one recipient while it is being sent. The fields after the first are
// guarded by the quarantine's mutex.
type message struct {
	recipient
	// peer is the VM's address for calls.
	peer     string
	contents map[uint64]bool
	// deadline is when failed sends are no longer retried.
	deadline time.Duration
}

// collect adds the scheduled updates to the messages that are being sent, and returns the new messages.
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
		for _, m := range q.hooks.Aggregators(fingerprint) {
			add(m, false, fingerprint)
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

// addNewPeers adds all active fingerprints for VMs that have started since these were last sent to them.
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

// send sends a message in batches, including what is added to it meanwhile. A failed batch is retried until
// the message's deadline. A VM that missed updates is sent all active fingerprints once it is reachable
// again.
func (q *Quarantine) send(ctx context.Context, m *message) {
	for attempts := 0; ; attempts++ {
		batch := q.nextBatch(m)
		if len(batch) == 0 {
			return
		}
		err := q.sendBatch(ctx, m, batch)
		if err == nil {
			continue
		}
		if attempts == 0 {
			q.hooks.SendFailed(m.name, len(batch), err)
		}
		if q.requeue(m, batch) || ctx.Err() != nil {
			return
		}
		time.Sleep(retryDelay)
	}
}

// nextBatch removes fingerprints from a message and returns them. Without any left it ends the message.
func (q *Quarantine) nextBatch(m *message) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch []uint64
	for fingerprint := range m.contents {
		if len(batch) == maxBatch {
			break
		}
		batch = append(batch, fingerprint)
		delete(m.contents, fingerprint)
	}
	if len(batch) == 0 {
		delete(q.sending, m.recipient)
	}
	return batch
}

// requeue puts the fingerprints of a failed batch back into their message. It returns true if the message
// has passed its deadline and is dropped.
func (q *Quarantine) requeue(m *message, batch []uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, fingerprint := range batch {
		m.contents[fingerprint] = true
	}
	if q.hooks.Now() < m.deadline {
		return false
	}
	delete(q.sending, m.recipient)
	delete(q.synced, m.name)
	return true
}

func (q *Quarantine) sendBatch(ctx context.Context, m *message, batch []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	update := bbpeer.Suspects{
		Relayed: m.relayed,
	}
	q.mu.Lock()
	now, peer := q.hooks.Now(), m.peer
	for _, fingerprint := range batch {
		update.Suspects = append(update.Suspects, q.table.Snapshot(now, fingerprint))
	}
	q.mu.Unlock()
	return q.hooks.Send(ctx, peer, update)
}
