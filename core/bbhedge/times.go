package bbhedge

import (
	"math"
	"slices"
	"time"
)

// maxSamples bounds the response times that are kept of a route or a service.
const maxSamples = 256

// sample is the response time of one attempt that ended at a time.
type sample struct {
	at, took time.Duration
}

// times are recent response times, the oldest first. The zero value is empty and ready.
type times struct {
	samples []sample
}

// add adds a response time and drops those that ended before span ago.
func (t *times) add(now, took, span time.Duration) {
	expired := 0
	for expired < len(t.samples) && (now-t.samples[expired].at > span || len(t.samples)-expired >= maxSamples) {
		expired++
	}
	t.samples = append(slices.Delete(t.samples, 0, expired), sample{
		at:   now,
		took: took,
	})
}

// latest returns the response times that ended at most span ago, sorted by length. If these are fewer than
// least, it returns the latest ones up to that number that ended at most longest ago.
func (t *times) latest(now, span time.Duration, least int, longest time.Duration) []time.Duration {
	var list []time.Duration
	for i := len(t.samples) - 1; i >= 0; i-- {
		age := now - t.samples[i].at
		if age > longest || age > span && len(list) >= least {
			break
		}
		list = append(list, t.samples[i].took)
	}
	slices.Sort(list)
	return list
}

// quantile returns the smallest of the sorted times that at least a fraction of them doesn't exceed.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	rank := int(math.Ceil(fraction*float64(len(sorted)) - 1e-9))
	return sorted[min(max(rank, 1), len(sorted))-1]
}
