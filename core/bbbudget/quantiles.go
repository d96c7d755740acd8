// Package bbbudget divides the time until a request's deadline: how long each stage may take, whether the
// request can still meet the deadline, when a second attempt of a slow stage pays off, and how many retries
// and hedges a service may add to its traffic.
package bbbudget

import (
	"math"
	"time"
)

const (
	// perOctave is the number of buckets for each doubling of the time.
	perOctave = 8
	// octaves covers minTime to minTime * 2^octaves, about 137 s.
	octaves = 20
	buckets = perOctave * octaves
	// minTime is the lower edge of the first bucket.
	minTime = 131072 * time.Nanosecond
	// halfLife is the age at which an observation has half its weight.
	halfLife = 5 * time.Second
	// maxWeight bounds the total weight of earlier observations, in units of a new one, so that the
	// estimate follows a change within a few times as many observations.
	maxWeight = 256
	// minWeight is the total weight that observations must have for an estimate.
	minWeight = 4
	// maxUnit is the unit from which all weights are normalized, which bounds their numbers.
	maxUnit = 1e12
)

// Quantiles estimates the distribution of a service's response times, queueing included, from recent
// observations. The zero value is empty and ready. Its size is fixed; an estimate is within a factor of
// 2^(1/perOctave) of the exact quantile for times in the range of the buckets.
type Quantiles struct {
	// weights is the total weight of the observations in each bucket, in multiples of an arbitrary unit.
	weights [buckets]float64
	// total is the sum of weights.
	total float64
	// unit is the weight of an observation made at time at; it grows over time instead of the older
	// weights decaying. It is 0 before the first observation.
	unit float64
	// at is the time of the last observation.
	at time.Duration
}

// Observe adds the duration of one attempt.
func (q *Quantiles) Observe(now, took time.Duration) {
	q.advance(now)
	q.unit = max(q.unit, q.total/(maxWeight-1))
	q.weights[bucketOf(took)] += q.unit
	q.total += q.unit
}

// At returns the quantile for a share from 0 to 1, and false if the recent observations are too few.
func (q *Quantiles) At(now time.Duration, share float64) (time.Duration, bool) {
	if q.unit == 0 || q.total*decay(now-q.at) < minWeight*q.unit {
		return 0, false
	}
	wanted := min(max(share, 0), 1) * q.total
	below := 0.0
	last := 0
	for i, w := range q.weights {
		if w == 0 {
			continue
		}
		last = i
		if below+w >= wanted {
			return bucketEdge(float64(i) + (wanted-below)/w), true
		}
		below += w
	}
	return bucketEdge(float64(last + 1)), true
}

// advance grows the unit up to now, and normalizes all weights before they get too large.
func (q *Quantiles) advance(now time.Duration) {
	if q.unit == 0 {
		q.unit = 1
		q.at = now
	}
	if now <= q.at {
		return
	}
	q.unit /= max(decay(now-q.at), 1/maxUnit)
	q.at = now
	if q.unit < maxUnit {
		return
	}
	q.total = 0
	for i := range q.weights {
		q.weights[i] /= q.unit
		q.total += q.weights[i]
	}
	q.unit = 1
}

// decay returns the weight of an observation of an age, relative to a new one.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

// bucketOf returns the bucket of a time; times out of range are counted in the nearest bucket.
func bucketOf(took time.Duration) int {
	if took <= minTime {
		return 0
	}
	i := int(math.Log2(float64(took)/float64(minTime)) * perOctave)
	return min(max(i, 0), buckets-1)
}

// bucketEdge returns the time at a position on the bucket scale; whole numbers are the edges.
func bucketEdge(position float64) time.Duration {
	return time.Duration(float64(minTime) * math.Exp2(position/perOctave))
}
