// Package bbresumption stores who began a stream on a few VMs and finds it again when a caller takes the stream up,
// at whichever VM.
package bbresumption

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbprovenance"
)

// Hooks connect the records to the fleet and the log.
type Hooks struct {
	// Now returns the monotonic time.
	Now func() time.Duration
	// Members returns the VMs that run, this one included.
	Members func() []bbgossip.Member
	// Send sends copies of records to the VM with the given address.
	Send func(ctx context.Context, peer string, records []bbprovenance.Record) error
	// Ask asks the VM with the given address who began the stream of an attempt, which can only be a service, or one of
	// several if that is empty.
	Ask func(ctx context.Context, peer string, attempt uint64, service string) (bbprovenance.Answer, error)
	// SendFailed is called when copies could not be sent to a VM, or to no VM if peer is empty. Retried is the
	// number of them that are sent to another VM instead; the others are dropped.
	SendFailed func(peer string, copies, retried int, err error)
	// AskFailed is called when a VM, or none if peer is empty, could not be asked, or gave no valid answer.
	AskFailed func(peer string, attempt uint64, err error)
	// HandedOver is called when records are sent because the fleet has changed.
	HandedOver func(h HandedOver)
	// Rejected is called with the number of records that were not stored because they are invalid, and the error of
	// the last one.
	Rejected func(records int, err error)
}

// Resumptions holds one VM's records of begun streams and exchanges them with other VMs.
type Resumptions struct {
	// self is the name of this VM.
	self  string
	hooks Hooks
	// queue has the attempts whose records are to be copied.
	queue chan uint64
	// sends and lookups have an element for each batch that is being sent and each search in progress.
	sends, lookups chan struct{}
	// unsent is the number of attempts in the queue and of batches that are being sent.
	unsent atomic.Int64

	// handingOver is held while views changes.
	handingOver sync.Mutex
	// views are the views of the fleet since viewSlack, the last one that to which records were last handed over; none
	// before this VM has known another one.
	views []view

	mu    sync.Mutex
	table *bbprovenance.Table
	// unsettled are the attempts whose records were stored lately, at most maxUnsettled.
	unsettled map[uint64]unsettled
}

// New returns an empty set of records of the VM with a name. It sends no copies before Run is called.
func New(self string, h Hooks) *Resumptions {
	return &Resumptions{
		self:    self,
		hooks:   h,
		queue:   make(chan uint64, maxQueued),
		sends:   make(chan struct{}, maxSends),
		lookups: make(chan struct{}, maxLookups),
		table:   bbprovenance.NewTable(),

		unsettled: make(map[uint64]unsettled),
	}
}

// Len returns the number of records at this VM.
func (r *Resumptions) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len()
}

// Unsent returns the number of attempts whose records are queued and of batches that are being sent.
func (r *Resumptions) Unsent() int {
	return int(r.unsent.Load())
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
		r.put(record, false)
	}
	if rejected > 0 {
		r.hooks.Rejected(rejected, lastError)
	}
}

// Answer answers another VM that asks who began the stream of an attempt.
func (r *Resumptions) Answer(attempt uint64) bbprovenance.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.hooks.Now()
	record, found := r.table.Get(now, attempt)
	return bbprovenance.Answer{
		Record:        record,
		Found:         found,
		Contradicted:  r.table.IsContradicted(now, attempt),
		RunningMillis: now.Milliseconds(),
	}
}

// put stores a record. Copied is true if this VM sends copies of it to all VMs that are to hold it.
func (r *Resumptions) put(record bbprovenance.Record, copied bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.hooks.Now()
	isNew := len(r.table.Records(now, record.Attempt)) == 0
	r.table.Put(now, record)
	if (isNew || copied) && len(r.unsettled) < maxUnsettled {
		r.unsettled[record.Attempt] = unsettled{
			since:    now,
			reviewed: copied,
		}
	}
}
