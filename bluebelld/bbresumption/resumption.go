// Package bbresumption stores who began a stream on a few VMs and finds it again when a caller takes the stream up,
// at whichever VM.
package bbresumption

import (
	"context"
	"sync"
	"time"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbprovenance"
)

const (
	// copies is the number of other VMs that get a record.
	copies = 3
	// asked is the number of VMs that are asked for a record: VMs that were lost or have joined since it was copied
	// shift the order of the holders by a few places.
	asked = 2 * copies
	// lookupTimeout bounds a search: a round trip between regions with one retransmission.
	lookupTimeout = 300 * time.Millisecond
	// maxLookups bounds the searches in progress.
	maxLookups = 256
)

// Hooks connect the records to the fleet and the log.
type Hooks struct {
	// Now returns the monotonic time.
	Now func() time.Duration
	// Holders returns the other VMs, at most n, that hold copies of what has a hash, the first ones first.
	Holders func(hash uint64, n int) []bbgossip.Member
	// Send sends copies of records to the VM with the given address.
	Send func(ctx context.Context, peer string, records []bbprovenance.Record) error
	// Ask asks the VM with the given address for the record of an attempt. It returns false if that has none.
	Ask func(ctx context.Context, peer string, attempt uint64) (bbprovenance.Record, bool, error)
	// SendFailed is called when copies could not be sent to a VM, or to no VM if peer is empty. Retried is the
	// number of them that are sent to another VM instead; the others are dropped.
	SendFailed func(peer string, copies, retried int, err error)
	// AskFailed is called when a VM, or none if peer is empty, could not be asked, or gave no valid answer.
	AskFailed func(peer string, attempt uint64, err error)
	// Rejected is called with the number of records that were not stored because they are invalid, and the error of
	// the last one.
	Rejected func(records int, err error)
}

// Resumptions holds one VM's records of begun streams and exchanges them with other VMs.
type Resumptions struct {
	hooks Hooks
	// queue has the records whose copies are to be sent.
	queue chan bbprovenance.Record
	// sends and lookups have an element for each batch that is being sent and each search in progress.
	sends, lookups chan struct{}

	mu    sync.Mutex
	table *bbprovenance.Table
}

// New returns an empty set of records. It sends no copies before Run is called.
func New(h Hooks) *Resumptions {
	return &Resumptions{
		hooks:   h,
		queue:   make(chan bbprovenance.Record, maxQueued),
		sends:   make(chan struct{}, maxSends),
		lookups: make(chan struct{}, maxLookups),
		table:   bbprovenance.NewTable(),
	}
}

// Len returns the number of records at this VM.
func (r *Resumptions) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len()
}

// Merge stores the records that another VM sent, at most maxBatch.
func (r *Resumptions) Merge(records []bbprovenance.Record) {
	rejected := 0
	var lastError error
	for _, record := range records[:min(len(records), maxBatch)] {
		if err := record.Check(); err != nil {
			rejected++
			lastError = err
			continue
		}
		r.put(record)
	}
	if rejected > 0 {
		r.hooks.Rejected(rejected, lastError)
	}
}

// Answer returns this VM's record of an attempt, for another VM that asks.
func (r *Resumptions) Answer(attempt uint64) (bbprovenance.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Get(r.hooks.Now(), attempt)
}

func (r *Resumptions) put(record bbprovenance.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Put(r.hooks.Now(), record)
}

// Find returns the record of the stream that an attempt began: this VM's own, or the first that another VM returns
// within lookupTimeout. It returns false if none is found or if this VM's records contradict each other.
func (r *Resumptions) Find(ctx context.Context, attempt string) (bbprovenance.Record, bool) {
	if attempt == "" {
		return bbprovenance.Record{}, false
	}
	hash := bbhash.Name(attempt)
	if record, known := r.Answer(hash); known || r.isContradicted(hash) {
		return record, known
	}
	select {
	case r.lookups <- struct{}{}:
	default:
		r.hooks.AskFailed("", hash, errTooManyLookups)
		return bbprovenance.Record{}, false
	}
	defer func() { <-r.lookups }()
	return r.search(ctx, hash)
}

func (r *Resumptions) isContradicted(attempt uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsContradicted(r.hooks.Now(), attempt)
}

// search asks the holders of an attempt's record, all at once.
func (r *Resumptions) search(ctx context.Context, attempt uint64) (bbprovenance.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	holders := r.hooks.Holders(attempt, asked)
	// The channel takes all answers, so that none blocks after the search has ended.
	answers := make(chan *bbprovenance.Record, len(holders))
	for _, m := range holders {
		go func() { answers <- r.ask(ctx, m.Peer, attempt) }()
	}
	for range holders {
		select {
		case record := <-answers:
			if record != nil {
				return *record, true
			}
		case <-ctx.Done():
			return bbprovenance.Record{}, false
		}
	}
	return bbprovenance.Record{}, false
}

// ask asks one VM for the record of an attempt. It returns nil if that has none or can't be asked.
func (r *Resumptions) ask(ctx context.Context, peer string, attempt uint64) *bbprovenance.Record {
	record, found, err := r.hooks.Ask(ctx, peer, attempt)
	switch {
	case err != nil && ctx.Err() == context.Canceled:
		// Another VM has answered, or the caller is gone.
		return nil
	case err == nil && found:
		err = checkAnswer(record, attempt)
	}
	if err != nil {
		r.hooks.AskFailed(peer, attempt, err)
		return nil
	}
	if !found {
		return nil
	}
	return &record
}
