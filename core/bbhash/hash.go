// Package bbhash implements rendezvous hashing, by which nodes agree on a choice without
// exchanging messages: every name gets a score for a key, and the highest score wins. A change
// of one name moves only the keys that it won or would win.
package bbhash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Name returns the hash of a name for use with Score.
func Name(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Score returns the rank of a name for a key; the highest wins. The two hashes are
// mixed with the finalizer of SplitMix64.
func Score(name, key uint64) uint64 {
	h := name*0x9e3779b97f4a7c15 + key
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Pick returns the name with the highest score for a key, and false when there
// are no names.
func Pick(names []string, key string) (string, bool) {
	hash := Name(key)
	best := ""
	var bestScore uint64
	for i, name := range names {
		score := Score(Name(name), hash)
		if i == 0 || score > bestScore {
			best = name
			bestScore = score
		}
	}
	return best, len(names) > 0
}

// Content returns the hash of a sequence of parts. The boundaries between the parts are part of
// the hash.
func Content(parts ...[]byte) uint64 {
	d := xxhash.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		// Write of a hash never fails.
		_, _ = d.Write(length[:])
		_, _ = d.Write(part)
	}
	return d.Sum64()
}
