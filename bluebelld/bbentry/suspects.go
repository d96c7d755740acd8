package bbentry

import (
	"context"
	"strconv"
	"time"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbquarantine"
	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbsuspect"
)

const (
	// maxChecks bounds the connection checks in progress of endpoints that timed out; further ones are
	// skipped.
	maxChecks = 16
	// checkTimeout bounds one check.
	checkTimeout = time.Second
)

// runFailed handles a run that ended without a complete answer. If the connection broke, the endpoint counts
// as lost. If the request timed out, it counts as lost only if it accepts no connections any more.
func (e *Entry) runFailed(b bbrecord.FailedRun) {
	e.log.Event(bbevent.RunBroke).Str("id", b.ID).Str("content", formatContent(b.Content)).Str("endpoint", b.Endpoint).
		Dur("ran", b.Duration).Bool("silent", b.TimedOut).Bool("begun", b.AnswerStarted).Dur("sinceFirstEvent", b.SinceFirstEvent).
		Strs("parts", formatParts(b.Parts)).Str("cause", b.Cause.Error()).Send()
	e.meter.Count("requests", "runsBroken")
	if b.Answered {
		return
	}
	now := e.now()
	lost := bbquarantine.Lost{
		Run: bbsuspect.Run{
			ID:       bbsuspect.RunID(b.ID, b.Endpoint),
			Endpoint: b.Endpoint,
			Began:    now - b.Duration,
			Ended:    now,
		},
		Content:         b.Content,
		Parts:           b.Parts,
		SinceFirstEvent: b.SinceFirstEvent,
	}
	if !b.TimedOut {
		e.quarantines.RecordLoss(lost)
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
			e.quarantines.RecordLoss(lost)
		}
	}()
}

// verdictChanged logs and counts a changed verdict on content.
func (e *Entry) verdictChanged(content uint64, former, present bbsuspect.Verdict) {
	e.meter.Count("suspects", "judged", present.String())
	if max(former, present) < bbsuspect.Alone {
		// All requests that ran on a lost endpoint get here; runFailed has logged each of them.
		return
	}
	e.log.Event(bbevent.ContentJudged).Str("content", formatContent(content)).Str("former", former.String()).Str("detail", present.String()).Send()
}

// partVerdictChanged logs and counts that a part of prompts is refused, or no longer.
func (e *Entry) partVerdictChanged(part uint64, former, present bbsuspect.Verdict) {
	if max(former, present) < bbsuspect.Refused {
		return
	}
	e.meter.Count("suspects", "partsJudged", present.String())
	e.log.Event(bbevent.PartJudged).Str("part", formatContent(part)).Str("former", former.String()).Str("detail", present.String()).Send()
}

// suspectsSendFailed logs that updates about content or parts could not be sent to a VM.
func (e *Entry) suspectsSendFailed(peer string, contents int, err error) {
	e.log.Event(bbevent.SuspectsUntold).Str("peer", peer).Int("contents", contents).Err(err).Send()
}

// formatContent formats a content fingerprint for logs.
func formatContent(content uint64) string {
	return strconv.FormatUint(content, 16)
}

// formatParts formats the fingerprints of parts of a prompt for logs.
func formatParts(parts []uint64) []string {
	list := make([]string, 0, len(parts))
	for _, part := range parts {
		list = append(list, formatContent(part))
	}
	return list
}
