package bbgateway

import (
	"net/http"
	"strings"
	"testing"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbspeed"
)

// Reports of plain endpoints must decide where machines are shared, and change nothing in other deployments.
func TestReportedSpeedOfPlainEndpoints(t *testing.T) {
	const requests = 6
	for name, test := range map[string]struct {
		mode    bbfeature.Mode
		shared  bool
		ignored bool
	}{
		"auto, shared":     {bbfeature.ModeAuto, true, false},
		"auto, not shared": {bbfeature.ModeAuto, false, true},
		"off":              {bbfeature.ModeOff, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			slow := newStubEndpoint(t, strings.Replace(answerOK, "\r\n", "\r\nSlow: yes\r\n", 1))
			f, url := newFixture(t, slow, newStubEndpoint(t, answerOK))
			f.gateway.codec.Read = func(id string, a *bbchannel.Answer) bbcodec.AnswerInfo {
				r := testCodec.Read(id, a)
				if a.Header.Get("Slow") != "" {
					r.Signal.Load = bbspeed.Report{Running: 1, Places: 6, Slowness: 20, Valid: true}
				}
				return r
			}
			f.gateway.hooks.EndpointSpeed = test.mode
			f.gateway.hooks.SharedMachines = func() bool { return test.shared }
			f.gateway.chooser.IntN = func(int) int { return 0 }
			for range requests {
				wantAnswer(t, url+"/once/", http.StatusOK, "done")
			}
			if test.ignored {
				wantRequests(t, f, requests, 0)
				return
			}
			wantRequests(t, f, 1, requests-1)
		})
	}
}
