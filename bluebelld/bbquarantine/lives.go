package bbquarantine

import (
	"time"

	"bluebellhall/core/bbsuspect"
)

const (
	// revivalTime is how long after its loss an endpoint counts as gone that has answered nothing
	// since.
	revivalTime = 2 * time.Second
	// maxLives bounds the endpoints whose losses are remembered.
	maxLives = 4096
)

// life is what is known of an endpoint that was lost.
type life struct {
	lostAt, answeredAt time.Duration
}

// gone tells whether nothing shows that the endpoint was back at a time.
func (l life) gone(at time.Duration) bool {
	return l.answeredAt < l.lostAt && at >= l.lostAt && at-l.lostAt < revivalTime
}

// lives has the endpoints that were lost lately. What is sent to one that is gone already, and
// breaks off, says nothing of what was sent.
type lives map[string]life

// lost takes in a run that broke off. It is true if the run may have ended its endpoint.
func (t lives) lost(run bbsuspect.Run) bool {
	l, known := t[run.Endpoint]
	if known && l.gone(run.Began) {
		return false
	}
	if !known || !l.gone(run.Ended) {
		if len(t) >= maxLives {
			t.forget(run.Ended)
		}
		t[run.Endpoint] = life{
			lostAt:     run.Ended,
			answeredAt: run.Ended - 1,
		}
	}
	return true
}

// answered notes an answer of an endpoint.
func (t lives) answered(now time.Duration, endpoint string) {
	if l, known := t[endpoint]; known {
		l.answeredAt = now
		t[endpoint] = l
	}
}

// forget makes room: endpoints that are not gone go first.
func (t lives) forget(now time.Duration) {
	for endpoint, l := range t {
		if !l.gone(now) {
			delete(t, endpoint)
		}
	}
	for endpoint := range t {
		if len(t) < maxLives {
			return
		}
		delete(t, endpoint)
	}
}
