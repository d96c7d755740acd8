// Package bbendpoint implements the part that all fake endpoints share: a loopback server
// whose connections can be reset or made unresponsive, admission with cold and warm slots,
// fault injection, counters, delayed load reports and a list of the requests served. The
// process of an endpoint, its crashes and its restarts are simulated.
package bbendpoint

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Settings.
const (
	// DefaultQueueFactor is the number of queue slots per warm slot.
	DefaultQueueFactor = 4
	// DefaultWarmAfter is the number of completions after which a cold endpoint is warm.
	DefaultWarmAfter = 8
	// ColdFactor is the factor by which a cold endpoint is slower than a warm one.
	ColdFactor = 3.0
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 8 << 20
	// MaxExchanges bounds the list of exchanges; later requests are only counted.
	MaxExchanges = 1 << 18
	// pausePollInterval is how often a request held by a pause checks whether the pause has ended.
	pausePollInterval = 5 * time.Millisecond
	// maxLoadHistory bounds the number of past load states kept for delayed load reports.
	maxLoadHistory = 4096
)

// Settings configure the part of an endpoint that all kinds share.
type Settings struct {
	// Name is the endpoint's name in the rules.
	Name string
	// Address is host:port on loopback; empty picks a free port of 127.0.0.1.
	Address string
	// WarmSlots is the number of requests that a warm endpoint runs at once, at least 1.
	WarmSlots int
	// ColdSlots is the number of requests that a cold endpoint can hold, from 1 to WarmSlots;
	// one more crashes it.
	ColdSlots int
	// QueueSlots is the length of the queue when warm; 0 means DefaultQueueFactor times WarmSlots.
	QueueSlots int
	// WarmAfter is the number of completions after which a cold endpoint is warm; 0 means DefaultWarmAfter.
	WarmAfter int
	// WarmTime is the time since process start after which a cold endpoint is warm; 0 disables this.
	WarmTime time.Duration
	// StartWarm makes the endpoint warm from the start.
	StartWarm bool
	// LoadingTime is how long a started process rejects all requests with 503 and Bluebell-Cold.
	LoadingTime time.Duration
	// RestartTime is how long connections are refused after a crash. With 0 the port stays
	// open and a crash only resets the connections open at that moment.
	RestartTime time.Duration
	// ReportLag is the delay of the load reports: a report shows the load of that long ago.
	ReportLag time.Duration
	// HidesLoad disables load reports.
	HidesLoad bool
	// Seed seeds the random number generator.
	Seed uint64
}

// Validate returns all problems of the settings as one error, or nil.
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

// withDefaults replaces empty and zero fields by their defaults.
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

// Faults is a change of the injected faults. Absent fields change nothing.
type Faults struct {
	// SlowFactor multiplies all service times; 1 is normal.
	SlowFactor *float64 `json:"slowFactor,omitempty"`
	// FailShare is the fraction of the accepted requests that fail with status 500, from 0 to 1.
	FailShare *float64 `json:"failShare,omitempty"`
	// LoseShare is the fraction of the requests that are run and whose connection is then
	// reset before the response, from 0 to 1.
	LoseShare *float64 `json:"loseShare,omitempty"`
	// KillOn makes the endpoint crash on a request whose body contains this text; empty disables it.
	KillOn *string `json:"killOn,omitempty"`
	// Silent makes all currently open connections permanently unresponsive.
	Silent bool `json:"silent,omitempty"`
	// PauseMillis is for how long, from now, requests are accepted but not processed.
	PauseMillis int64 `json:"pauseMillis,omitempty"`
	// Crash resets all connections and restarts the process.
	Crash bool `json:"crash,omitempty"`
	// Cold makes a warm endpoint cold without any signal to its clients.
	Cold bool `json:"cold,omitempty"`
}

// Counts has the counters of an endpoint since its Start.
type Counts struct {
	// Requests counts the accepted requests.
	Requests int64 `json:"requests"`
	// Completed counts the requests that ran to completion.
	Completed int64 `json:"completed"`
	// Rejected counts the rejected requests.
	Rejected int64 `json:"rejected"`
	// OverCold counts the requests that arrived above the cold capacity.
	OverCold int64 `json:"overCold"`
	// OverColdUnwarned is the part of OverCold that the owner could not have avoided: the endpoint
	// had not yet signaled that it is cold, or had done so less than coldSignalRoundTrip before.
	OverColdUnwarned int64 `json:"overColdUnwarned"`
	// Crashes counts the crashes of the process.
	Crashes int64 `json:"crashes"`
	// Boot is the number of the simulated process; each crash increments it.
	Boot uint64 `json:"boot"`
	// PrefixLookups and PrefixHits count the look-ups and hits of an engine's prefix cache.
	PrefixLookups int64 `json:"prefixLookups"`
	PrefixHits    int64 `json:"prefixHits"`
}

// Exchange describes one accepted request.
type Exchange struct {
	// Request, Stage and Attempt are from the request's headers.
	Request string `json:"request"`
	Stage   string `json:"stage"`
	Attempt string `json:"attempt"`
	// At is the time at which it was accepted.
	At time.Time `json:"at"`
	// BytesIn and BytesOut are the sizes of the request and response bodies.
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
	// Done is true if it ran to completion.
	Done bool `json:"done"`
	// OverCold is true for a request above the cold capacity. ColdSignaledAt is then the time at
	// which the endpoint had signaled that it is cold, zero if it had not.
	OverCold       bool      `json:"overCold,omitempty"`
	ColdSignaledAt time.Time `json:"shownAt,omitzero"`
}
