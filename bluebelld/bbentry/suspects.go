package bbentry

import (
	"context"
	"strconv"
	"time"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbgateway"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbsuspect"
)

const (
	// maxChecks bounds the checks of silent endpoints in progress; more are left out.
	maxChecks = 16
	// checkTimeout bounds one of them.
	checkTimeout = time.Second
)

// runBroke takes in a run without a whole answer.
func (e *Entry) runFailed(b bbgateway.FailedRun) {
	e.log.Event(bbevent.RunBroke).Str("id", b.ID).Str("content", formatContent(b.Content)).Str("endpoint", b.Endpoint).
		Dur("ran", b.Duration).Bool("silent", b.TimedOut).Bool("begun", b.AnswerStarted).Str("cause", b.Cause.Error()).Send()
	e.meter.Count("requests", "runsBroken")
	now := e.now()
	run := bbsuspect.Run{
		ID:       bbsuspect.RunID(b.ID, b.Endpoint),
		Endpoint: b.Endpoint,
		Began:    now - b.Duration,
		Ended:    now,
	}
	if !b.TimedOut {
		e.quarantine.RecordLoss(b.Content, run)
		return
	}
	select {
	case e.checks <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-e.checks }()
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		gone := !bbchannel.AcceptsConnections(ctx, b.Address)
		e.log.Event(bbevent.SilentChecked).Str("id", b.ID).Str("endpoint", b.Endpoint).Bool("gone", gone).Send()
		if gone {
			e.quarantine.RecordLoss(b.Content, run)
		}
	}()
}

// contentJudged notes that content is treated in another way.
func (e *Entry) verdictChanged(content uint64, former, present bbsuspect.Verdict) {
	e.meter.Count("suspects", "judged", present.String())
	if max(former, present) < bbsuspect.Alone {
		// Each request of an endpoint that is lost gets here; runBroke has told of them.
		return
	}
	e.log.Event(bbevent.ContentJudged).Str("content", formatContent(content)).Str("former", former.String()).Str("detail", present.String()).Send()
}

// suspectsUntold notes that a VM could not be told of content.
func (e *Entry) suspectsSendFailed(peer string, contents int, err error) {
	e.log.Event(bbevent.SuspectsUntold).Str("peer", peer).Int("contents", contents).Err(err).Send()
}

// formatContent returns a content as logs show it.
func formatContent(content uint64) string {
	return strconv.FormatUint(content, 16)
}
