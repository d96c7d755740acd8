package bbhealth

import (
	"testing"
	"time"
)

func TestBackoff(t *testing.T) {
	var r Record
	r.Observe(0, OutcomeUnreachable)
	if !r.Paused(initialBackoff-1) || r.Paused(initialBackoff) {
		t.Error("the first backoff has another length, want initialBackoff")
	}
	r.Observe(initialBackoff, OutcomeUnreachable)
	if !r.Paused(3*initialBackoff - 1) {
		t.Error("the second backoff is less than twice as long as the first")
	}
	r.Observe(time.Second, OutcomeGood)
	if r.Paused(time.Second) {
		t.Error("paused after a good call, want not")
	}
}

func TestBackoffIsBounded(t *testing.T) {
	var r Record
	now := time.Duration(0)
	for range 40 {
		r.Observe(now, OutcomeUnreachable)
		now += maxBackoff
	}
	if r.Paused(now + maxBackoff) {
		t.Error("paused for longer than maxBackoff")
	}
}

func TestFailuresDecay(t *testing.T) {
	var r Record
	for range 5 {
		r.Observe(0, OutcomeBroken)
	}
	if f := r.Failures(0); f < 0.8 {
		t.Errorf("failures %.2f after five broken calls, want at least 0.8", f)
	}
	if f := r.Failures(10 * halfLife); f > 0.01 {
		t.Errorf("failures %.2f ten half-lives later, want about none", f)
	}
}

func TestFullEndpointsDoNotCountAsFailing(t *testing.T) {
	var r Record
	r.Observe(0, OutcomeFull)
	if f := r.Failures(0); f != 0 || r.Paused(0) {
		t.Errorf("failures %.2f, paused %v after a full answer; want neither", f, r.Paused(0))
	}
}
