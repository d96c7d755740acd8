package bbpool

import "time"

// Group is the pieces of one stage of one request that may be worked on now.
type Group struct {
	// Job is the request's ID, Stage the number of its stage.
	Job   string
	Stage int
	// Left are the numbers of the pieces that are in no call.
	Left []int
	// ResultBytes is the size of one result.
	ResultBytes float64
	// Due says when the work has to begin.
	Due Due
	// Begun is true once other pieces of the same stage are in a call or done. Such groups go
	// first: results of half a stage take room and serve nobody.
	Started bool
	// Watched groups may have ended an endpoint; they share no call with those of other requests
	// that are watched too. Alone groups share no call with other requests at all.
	Watched, Alone bool
	// Limit is when the request is given up.
	Limit time.Duration
	// Zone is where the inputs are or the results are wanted; empty if it doesn't matter.
	Zone string
	// MoveBytes is what goes between failure domains when the work is done elsewhere.
	MoveBytes float64
	// Allowed tells whether an endpoint's failure domain may be used; nil means all.
	Allowed func(zone string) bool
}

// urgency orders groups; the lowest goes first.
func (g *Group) urgency(now time.Duration) time.Duration {
	u := g.Due.Urgency(now)
	if g.Started {
		u -= startedBoost
	}
	return u
}

// apart tells whether pieces of two groups may not be in one call.
func (g *Group) mustSeparate(o *Group) bool {
	return g.Job != o.Job && (g.Alone || o.Alone || g.Watched && o.Watched)
}

// Due says when work has to begin.
type Due struct {
	// StartBy is the latest begin for an answer that is on time, LastStart for one at all.
	StartBy, LastStart time.Duration
	// Rank is added: less urgent requests go later.
	PriorityDelay time.Duration
}

// lateStep is how much later work goes that can't be on time any more: some calls, so that
// it is done once what can be on time doesn't fill the endpoints.
const latePenalty = time.Second

// Urgency orders work; the lowest goes first. Work that can't be on time any more goes after
// the time at which it could not be done at all, so that it doesn't hold up work that can.
func (d Due) Urgency(now time.Duration) time.Duration {
	if d.Late(now) {
		return max(d.LastStart, now) + latePenalty + d.PriorityDelay
	}
	return d.StartBy + d.PriorityDelay
}

// Late tells whether the work can't be on time any more.
func (d Due) Late(now time.Duration) bool {
	return d.StartBy < now
}

// Piece names one piece in a call.
type Piece struct {
	Job   string
	Stage int
	Piece int
}

// ByJob has the numbers of pieces by request and stage.
type ByJob map[string]map[int][]int

// Add adds a piece.
func (b ByJob) Add(p Piece) {
	if b[p.Job] == nil {
		b[p.Job] = make(map[int][]int)
	}
	b[p.Job][p.Stage] = append(b[p.Job][p.Stage], p.Piece)
}
