// Package bbwindow keeps how many requests one endpoint may have in flight, from what
// its owner sees: reports, completions, signs of a cold turn, and the time since the
// endpoint got this owner.
package bbwindow

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

const (
	// firstBackoff and lastBackoff bound the pause after an endpoint could not be
	// reached; it doubles with each failure.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// slowFactor is how many times the usual time a first token may take.
	slowFactor = 5
	// slowMargin is what it may take more than usual in any case.
	slowMargin = 250 * time.Millisecond
	// slowSamples is how many calls must have been seen before slowness is judged.
	slowSamples = 8
	// averageShare is the inverse of the weight of a new sample in an average.
	averageDivisor = 8
)

// Settings holds what all windows of an owner share.
type Settings struct {
	// SettleTime is how long a new owner gives a cold endpoint nothing.
	SettleTime time.Duration
	// FreshReport is the lag up to which a report of a warm endpoint opens the window
	// wholly at once.
	MaxFreshLag time.Duration
	// WarmCompletions is how many requests an endpoint without reports must complete
	// before its window grows.
	WarmCompletions int
}

// Window is the state of one endpoint at its owner.
type Window struct {
	// WarmSlots and ColdSlots are what it carries; Reports is true when it reports.
	WarmSlots int
	ColdSlots int
	Reports   bool
	// State is unknown, cold, warming or warm.
	State bbmsg.EndpointState
	// Size is how many requests it may have while warming or warm, at most WarmSlots.
	Size int
	// Probing is true while a cold endpoint gets one request only.
	Probing bool
	// Suspected is true when the cold turn was concluded from slowness alone.
	Suspected bool
	// ColdSince is the time of the latest sign of a cold turn.
	ColdSince time.Duration
	// Completions counts the requests that were sent after ColdSince and completed.
	Completions int
	// Boot is the newest boot number reported, 0 if none; FormerBoot the one before.
	Boot       uint64
	FormerBoot uint64
	// Measured is when the latest report was true.
	MeasuredAt time.Duration
	// Model is the loaded model as reported.
	Model string
	// SettledAt is when a former owner no longer starts calls while it is cold, and
	// CarryUntil, no earlier, when those that it had started have ended.
	SettledAt        time.Duration
	FormerCallsUntil time.Duration
	// Foreign is the number of calls of a former owner; Known is true when it was
	// learned from after SettledAt. Both matter until CarryUntil.
	FormerCalls      int
	FormerCallsKnown bool
	// RetryAt is when it may be tried again after it could not be reached, and
	// Failures counts the tries that could not reach it in a row.
	RetryAt  time.Duration
	Failures int
	// FirstTime is the moving average of the time to the first token (engines) or to
	// the answer, and ServiceTime that of the whole call; Samples counts the former.
	FirstTime   time.Duration
	ServiceTime time.Duration
	Samples     int
	// Tell is called for each change of state and each cold turn. It may be nil.
	Notify func(number bbevent.Number, detail string)
}

// Gain starts the window anew at a new owner. carry bounds the time that a call of the
// former owner may still run after the settling time.
func (w *Window) StartOwnership(now time.Duration, s Settings, carry time.Duration) {
	w.reset(now)
	w.AwaitFormerCalls(now, s, carry)
	w.RetryAt = 0
	w.Failures = 0
}

// Wait starts the time for the calls of a former owner anew.
func (w *Window) AwaitFormerCalls(now time.Duration, s Settings, carry time.Duration) {
	w.SettledAt = now + s.SettleTime
	w.FormerCallsUntil = w.SettledAt + carry
	w.FormerCallsKnown = false
	w.FormerCalls = 0
}

func (w *Window) reset(now time.Duration) {
	w.State = bbmsg.StateUnknown
	w.ColdSince = now
	w.Probing = false
	w.Suspected = false
	w.Completions = 0
	w.Boot = 0
	w.FormerBoot = 0
	w.Samples = 0
}

// Restart makes the endpoint cold, as after a time in which it got no work.
func (w *Window) Restart(now time.Duration) {
	w.reset(now)
	w.setState(bbmsg.StateCold, "")
}

// Cold returns true while the endpoint carries only its cold slots.
func (w *Window) Cold() bool {
	return w.State == bbmsg.StateCold || w.State == bbmsg.StateUnknown
}

// Limit returns how many requests the endpoint may have in flight now. mayUseCold is
// whether its owner may use cold endpoints.
func (w *Window) Limit(now time.Duration, mayUseCold bool) int {
	if now < w.RetryAt {
		return 0
	}
	if w.Cold() {
		return w.coldLimit(now, mayUseCold)
	}
	size := w.Size
	if now < w.SettledAt {
		size = min(size, max(w.ColdSlots, w.WarmSlots/2))
	}
	if now < w.FormerCallsUntil {
		size = max(size-w.FormerCalls, 0)
	}
	return size
}

// coldLimit returns the window of a cold endpoint. Until the calls of a former owner
// have ended, they count, and one slot stays free for a call that the former owner
// had in its hands when it was paused, if there is more than one slot.
func (w *Window) coldLimit(now time.Duration, mayUseCold bool) int {
	if !mayUseCold {
		return 0
	}
	slots := w.ColdSlots
	if now < w.FormerCallsUntil {
		if !w.FormerCallsKnown {
			return 0
		}
		slots = max(slots-1, 1) - w.FormerCalls
	}
	if w.Probing {
		slots = min(slots, 1)
	}
	return max(slots, 0)
}

