package bbscene

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// Spells makes stage workers slow for some time again and again, because other work runs on their machines.
type Spells struct {
	// Share is the fraction of time in which a worker is slow, Length the duration of one spell, and Factor the
	// slowness in it. Without a share, workers have the usual speed.
	Share  float64
	Length time.Duration
	Factor float64
	// Reported is true if each answer states the slowness at its end. Otherwise it states the load only.
	Reported bool
	// Seed selects the times of the spells.
	Seed uint64
}

// spellTimes returns when a worker's spells begin, up to the end of the longest simulation.
func (s Spells) spellTimes(endpoint string) []time.Duration {
	const horizon = 2 * time.Minute
	if s.Share <= 0 {
		return nil
	}
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(endpoint))
	random := rand.New(rand.NewPCG(s.Seed, h.Sum64()))
	gap := float64(s.Length) * (1 - s.Share) / s.Share
	var list []time.Duration
	for at := time.Duration(random.ExpFloat64() * gap); at < horizon; at += s.Length + time.Duration(random.ExpFloat64()*gap) {
		list = append(list, at)
	}
	return list
}

// slowness returns the slowness of a worker's machine and until when it stays so; 0 for ever.
func (s *Scene) slowness(w *worker) (factor float64, until time.Duration) {
	return s.slownessAt(w, s.Now)
}

func (s *Scene) slownessAt(w *worker, at time.Duration) (factor float64, until time.Duration) {
	next, _ := slices.BinarySearch(w.spells, at+1)
	if next > 0 && at < w.spells[next-1]+s.settings.Spells.Length {
		return s.settings.Spells.Factor, w.spells[next-1] + s.settings.Spells.Length
	}
	if next < len(w.spells) {
		return 1, w.spells[next]
	}
	return 1, 0
}

// workTime returns how long work that begins now takes, if its usual duration is the given one.
func (s *Scene) workTime(w *worker, usual time.Duration) time.Duration {
	left := time.Duration(float64(usual) * w.factor)
	at := s.Now
	for {
		factor, until := s.slownessAt(w, at)
		end := at + time.Duration(float64(left)*factor)
		if until == 0 || end <= until {
			return end - s.Now
		}
		left -= time.Duration(float64(until-at) / factor)
		at = until
	}
}

// report passes what a worker states in the answer on to the coordinator.
func (s *Scene) report(endpoint string, slowness float64) {
	if !s.settings.Spells.Reported {
		slowness = 0
	}
	s.Coordinator.ReportLoad(s.Now, bbstanding.Process{ID: endpoint}, bbspeed.Report{
		Places:   1,
		Slowness: slowness,
		Valid:    true,
	})
}
