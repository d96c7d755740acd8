// Package bbpace bounds the rate of requests to endpoints that have named a limit for all VMs together. One VM
// keeps the count for each endpoint, and whatever is sent to it takes a token there first.
package bbpace

import "time"

const (
	// burst is the number of tokens that an endpoint may have saved up. Two VMs that both keep the count for a
	// while, one of them at half the rate, stay within one and a half times the limit and five more.
	burst = 2.0
	// probeInterval is the longest time between two requests to an endpoint, so that a VM notices when an
	// endpoint that takes nearly nothing names a higher limit again.
	probeInterval = 30 * time.Second
	// maxEndpoints bounds the table.
	maxEndpoints = 4096
	// idleTimeout is how long the count of an endpoint without requests is kept.
	idleTimeout = 5 * time.Minute
)

// Table counts the requests to limited endpoints. The zero value is empty.
type Table struct {
	buckets map[string]*bucket
}

// bucket holds the tokens of one endpoint as of a time. It starts empty, since another VM may just have
// granted requests to the endpoint.
type bucket struct {
	tokens float64
	at     time.Duration
	rate   float64
}

// Rate returns the rate at which an endpoint with a limit, in requests per second, gets requests from a VM that
// may use a share of it.
func Rate(limit, share float64) float64 {
	return max(limit*share, 1/probeInterval.Seconds())
}

// Take takes a token of an endpoint with the given rate if it has one.
func (t *Table) Take(now time.Duration, endpoint string, rate float64) bool {
	b := t.refill(now, endpoint, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeSpare takes a token only if another one is left, for requests that may as well be left out.
func (t *Table) TakeSpare(now time.Duration, endpoint string, rate float64) bool {
	if t.refill(now, endpoint, rate).tokens < burst {
		return false
	}
	return t.Take(now, endpoint, rate)
}

// Wait returns the time until an endpoint has a token; 0 if it has one.
func (t *Table) Wait(now time.Duration, endpoint string, rate float64) time.Duration {
	missing := 1 - t.refill(now, endpoint, rate).tokens
	if missing <= 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
}

// refill adds the tokens since the last call, at the lower of the rates then and now.
func (t *Table) refill(now time.Duration, endpoint string, rate float64) *bucket {
	b := t.buckets[endpoint]
	if b == nil {
		if t.buckets == nil {
			t.buckets = make(map[string]*bucket)
		}
		if len(t.buckets) >= maxEndpoints {
			t.evict(now)
		}
		b = &bucket{
			at:   now,
			rate: rate,
		}
		t.buckets[endpoint] = b
	}
	b.tokens = min(burst, b.tokens+max(0, now-b.at).Seconds()*min(rate, b.rate))
	b.at = max(b.at, now)
	b.rate = rate
	return b
}

// evict removes the endpoints that have had no requests for idleTimeout, or the one that was idle for longest.
func (t *Table) evict(now time.Duration) {
	oldest := ""
	for id, b := range t.buckets {
		if now-b.at > idleTimeout {
			delete(t.buckets, id)
			continue
		}
		if oldest == "" || b.at < t.buckets[oldest].at {
			oldest = id
		}
	}
	if len(t.buckets) >= maxEndpoints {
		delete(t.buckets, oldest)
	}
}
