package bbstream

import "strconv"

// IDs follows the IDs of a stream's events over the runs that the stream is made of. IDs increase; whether one has
// been left out shows only if those before had a constant distance, which the next one then exceeds.
type IDs struct {
	// Last is the ID of the last complete event that had one; empty if none had.
	Last string
	// number is the value of Last if it is a number.
	number   uint64
	isNumber bool
	// step is the distance of the IDs so far; 0 if it is unknown. It isn't constant if irregular is true.
	step      uint64
	irregular bool
	// anonymous is true if the last event had no ID.
	anonymous bool
}

// Resumable reports whether another run can go on after the last event: not if that has no ID by which the run
// could be told where to go on.
func (s *IDs) Resumable() bool {
	return !s.anonymous
}

// add appends an event with the given ID, which is empty if it has none.
func (s *IDs) add(id string) {
	s.anonymous = id == ""
	if s.anonymous {
		return
	}
	number, err := strconv.ParseUint(id, 10, 64)
	step := number - s.number
	switch {
	case err != nil || s.isNumber && number <= s.number:
		s.irregular = true
	case !s.isNumber:
	case s.step == 0:
		s.step = step
	case s.step != step:
		s.irregular = true
	}
	s.Last, s.number, s.isNumber = id, number, err == nil
}

// continues reports whether a run whose first event has the given ID, which is empty if it has none, goes on after the
// last event: it neither repeats an event nor, as far as that can be told, leaves one out. Before the first event with
// an ID, any event does.
func (s *IDs) continues(id string) bool {
	if s.Last == "" {
		return true
	}
	if id == "" || id == s.Last {
		return false
	}
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil || !s.isNumber {
		return true
	}
	leavesOut := s.step > 0 && !s.irregular && number > s.number+s.step
	return number > s.number && !leavesOut
}
