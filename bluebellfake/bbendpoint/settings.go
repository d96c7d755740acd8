// Package bbendpoint holds what all stand-in endpoints share: a loopback server
// whose connections can be reset or silenced, admission with cold and warm slots,
// faults by command, counts, late load reports and a list of the exchanges served.
package bbendpoint

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Settings.
const (
	// DefaultQueueFactor is how many requests wait per warm slot.
	DefaultQueueFactor = 4
	// DefaultWarmAfter is the number of completions after which a cold endpoint is warm.
	DefaultWarmAfter = 8
	// ColdFactor is how much slower a cold endpoint works.
	ColdFactor = 3.0
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 8 << 20
	// MaxExchanges bounds the list of exchanges; later ones are only counted.
	MaxExchanges = 1 << 18
	// pauseLook is how often a paused request looks whether the pause is over.
	pausePollInterval = 5 * time.Millisecond
	// maxStates bounds the history behind late load reports.
	maxLoadHistory = 4096
)

// Settings describe the part of an endpoint that all kinds share.
type Settings struct {
	// Name is the endpoint's name in the rules.
	Name string
	// Address is host:port on loopback; empty picks a free port of 127.0.0.1.
	Address string
	// WarmSlots is how many requests run at once when warm, at least 1.
	WarmSlots int
	// ColdSlots is how many requests it carries at once when cold, from 1 to WarmSlots.
	ColdSlots int
	// QueueSlots is how many requests wait when warm; 0 means DefaultQueueFactor a slot.
	QueueSlots int
	// WarmAfter is the number of completions that end a cold start; 0 means DefaultWarmAfter.
	WarmAfter int
	// WarmTime ends a cold start by itself; 0 means never.
	WarmTime time.Duration
	// StartWarm skips the first cold start.
	StartWarm bool
	// LoadingTime is how long a started process refuses all work with 503 and Bluebell-Cold.
	LoadingTime time.Duration
	// RestartTime is how long connections are refused after a crash; with 0 the
	// port stays open and only the connections of the time of the crash are reset.
	RestartTime time.Duration
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// HidesLoad is true when the endpoint publishes no load reports.
	HidesLoad bool
	// Seed feeds the random choices.
	Seed uint64
}

// Validate returns all that is wrong with the settings as one error, or nil.
func (s Settings) Validate() error {
	var found error
	if s.Name == "" {
		found = errors.CombineErrors(found, errors.New("name: missing"))
	}
	if s.WarmSlots < 1 {
		found = errors.CombineErrors(found, errors.Newf("warmSlots: %d is below 1", s.WarmSlots))
	}
	if s.ColdSlots < 1 || s.ColdSlots > s.WarmSlots {
		found = errors.CombineErrors(found, errors.Newf("coldSlots: %d is not in 1..warmSlots", s.ColdSlots))
	}
	return found
}

// withDefaults fills in the fields that are 0.
func (s Settings) withDefaults() Settings {
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	if s.QueueSlots == 0 {
		s.QueueSlots = DefaultQueueFactor * s.WarmSlots
	}
	if s.WarmAfter == 0 {
		s.WarmAfter = DefaultWarmAfter
	}
	return s
}

// Faults is a change of an endpoint's behaviour. Absent fields change nothing.
type Faults struct {
	// SlowFactor multiplies all working times; 1 is normal.
	SlowFactor *float64 `json:"slowFactor,omitempty"`
	// FailShare is the part of the taken requests that end with status 500, from 0 to 1.
	FailShare *float64 `json:"failShare,omitempty"`
	// LoseShare is the part of the requests that run to their end and whose connection
	// is reset before the answer, from 0 to 1.
	LoseShare *float64 `json:"loseShare,omitempty"`
	// KillOn crashes the endpoint when a body holds it; empty ends that.
	KillOn *string `json:"killOn,omitempty"`
	// Silent makes the connections of now go silent for good.
	Silent bool `json:"silent,omitempty"`
	// PauseMillis is for how long from now requests are accepted and nothing is done.
	PauseMillis int64 `json:"pauseMillis,omitempty"`
	// Crash resets all connections and starts the process anew.
	Crash bool `json:"crash,omitempty"`
	// Cold turns a warm endpoint cold without a sign.
	Cold bool `json:"cold,omitempty"`
}

// Counts is what an endpoint counted since its Start.
type Counts struct {
	// Requests counts the requests taken.
	Requests int64 `json:"requests"`
	// Completed counts the requests that ran to their end.
	Completed int64 `json:"completed"`
	// Rejected counts the requests not taken.
	Rejected int64 `json:"rejected"`
	// OverCold counts the requests taken over the cold capacity.
	OverCold int64 `json:"overCold"`
	// OverColdUnwarned is the part of OverCold from before the endpoint had reported that
	// it is cold, rejected work for it or reset connections, and signTime after that.
	OverColdUnwarned int64 `json:"overColdUnwarned"`
	// Crashes counts the ends of its process.
	Crashes int64 `json:"crashes"`
	// Boot is the number of the running process; it changes with each crash.
	Boot uint64 `json:"boot"`
	// PrefixLookups and PrefixHits count the uses of an engine's prefix cache.
	PrefixLookups int64 `json:"prefixLookups"`
	PrefixHits    int64 `json:"prefixHits"`
}

// Exchange is one request that the endpoint took.
type Exchange struct {
	// Request, Stage and Attempt are from the request's headers.
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt string `json:"attempt"`
	// At is the time of acceptance.
	At time.Time `json:"at"`
	// BytesIn and BytesOut count the bodies.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
	// Done is true when it ran to its end.
	Done bool `json:"done"`
	// OverCold is true for one over the cold capacity, and ShownAt is when the endpoint had
	// shown by then that it is cold; zero if it had not.
	OverCold       bool      `json:"overCold,omitempty"`
	ColdSignaledAt time.Time `json:"shownAt,omitzero"`
}
