package bbquarantine

import (
	"time"

	"bluebellhall/core/bbsuspect"
)

const (
	// downTimeout is how long after its loss an endpoint is assumed to be down if it has answered nothing
	// since.
	downTimeout = 2 * time.Second
	// maxLosses bounds the endpoints whose losses are remembered.
	maxLosses = 4096
)

// loss is the last loss of an endpoint. answeredAt is before lostAt until the endpoint answers again.
type loss struct {
	lostAt, answeredAt time.Duration
}

// down reports whether the endpoint is assumed to be still down at a time.
func (l loss) down(at time.Duration) bool {
	return l.answeredAt < l.lostAt && at >= l.lostAt && at-l.lostAt < downTimeout
}

// losses has the endpoints that were recently lost. A run that began on an endpoint that was already down
// and failed is no evidence against its content.
type losses map[string]loss

// record records a run that broke off. It returns true if the run may have crashed its endpoint.
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

// recordAnswer records that an endpoint answered.
func (t losses) recordAnswer(now time.Duration, endpoint string) {
	if l, known := t[endpoint]; known {
		l.answeredAt = now
		t[endpoint] = l
	}
}

// evict makes space for another entry. Endpoints that are not down are evicted first.
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