// Hint takes in what the former owner told of the endpoint some time ago. It opens a warm
// endpoint only, as a report of that age would: there may be calls of owners before it,
// or of a later moment.
func (w *Window) Hint(now time.Duration, s Settings, d bbmsg.EndpointDigest, age time.Duration) {
	if now >= w.FormerCallsUntil {
		return
	}
	if !w.FormerCallsKnown {
		w.FormerCalls = d.InFlight
	}
	if w.State == bbmsg.StateUnknown && d.State == bbmsg.StateWarm {
		w.endColdStart(age <= s.MaxFreshLag)
	}
}

// Report takes in a load report. own returns how many calls of this owner that were
// sent up to a time are still running. The owner's own count leads; the report tells
// of a cold turn, of the end of a cold start and of calls of a former owner.
func (w *Window) Report(now time.Duration, s Settings, r bbmsg.LoadReport, own func(sent time.Duration) int) {
	if r.Boot == w.FormerBoot && r.Boot != 0 {
		return
	}
	w.Model = r.Model
	measured := now - time.Duration(r.LagMillis)*time.Millisecond
	if w.Boot != 0 && r.Boot != w.Boot {
		w.FormerBoot = w.Boot
		w.MarkCold(measured, true, "new boot")
	}
	w.Boot = r.Boot
	w.MeasuredAt = max(w.MeasuredAt, measured)
	if measured < w.FormerCallsUntil {
		w.FormerCalls = max(r.Running+r.Waiting-own(measured), 0)
		w.FormerCallsKnown = measured >= w.SettledAt
	}
	switch {
	case r.Cold:
		w.MarkCold(measured, true, "reports cold")
	case w.State == bbmsg.StateUnknown:
		w.endColdStart(now-measured <= s.MaxFreshLag)
	case w.State == bbmsg.StateCold && measured > w.ColdSince:
		w.endColdStart(false)
	case w.State == bbmsg.StateWarm && r.Waiting >= w.WarmSlots:
		w.MarkCold(now, false, "requests wait at the endpoint")
	}
}

// open ends a cold start: with the whole window, or starting at the cold slots.
func (w *Window) endColdStart(whole bool) {
	w.Probing = false
	w.Suspected = false
	if whole {
		w.Size = w.WarmSlots
		w.setState(bbmsg.StateWarm, "")
		return
	}
	w.Size = w.ColdSlots
	w.setState(bbmsg.StateWarming, "")
}

// TurnCold notes a sign, true of the time given, that the endpoint is cold. certain is
// false when it was concluded from slowness alone. A warm endpoint gets one request at
// a time until one that was sent later has come back.
func (w *Window) MarkCold(at time.Duration, certain bool, detail string) {
	w.ColdSince = max(w.ColdSince, at)
	w.Completions = 0
	if !w.Cold() {
		w.Suspected = true
		w.Probing = true
		w.notify(bbevent.EndpointColdTurn, detail)
	}
	if certain {
		w.Suspected = false
	}
	w.setState(bbmsg.StateCold, detail)
}

// Unreachable notes that no connection could be made and returns when to come back.
func (w *Window) Unreachable(now time.Duration) time.Duration {
	backoff := min(firstBackoff<<min(w.Failures, 8), lastBackoff)
	w.Failures++
	w.RetryAt = now + backoff
	w.MarkCold(now, true, "unreachable")
	return backoff
}

// Refused notes that the endpoint rejected a request as cold; it gets nothing for the
// pause given.
func (w *Window) RejectedCold(now, pause time.Duration) {
	w.MarkCold(now, true, "rejected as cold")
	w.RetryAt = now + pause
}

// Full notes that the endpoint rejected a request while it had others running.
func (w *Window) RejectedFull(running int) {
	if w.Cold() {
		return
	}
	w.Size = min(max(w.ColdSlots, running), w.WarmSlots)
	w.setState(bbmsg.StateWarming, "full")
}

// Completed counts a request that completed. A window grows by one with each.
func (w *Window) RecordCompletion(now, sent time.Duration, s Settings) {
	w.ServiceTime = average(w.ServiceTime, now-sent)
	if sent < w.ColdSince {
		return
	}
	w.Completions++
	if w.State == bbmsg.StateWarming {
		w.grow()
	}
	if !w.Cold() {
		return
	}
	w.setState(bbmsg.StateCold, "")
	w.Probing = false
	cleared := w.Suspected && now-sent <= w.ServiceTime+slowMargin
	if cleared || !w.Reports && w.Completions >= s.WarmCompletions {
		w.endColdStart(false)
	}
}

func (w *Window) grow() {
	w.Size++
	if w.Size < w.WarmSlots {
		return
	}
	w.Size = w.WarmSlots
	w.setState(bbmsg.StateWarm, "")
}

// First takes in the time to the first token of a call.
func (w *Window) RecordFirstToken(now, sent time.Duration) {
	first := now - sent
	if w.CanJudgeSlowness() && first > w.SlowThreshold() {
		w.MarkCold(now, false, "first token was late")
		return
	}
	if !w.Cold() {
		w.FirstTime = average(w.FirstTime, first)
		w.Samples++
	}
}

// JudgesSlowness returns true when enough calls were seen on a warm endpoint.
func (w *Window) CanJudgeSlowness() bool {
	return w.State == bbmsg.StateWarm && w.Samples >= slowSamples
}

// Slow returns the time to the first token from which an endpoint seems cold.
func (w *Window) SlowThreshold() time.Duration {
	return max(slowFactor*w.FirstTime, w.FirstTime+slowMargin)
}

func (w *Window) setState(state bbmsg.EndpointState, detail string) {
	if w.State == state {
		return
	}
	w.State = state
	if detail != "" {
		detail = ", " + detail
	}
	w.notify(bbevent.EndpointState, string(state)+detail)
}

func (w *Window) notify(number bbevent.Number, detail string) {
	if w.Notify != nil {
		w.Notify(number, detail)
	}
}

// average returns a moving average after a new sample.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/averageDivisor
}
