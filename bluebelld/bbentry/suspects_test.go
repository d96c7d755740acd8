package bbentry

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bbgateway"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbmeter"
	"bluebellhall/bluebelld/bbquarantine"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbsuspect"
)

// newQuarantineEntry returns a VM that knows no other and decides on contents only.
func newQuarantineEntry() *Entry {
	e := &Entry{
		log: bblog.Logger{
			Lines: zerolog.Nop(),
		},
		meter:  bbmeter.NewMeter(),
		began:  time.Now(),
		checks: make(chan struct{}, maxChecks),
	}
	e.quarantine = bbquarantine.New(bbquarantine.Hooks{
		Now:            e.now,
		Aggregators:    func(uint64) []bbgossip.Member { return nil },
		Relays:         func(bool) []bbgossip.Member { return nil },
		VerdictChanged: e.verdictChanged,
	})
	return e
}

// breakRun lets a run of content 1 end at an address, and waits for the checks to be done.
func failRun(e *Entry, address string, silent bool) {
	e.runFailed(bbgateway.FailedRun{
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

// An endpoint that fell silent under a request and was gone counted as busy.
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
		{"silent and there", true, false, bbsuspect.Clear},
		{"broken off and there", false, false, bbsuspect.Watched},
		{"silent and gone", true, true, bbsuspect.Watched},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.gone {
				l.Close()
			}
			e := newQuarantineEntry()
			failRun(e, l.Addr().String(), test.silent)
			if got := e.quarantine.Verdict(1); got != test.want {
				t.Errorf("verdict %v, want %v", got, test.want)
			}
		})
	}
}
