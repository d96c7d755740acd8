package bbpromise

import (
	"net/http"
	"slices"

	"bluebellhall/platform/bbstand"
)

// stream is a resumable stream over all attempts of its caller.
type stream struct {
	// attempts is the number of attempts that received events, runs that of their runs, events that of the events
	// received.
	attempts, runs, events int
	// versions are those of the engines that wrote the events, each once.
	versions []string
}

// checkStreams checks that all events of a stream were written by engines of one version of the software, within
// one answer and over all attempts of the caller, and that the attempts go on without a gap. It returns the number of
// streams that began, of those with several runs, and of those with several versions.
func (c *checker) checkStreams() (began, continued, mixed int) {
	tries := slices.DeleteFunc(slices.Clone(c.Tries), func(t Try) bool {
		return !t.Request.Route.Resumable || t.Reply.Status != http.StatusOK || bbstand.CountEvents(t.Reply.Body) == 0
	})
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
		s.events += bbstand.CountEvents(t.Reply.Body)
		versions, _ := bbstand.Versions(t.Reply.Body)
		for _, v := range versions {
			if !slices.Contains(s.versions, v) {
				s.versions = append(s.versions, v)
			}
		}
	}
	for id, s := range streams {
		if s.runs > 1 {
			continued++
		}
		if len(s.versions) > 1 {
			mixed++
			c.addViolation("stream %s, received in %d attempts, has events of the versions %v", id, s.attempts, s.versions)
		}
	}
	return len(streams), continued, mixed
}
