package bbhistory

import (
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbsuspect"
)

// maxSuspects bounds the contents that are known to have broken engines.
const maxSuspects = 1000

// Suspects knows requests by what they ask under which engines broke off: now and then one
// crashes each engine that runs it, and its caller sends it again.
type Suspects struct {
	table *bbsuspect.Table
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{
		table: bbsuspect.New(maxSuspects),
	}
}

// Refused tells whether a request must not run.
func (s *Suspects) Refused(now time.Duration, content uint64) bool {
	return s.table.Verdict(now, content) == bbsuspect.Refused
}

// Alone tells whether a request may run only where nothing else does.
func (s *Suspects) Alone(now time.Duration, content uint64) bool {
	return s.table.Verdict(now, content) == bbsuspect.Alone
}

// Note takes in how a try at an engine ended that ran some others too.
func (s *Suspects) Note(now time.Duration, content uint64, n bbjob.Note, others int) {
	switch n.Outcome {
	case bbhealth.OutcomeGood:
		s.table.Succeeded(now, content)
	case bbhealth.OutcomeBroken:
		s.table.Died(now, bbsuspect.Death{
			Fingerprint: content,
			Endpoint:    n.Endpoint,
			Others:      max(0, others),
		})
	}
}
