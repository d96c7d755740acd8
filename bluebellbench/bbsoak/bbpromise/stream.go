package bbpromise

import (
	"net/http"
	"slices"
	"time"

	"bluebellhall/platform/bbstand"
)

const (
	// While minServingEngines of its version serve, a stream that a caller takes up must go on at least
	// minContinuedShare as often as new streams begin. Fewer than minTakenUp attempts aren't compared.
	minServingEngines = 2
	minContinuedShare = 0.5
	minTakenUp        = 12
)

// Serving is an interval in which an engine accepts requests with one version of its software.
type Serving struct {
	Interval
	Version, Zone string
}

// Streams counts resumable streams.
type Streams struct {
	// Began is the number of streams that began, Continued that of those with several runs, Mixed that of those with
	// events of several versions of the software.
	Began, Continued, Mixed int
	// TakenUp is the number of attempts that took a stream up at an undisturbed VM while enough engines of its version
	// served, WentOn that of those that received events.
	TakenUp, WentOn int
}

// stream is a resumable stream over all attempts of its caller.
type stream struct {
	// attempts is the number of attempts that received events, runs that of their runs, events that of the events
	// received.
	attempts, runs, events int
	// versions are those of the engines that wrote the events, each once.
	versions []string
}

// countEvents returns the number of complete events that an attempt received on a resumable route.
func countEvents(t Try) int {
	if !t.Request.Route.Resumable || t.Reply.Status != http.StatusOK {
		return 0
	}
	return bbstand.CountEvents(t.Reply.Body)
}

// streams returns the streams with events by the ID of the attempt that received the first one, and checks that
// attempts go on without a gap.
func (c *checker) streams() map[string]*stream {
	tries := slices.DeleteFunc(slices.Clone(c.Tries), func(t Try) bool { return countEvents(t) == 0 })
	slices.SortFunc(tries, func(a, b Try) int { return a.Sent.Compare(b.Sent) })
	streams := make(map[string]*stream)
	for _, t := range tries {
		id := t.Request.StreamID()
		s := streams[id]
		if s == nil {
			s = &stream{}
			streams[id] = s
		}
		if t.Request.LastEvent != s.events {
			c.addViolation("%s takes %s up after event %d, it has %d", t.Request.ID, id, t.Request.LastEvent, s.events)
		}
		s.attempts++
		s.runs += len(c.Ledger.Runs(t.Request.ID))
		s.events += countEvents(t)
		versions, _ := bbstand.Versions(t.Reply.Body)
		for _, v := range versions {
			if !slices.Contains(s.versions, v) {
				s.versions = append(s.versions, v)
			}
		}
	}
	return streams
}

// checkStreams checks that all events of a stream were written by engines of one version of the software, within
// one answer and over all attempts of the caller, and that streams which callers take up go on.
func (c *checker) checkStreams() Streams {
	streams := c.streams()
	n := Streams{
		Began: len(streams),
	}
	for id, s := range streams {
		if s.runs > 1 {
			n.Continued++
		}
		if len(s.versions) > 1 {
			n.Mixed++
			c.addViolation("stream %s, received in %d attempts, has events of the versions %v", id, s.attempts, s.versions)
		}
	}
	n.TakenUp, n.WentOn = c.checkTakenUp(streams)
	return n
}

// checkTakenUp checks that streams which callers take up at undisturbed VMs go on about as often as new ones begin. It
// returns the number of such attempts, and of those that went on.
func (c *checker) checkTakenUp(streams map[string]*stream) (takenUp, wentOn int) {
	sent, began := 0, 0
	for _, t := range c.Tries {
		q := t.Request
		if !q.Route.Resumable || q.CrashService != "" || q.CrashPart != "" || c.disturbedVM(t.VM, t.Sent) || c.disturbedVM(t.VM, t.Ended) {
			continue
		}
		received := min(countEvents(t), 1)
		if q.Resumes == "" {
			sent++
			began += received
		} else if s := streams[q.Resumes]; s != nil && c.countServing(s.versions[0], t.Sent, t.Ended) >= minServingEngines {
			takenUp++
			wentOn += received
		}
	}
	// The shares are compared without a division, since nothing may have been sent.
	if takenUp >= minTakenUp && float64(wentOn*sent) < minContinuedShare*float64(began*takenUp) {
		c.addViolation("%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, takenUp, began, sent)
	}
	return takenUp, wentOn
}

// countServing returns the number of engines of a version that served for a whole interval, in failure domains that
// weren't evacuated.
func (c *checker) countServing(version string, from, until time.Time) int {
	n := 0
	for _, s := range c.Engines {
		evacuated := slices.ContainsFunc(c.Evacuated[s.Zone], func(i Interval) bool {
			return i.From.Before(until) && (i.Until.IsZero() || i.Until.After(from))
		})
		if s.Version == version && !evacuated && s.From.Before(from) && (s.Until.IsZero() || s.Until.After(until)) {
			n++
		}
	}
	return n
}
