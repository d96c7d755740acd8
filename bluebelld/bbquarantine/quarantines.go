package bbquarantine

import (
	"context"
	"time"

	"bluebellhall/core/bbsuspect"
)

// beginningTime is how long after its first event an answer counts as just begun: the loss of its engine may
// then be due to a part of its prompt. It allows for the way of the first event and of the loss.
const beginningTime = 250 * time.Millisecond

// Quarantines are the two quarantines of a VM.
type Quarantines struct {
	Contents *Quarantine
	Parts    Parts
}

// Lost is a run that ended with the loss of its endpoint.
type Lost struct {
	bbsuspect.Run
	Content uint64
	// Parts are the parts of the prompt that other requests may have too.
	Parts []uint64
	// SinceFirstEvent is the time since the first complete event of the answer; 0 if there was none.
	SinceFirstEvent time.Duration
}

// Run sends updates to other VMs until the context ends.
func (q Quarantines) Run(ctx context.Context) {
	go q.Parts.Run(ctx)
	q.Contents.Run(ctx)
}

// RecordLoss records a run that ended with the loss of its endpoint.
func (q Quarantines) RecordLoss(l Lost) {
	q.Contents.RecordLoss(l.Content, l.Run)
	if l.SinceFirstEvent < beginningTime {
		q.Parts.RecordLoss(l.Parts, l.Run)
	}
}

// RecordAnswer records that an endpoint answered a request, whatever the answer.
func (q Quarantines) RecordAnswer(endpoint string) {
	q.Contents.RecordAnswer(endpoint)
	q.Parts.RecordAnswer(endpoint)
}

// RecordSuccess records a successful run. Parts are empty if it generated nothing.
func (q Quarantines) RecordSuccess(content uint64, parts []uint64, began time.Duration) {
	q.Contents.RecordSuccess(content, began)
	q.Parts.RecordSuccess(parts, began)
}
