package bbresumption

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbprovenance"
)

const (
	// batchDelay is how long records are collected before their copies are sent.
	batchDelay = 20 * time.Millisecond
	// reviewPeriod is the interval between checks whether other VMs are to hold records than before.
	reviewPeriod = 300 * time.Millisecond
	// finishPeriod is the interval between checks whether all copies have been sent.
	finishPeriod = 5 * time.Millisecond
	// sendTimeout bounds one call with copies: setting up a connection and a round trip.
	sendTimeout = time.Second
	// maxQueued bounds the records whose copies are to be sent.
	maxQueued = 4096
	// maxSends bounds the VMs to which copies are being sent, each counted once for each batch.
	maxSends = 512
	// maxBatch bounds the records in one call.
	maxBatch = 1024
)

var (
	errQueueFull      = errors.New("the queue of records is full")
	errTooManySends   = errors.New("too many batches of records are being sent")
	errTooManyLookups = errors.New("too many records are being searched for")
)

// recordCopy is a copy of the records of an attempt on its way to a VM.
type recordCopy struct {
	attempt uint64
	// fallback is the address of the VM that gets the copy if it can't be delivered; empty if there is none.
	fallback string
}

// checkAnswer returns an error if a record isn't a valid answer to a question for an attempt.
func checkAnswer(record bbprovenance.Record, attempt uint64) error {
	if record.Attempt != attempt {
		return errors.Newf("record of attempt %x in an answer for %x", record.Attempt, attempt)
	}
	return record.Check()
}

// Began stores that a version of a service has begun the stream of an attempt, and queues copies for other VMs. It
// doesn't wait for them. Streams whose attempt or version is unknown get no record.
func (r *Resumptions) Began(attempt, service, version string) {
	if attempt == "" || version == "" {
		return
	}
	record := bbprovenance.Record{
		Attempt: bbhash.Name(attempt),
		Service: service,
		Version: version,
	}
	if err := record.Check(); err != nil {
		r.hooks.Rejected(1, err)
		return
	}
	r.put(record, true)
	r.unsent.Add(1)
	select {
	case r.queue <- record.Attempt:
	default:
		r.unsent.Add(-1)
		r.hooks.SendFailed("", bbprovenance.Copies, 0, errQueueFull)
	}
}

// Run sends the copies that are queued, and hands records over when the fleet changes, until the context ends.
func (r *Resumptions) Run(ctx context.Context) {
	ticker := time.NewTicker(reviewPeriod)
	defer ticker.Stop()
	// alone are the attempts whose records were queued while no other VM was known.
	var alone []uint64
	for {
		var attempts []uint64
		select {
		case <-ctx.Done():
			return
		case first := <-r.queue:
			attempts = append(attempts, first)
			select {
			case <-ctx.Done():
				return
			case <-time.After(batchDelay):
			}
			for range len(r.queue) {
				attempts = append(attempts, <-r.queue)
			}
		case <-ticker.C:
			r.handOver(ctx)
		}
		alone = r.copyBegun(ctx, append(alone, attempts...))
		alone = alone[max(0, len(alone)-maxQueued):]
		r.unsent.Add(-int64(len(attempts)))
	}
}

// copyBegun sends copies of the records of attempts to the VMs that are to hold them. It returns the attempts if there
// are no other VMs.
func (r *Resumptions) copyBegun(ctx context.Context, attempts []uint64) (alone []uint64) {
	if len(attempts) == 0 {
		return nil
	}
	placement := bbprovenance.NewPlacement(bbprovenance.Staying(r.hooks.Members()))
	batches := make(map[string][]recordCopy)
	for _, attempt := range attempts {
		holders := placement.Others(r.self, attempt, asked)
		if len(holders) == 0 {
			return attempts
		}
		first := min(bbprovenance.Copies, len(holders))
		assign(batches, attempt, holders[:first], holders[first:])
	}
	r.sendAll(ctx, batches)
	return nil
}

// assign adds the copies of an attempt's records for some VMs to the batches. Other VMs replace those that can't be
// reached.
func assign(batches map[string][]recordCopy, attempt uint64, to, others []bbgossip.Member) {
	rest := slices.Clone(others)
	for _, m := range to {
		c := recordCopy{
			attempt: attempt,
		}
		if len(rest) > 0 {
			// The failure domain of a VM that can't be reached may be lost as a whole.
			i := max(0, slices.IndexFunc(rest, func(other bbgossip.Member) bool { return other.Zone != m.Zone }))
			c.fallback = rest[i].Peer
			rest = slices.Delete(rest, i, i+1)
		}
		batches[m.Peer] = append(batches[m.Peer], c)
	}
}

func (r *Resumptions) sendAll(ctx context.Context, batches map[string][]recordCopy) {
	for peer, batch := range batches {
		r.send(ctx, peer, batch)
	}
}

// send sends copies to a VM without waiting for it.
func (r *Resumptions) send(ctx context.Context, peer string, batch []recordCopy) {
	select {
	case r.sends <- struct{}{}:
	default:
		r.hooks.SendFailed(peer, len(batch), 0, errTooManySends)
		return
	}
	r.unsent.Add(1)
	go func() {
		defer r.unsent.Add(-1)
		for len(batch) > 0 {
			n, err := r.sendPart(ctx, peer, batch)
			if err != nil {
				<-r.sends
				r.retry(ctx, peer, batch, err)
				return
			}
			batch = batch[n:]
		}
		<-r.sends
	}()
}

// sendPart sends the first copies of a batch in one call, and returns their number.
func (r *Resumptions) sendPart(ctx context.Context, peer string, batch []recordCopy) (n int, err error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var records []bbprovenance.Record
	r.mu.Lock()
	now := r.hooks.Now()
	for _, c := range batch {
		// Records that contradict each other are sent together, so that the receiver relies on none of them.
		of := r.table.Records(now, c.attempt)
		if len(records)+len(of) > maxBatch {
			break
		}
		records = append(records, of...)
		n++
	}
	r.mu.Unlock()
	if len(records) == 0 {
		return n, nil
	}
	return n, r.hooks.Send(ctx, peer, records)
}

// retry sends copies that could not be delivered to their fallbacks, and drops those that have none.
func (r *Resumptions) retry(ctx context.Context, peer string, batch []recordCopy, err error) {
	retries := make(map[string][]recordCopy)
	retried := 0
	for _, c := range batch {
		if c.fallback == "" {
			continue
		}
		retried++
		retries[c.fallback] = append(retries[c.fallback], recordCopy{
			attempt: c.attempt,
		})
	}
	r.hooks.SendFailed(peer, len(batch), retried, err)
	r.sendAll(ctx, retries)
}
