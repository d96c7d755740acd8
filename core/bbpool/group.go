package bbpool

import (
	"time"

	"bluebellhall/core/bburgency"
)

// Group is the pieces of one stage of one request whose inputs are ready.
type Group struct {
	// Job is the request's ID, Stage the number of its stage.
	Job   string
	Stage int
	// Left are the numbers of the pieces that are queued and in no call.
	Left []int
	// ResultBytes is the size of one result.
	ResultBytes float64
	// Due says when the work has to start.
	Due bburgency.Due
	// Started is true once other pieces of the same stage are in a call or done. Such groups go first:
	// the results of an incomplete stage take memory and are of no use yet.
	Started bool
	// Watched groups may have crashed an endpoint; they share no call with watched groups of other
	// requests. Alone groups share no call with other requests at all.
	Watched, Alone bool
	// Limit is the deadline of the request.
	Limit time.Duration
	// Zone is the failure domain where the inputs are or the results are needed; empty for no preference.
	Zone string
	// MoveBytes is the data moved between failure domains if the work is done outside Zone.
	MoveBytes float64
	// Allowed reports whether endpoints of a failure domain may be used; nil allows all.
	Allowed func(zone string) bool
}

// urgency returns the sort key of the group; the lowest goes first.
func (g *Group) urgency(now time.Duration) time.Duration {
	u := g.Due.Urgency(now)
	if g.Started {
		u -= startedBoost
	}
	return u
}

// mustSeparate reports whether pieces of the two groups must not share a call.
func (g *Group) mustSeparate(o *Group) bool {
	return g.Job != o.Job && (g.Alone || o.Alone || g.Watched && o.Watched)
}

// Piece identifies one piece in a call.
type Piece struct {
	Job   string
	Stage int
	Piece int
}

// ByJob has piece numbers by request and stage.
type ByJob map[string]map[int][]int

// Add adds a piece.
func (b ByJob) Add(p Piece) {
	if b[p.Job] == nil {
		b[p.Job] = make(map[int][]int)
	}
	b[p.Job][p.Stage] = append(b[p.Job][p.Stage], p.Piece)
}
