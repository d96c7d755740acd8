package bbentry

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bbclock"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbmeter"
	"bluebellhall/bluebelld/bbquarantine"
	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbsuspect"
)

// newQuarantineEntry returns a VM that is alone in its fleet and has only what the quarantine needs.
func newQuarantineEntry() *Entry {
	e := &Entry{
		log: bblog.Logger{
			Lines: zerolog.Nop(),
		},
		meter:  bbmeter.NewMeter(),
		began:  bbclock.Now(),
		checks: make(chan struct{}, maxChecks),
	}
	e.quarantines.Contents = bbquarantine.New(bbquarantine.Hooks{
		Now:            e.now,
		Aggregators:    func(uint64) []bbgossip.Member { return nil },
		Relays:         func(bool) []bbgossip.Member { return nil },
		VerdictChanged: e.verdictChanged,
	})
	e.quarantines.Parts = bbquarantine.NewParts(bbquarantine.Hooks{
		Now:            e.now,
		Aggregators:    func(uint64) []bbgossip.Member { return nil },
		Relays:         func(bool) []bbgossip.Member { return nil },
		VerdictChanged: e.partVerdictChanged,
	})
	return e
}

// failRun lets a run of content 1 fail at an address, and waits until the checks are done.
func failRun(e *Entry, address string, silent bool) {
	e.runFailed(bbrecord.FailedRun{
		ID:       "r",
		Content:  1,
		Endpoint: "e1",
		Address:  address,
		Cause:    errors.New("broken"),
		Duration: time.Millisecond,
		TimedOut: silent,
	})
	for range maxChecks {
		e.checks <- struct{}{}
	}
}

// Regression test: an endpoint that was lost while it ran a request, without its connection breaking,
// counted as busy.
func TestSilentEndpointCountsAsLostIfItIsGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name         string
		silent, gone bool
		want         bbsuspect.Verdict
	}{
		{"timeout, accepts connections", true, false, bbsuspect.Clear},
		{"connection broken, accepts connections", false, false, bbsuspect.Watched},
		{"timeout, accepts no connections", true, true, bbsuspect.Watched},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.gone {
				l.Close()
			}
			e := newQuarantineEntry()
			failRun(e, l.Addr().String(), test.silent)
			if got := e.quarantines.Contents.Verdict(1); got != test.want {
				t.Errorf("verdict %v, want %v", got, test.want)
			}
		})
	}
}

// A run counts against the parts of its prompt if it ended with the loss of its engine.
func TestFailedRunsCountAgainstTheirParts(t *testing.T) {
	for name, c := range map[string]struct {
		answered        bool
		sinceFirstEvent time.Duration
		want            bool
	}{
		"engine lost":                       {want: true},
		"engine lost long after it began":   {sinceFirstEvent: time.Minute},
		"engine answered with another head": {answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newQuarantineEntry()
			for _, engine := range []string{"e1", "e2", "e3"} {
				time.Sleep(2 * time.Millisecond)
				e.runFailed(bbrecord.FailedRun{
					ID:              "r of " + engine,
					Endpoint:        engine,
					Cause:           errors.New("broken"),
					Duration:        time.Millisecond,
					Parts:           []uint64{7},
					SinceFirstEvent: c.sinceFirstEvent,
					Answered:        c.answered,
				})
			}
			if got := e.quarantines.Parts.Refuses([]uint64{7}); got != c.want {
				t.Errorf("prompt is refused: %t, want %t", got, c.want)
			}
		})
	}
}
