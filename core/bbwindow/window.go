// Package bbwindow implements the concurrency window of an endpoint: how many requests
// the endpoint may have in flight, derived from what its owner observes, which are load
// reports, completions, signs that the endpoint is cold, and the time since it got this
// owner.
package bbwindow

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

const (
	// firstBackoff and lastBackoff bound the backoff after an endpoint could not be
	// reached; it doubles with each failure.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// slowFactor is the multiple of the average time to first token that is still not slow.
	slowFactor = 5
	// slowMargin is added to the average; up to the sum a time is never slow.
	slowMargin = 250 * time.Millisecond
	// slowSamples is how many samples are needed before slowness is judged.
	slowSamples = 8
	// averageDivisor is the inverse of the weight of a new sample in a moving average.
	averageDivisor = 8
)

// Settings holds the settings that all windows of an owner share.
type Settings struct {
	// SettleTime is how long a new owner sends no requests to a cold endpoint.
	SettleTime time.Duration
	// MaxFreshLag is the largest lag of a load report of a warm endpoint that opens the
	// full window at once.
	MaxFreshLag time.Duration
	// WarmCompletions is how many requests an endpoint without reports must complete
	// before its window grows.
	WarmCompletions int
}

// Window is the state of one endpoint at its owner that decides the endpoint's concurrency.
type Window struct {
	// WarmSlots and ColdSlots are the requests that the endpoint can run at once when warm
	// and when cold; Reports is true when it sends load reports.
	WarmSlots int
	ColdSlots int
	Reports   bool
	// State is unknown, cold, warming or warm.
	State bbmsg.EndpointState
	// Size is the window while warming or warm, at most WarmSlots.
	Size int
	// Probing is true while a cold endpoint gets only one request at a time.
	Probing bool
	// Suspected is true when the endpoint is regarded as cold because of slowness alone.
	Suspected bool
	// ColdSince is the time of the latest sign that the endpoint is cold.
	ColdSince time.Duration
	// Completions counts the requests that were sent after ColdSince and completed.
	Completions int
	// Boot is the newest boot number reported, 0 if none; FormerBoot the one before.
	Boot       uint64
	FormerBoot uint64
	// MeasuredAt is the time at which the latest report was measured.
	MeasuredAt time.Duration
	// Model is the loaded model as reported.
	Model string
	// SettledAt is when a former owner no longer starts calls while the endpoint is cold,
	// and FormerCallsUntil, which is not earlier, when the calls that it had started have
	// ended.
	SettledAt        time.Duration
	FormerCallsUntil time.Duration
	// FormerCalls is the number of calls of a former owner; FormerCallsKnown is true when it
	// was derived from a report measured at SettledAt or later. Both matter until
	// FormerCallsUntil.
	FormerCalls      int
	FormerCallsKnown bool
	// RetryAt is when the endpoint may be tried again after a failed connection or a
	// rejection as cold. Failures counts the consecutive failed connections.
	RetryAt  time.Duration
	Failures int
	// FirstTime is the moving average of the time to the first token (engines) or to
	// the answer, and ServiceTime that of the whole call; Samples counts the former.
	FirstTime   time.Duration
	ServiceTime time.Duration
	Samples     int
	// Notify is called for each change of state and each time a started endpoint turns out
	// to be cold. It may be nil.
	Notify func(number bbevent.Number, detail string)
}

// StartOwnership resets the window for a new owner. callTime bounds the time that a call of
// the former owner may still run after the settling time.
func (w *Window) StartOwnership(now time.Duration, s Settings, callTime time.Duration) {
	w.reset(now)
	w.AwaitFormerCalls(now, s, callTime)
	w.RetryAt = 0
	w.Failures = 0
}

// AwaitFormerCalls restarts the settling time and the wait for calls of a former owner, whose
// calls may run for callTime after it.
func (w *Window) AwaitFormerCalls(now time.Duration, s Settings, callTime time.Duration) {
	w.SettledAt = now + s.SettleTime
	w.FormerCallsUntil = w.SettledAt + callTime
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

// Restart marks the endpoint as cold, as after a time in which it got no work.
func (w *Window) Restart(now time.Duration) {
	w.reset(now)
	w.setState(bbmsg.StateCold, "")
}

// Cold returns true while the endpoint can run only as many requests as it has cold slots.
func (w *Window) Cold() bool {
	return w.State == bbmsg.StateCold || w.State == bbmsg.StateUnknown
}

// Limit returns how many requests the endpoint may have in flight now. mayUseCold is
// whether its owner may use it while it is cold.
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

// coldLimit returns the window of a cold endpoint. Until the calls of a former owner have
// ended, they are subtracted, and if there is more than one slot, one stays reserved for a
// call that the former owner was about to send when its process was paused.
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

// Hint applies a digest that the former owner sent age ago. It opens the window of a warm
// endpoint only, like a report of that age. It can't open a cold one, since its count may
// lack calls of earlier owners, and calls that the former owner started after it.
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

// Report applies a load report. own returns how many calls that this owner had sent up to a
// time are still running. The calls in flight are those that the owner counts; the report
// serves to detect that the endpoint is cold, the end of a cold start and calls of a former
// owner.
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

// endColdStart makes the endpoint warm with the full window, or warming from its cold slots.
func (w *Window) endColdStart(full bool) {
	w.Probing = false
	w.Suspected = false
	if full {
		w.Size = w.WarmSlots
		w.setState(bbmsg.StateWarm, "")
		return
	}
	w.Size = w.ColdSlots
	w.setState(bbmsg.StateWarming, "")
}

// MarkCold records a sign that the endpoint was cold at a time. certain is false when that
// was concluded from slowness alone. An endpoint that was warm or warming then gets one
// request at a time until a request sent after the sign has completed.
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

// Unreachable records that no connection could be made and returns the backoff.
func (w *Window) Unreachable(now time.Duration) time.Duration {
	backoff := min(firstBackoff<<min(w.Failures, 8), lastBackoff)
	w.Failures++
	w.RetryAt = now + backoff
	w.MarkCold(now, true, "unreachable")
	return backoff
}

// RejectedCold records that the endpoint rejected a request because it is cold. It gets no
// requests during the pause.
func (w *Window) RejectedCold(now, pause time.Duration) {
	w.MarkCold(now, true, "rejected as cold")
	w.RetryAt = now + pause
}

// RejectedFull records that the endpoint rejected a request while it had others running. It
// sets the window to their number, within the cold and the warm slots, from where it grows
// again with each completion. A cold endpoint keeps its window.
func (w *Window) RejectedFull(running int) {
	if w.Cold() {
		return
	}
	w.Size = min(max(w.ColdSlots, running), w.WarmSlots)
	w.setState(bbmsg.StateWarming, "full")
}

// RecordCompletion records a completed request. Requests sent before the latest sign that
// the endpoint is cold only count for the average service time. Each other one grows the
// window of a warming endpoint by one. A cold endpoint starts warming after WarmCompletions
// if it sends no reports, or after one that was not slow if it was only suspected to be cold.
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

// RecordFirstToken records the time to the first token of a call.
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

// CanJudgeSlowness returns true when the endpoint is warm and has enough samples.
func (w *Window) CanJudgeSlowness() bool {
	return w.State == bbmsg.StateWarm && w.Samples >= slowSamples
}

// SlowThreshold returns the time to first token above which an endpoint is regarded as cold.
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

// average returns the moving average updated by a sample.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/averageDivisor
}
