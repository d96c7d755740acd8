package bbprovenance

import (
	"fmt"
	"testing"
	"time"
)

// observeUntil observes versions of the service s each second in [from, to).
func observeUntil(v *Versions, from, to time.Duration, versions ...string) {
	for now := from; now < to; now += time.Second {
		v.Observe(now, "s", versions)
	}
}

// wantSole checks the sole version of the service s; empty if there should be none.
func wantSole(t *testing.T, v *Versions, now time.Duration, want string) {
	t.Helper()
	if got, ok := v.Sole(now, "s"); got != want || ok != (want != "") {
		t.Errorf("sole version at %s is %q, %t; want %q", now, got, ok, want)
	}
}

func TestSole(t *testing.T) {
	const ttl, later = RecordTTL, 2*RecordTTL - time.Second
	for name, c := range map[string]struct {
		observe func(v *Versions)
		// before is the version just before later, and after just after it.
		before, after string
	}{
		"one version": {func(v *Versions) { observeUntil(v, 0, later, "v1", "v1") }, "v1", "v1"},
		"none":        {func(v *Versions) { observeUntil(v, 0, later) }, "", ""},
		"unstated":    {func(v *Versions) { observeUntil(v, 0, later, "") }, "", ""},
		"unstated beside a stated one": {
			func(v *Versions) { observeUntil(v, 0, later, "v1", "") }, "", "",
		},
		"no endpoints in between": {func(v *Versions) {
			observeUntil(v, 0, ttl/2, "v1")
			observeUntil(v, ttl/2, ttl)
			observeUntil(v, ttl, later, "v1")
		}, "v1", "v1"},
		"another one after no endpoints": {func(v *Versions) {
			observeUntil(v, 0, ttl/2, "v1")
			observeUntil(v, ttl/2, ttl)
			observeUntil(v, ttl, later, "v2")
		}, "", ""},
		"another one for a second": {func(v *Versions) {
			observeUntil(v, 0, ttl-2*time.Second, "v1")
			v.Observe(ttl-2*time.Second, "s", []string{"v1", "v2"})
			observeUntil(v, ttl-time.Second, later, "v1")
		}, "", "v1"},
		"replaced": {func(v *Versions) {
			observeUntil(v, 0, ttl-time.Second, "v1")
			observeUntil(v, ttl-time.Second, later, "v2")
		}, "", "v2"},
		"not observed for a while": {func(v *Versions) {
			observeUntil(v, 0, ttl-2*maxSilence, "v1")
			observeUntil(v, ttl-time.Second, later, "v1")
		}, "", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVersions()
			c.observe(v)
			wantSole(t, v, later-1, c.before)
			wantSole(t, v, later+time.Millisecond, c.after)
			wantSole(t, v, later+2*maxSilence, "")
		})
	}
}

// Services that are no longer observed make way for others.
func TestServicesAreBounded(t *testing.T) {
	v := NewVersions()
	for i := range maxServices + 1 {
		v.Observe(0, fmt.Sprint(i), []string{"v1"})
	}
	if len(v.services) != maxServices {
		t.Errorf("%d services, want %d", len(v.services), maxServices)
	}
	observeUntil(v, 2*maxSilence, 2*maxSilence+RecordTTL+time.Second, "v1")
	wantSole(t, v, 2*maxSilence+RecordTTL, "v1")
}
