package bbquarantine

import (
	"time"

	"bluebellhall/core/bbsuspect"
)

const (
	// revivalTime is how long after its loss an endpoint counts as gone that has answered nothing
	// since.
	downTimeout = 2 * time.Second
	// maxLives bounds the endpoints whose losses are remembered.
	maxLosses = 4096
)

// life is what is known of an endpoint that was lost.
type loss struct {
	lostAt, answeredAt time.Duration
}

// gone tells whether nothing shows that the endpoint was back at a time.
func (l loss) down(at time.Duration) bool {
	return l.answeredAt < l.lostAt && at >= l.lostAt && at-l.lostAt < downTimeout
}

// lives has the endpoints that were lost lately. What is sent to one that is gone already, and
// breaks off, says nothing of what was sent.
type losses map[string]loss

// lost takes in a run that broke off. It is true if the run may have ended its endpoint.
func (t losses) record(run bbsuspect.Run) bool {
	l, known := t[run.Endpoint]
	if known && l.down(run.Began) {
		return false
	}
	if !known || !l.down(run.Ended) {
		if len(t) >= maxLosses {
			t.evict(run.Ended)
		}
		t[run.Endpoint] = loss{
			lostAt:     run.Ended,
			answeredAt: run.Ended - 1,
		}
	}
	return true
}

// answered notes an answer of an endpoint.
func (t losses) recordAnswer(now time.Duration, endpoint string) {
	if l, known := t[endpoint]; known {
		l.answeredAt = now
		t[endpoint] = l
	}
}

// forget makes room: endpoints that are not gone go first.
func (t losses) evict(now time.Duration) {
	for endpoint, l := range t {
		if !l.down(now) {
			delete(t, endpoint)
		}
	}
	for endpoint := range t {
		if len(t) < maxLosses {
			return
		}
		delete(t, endpoint)
	}
}
