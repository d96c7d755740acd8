package bbdispatch

import "time"

// bucketWidth is the resolution of a histogram.
const bucketWidth = 250 * time.Millisecond

// histogram counts pieces by time. The zero value is empty.
type histogram struct {
	buckets map[int64]int
	total   int
}

// add adds pieces at a time.
func (h *histogram) add(at time.Duration, pieces int) {
	if h.buckets == nil {
		h.buckets = make(map[int64]int)
	}
	bucket := int64(at / bucketWidth)
	h.total += pieces
	if h.buckets[bucket] += pieces; h.buckets[bucket] == 0 {
		delete(h.buckets, bucket)
	}
}

// upTo counts the pieces up to a time, as exactly as the width of the buckets. The number of buckets is that of the
// longest deadline.
func (h *histogram) upTo(at time.Duration) int {
	n := 0
	for bucket, pieces := range h.buckets {
		if bucket <= int64(at/bucketWidth) {
			n += pieces
		}
	}
	return n
}
