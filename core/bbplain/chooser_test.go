package bbplain

import (
	"math/rand/v2"
	"testing"
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

var (
	endpoints = []Endpoint{
		{ID: "near", Zone: "z1", Region: "r1"},
		{ID: "far", Zone: "z2", Region: "r2"},
	}
	here = Location{Zone: "z1", Region: "r1"}
)

func wantChoice(t *testing.T, c *Chooser, now time.Duration, avoid map[string]bool, want string) {
	t.Helper()
	got, ok := c.Choose(now, endpoints, here, avoid)
	if (want != "") != ok || got.ID != want {
		t.Errorf("choice is %q, %v; want %q", got.ID, ok, want)
	}
}

func TestNearestFirst(t *testing.T) {
	wantChoice(t, NewChooser(), 0, nil, "near")
}

func TestBusyEndpointIsAvoided(t *testing.T) {
	c := NewChooser()
	for range 3 {
		wantChoice(t, c, 0, nil, "near")
	}
	wantChoice(t, c, 0, nil, "far")
	c.Done(0, "near", bbhealth.OutcomeGood)
	wantChoice(t, c, 0, nil, "near")
}

func TestUnreachableAndAvoided(t *testing.T) {
	c := NewChooser()
	wantChoice(t, c, 0, nil, "near")
	c.Done(0, "near", bbhealth.OutcomeUnreachable)
	wantChoice(t, c, 1, nil, "far")
	wantChoice(t, c, 1, map[string]bool{"far": true}, "")
}

func TestFullEndpointComesLastForAWhile(t *testing.T) {
	c := NewChooser()
	wantChoice(t, c, 0, nil, "near")
	c.Done(0, "near", bbhealth.OutcomeFull)
	wantChoice(t, c, 1, nil, "far")
	c.Done(1, "far", bbhealth.OutcomeGood)
	wantChoice(t, c, fullPenalty, nil, "near")
}

// twins are equal endpoints next to the VM.
var twins = []Endpoint{
	{ID: "a", Zone: "z1", Region: "r1"},
	{ID: "b", Zone: "z1", Region: "r1"},
}

// answered records an answer of an endpoint with a report.
func answered(c *Chooser, now time.Duration, e Endpoint, took time.Duration, r bbspeed.Report) {
	c.Answered(now, "s", e, Answer{
		Process: bbstanding.Process{ID: e.ID},
		Good:    true,
		Took:    took,
		Load:    r,
	})
}

// wantShare checks how many of 100 requests go to an endpoint.
func wantShare(t *testing.T, c *Chooser, now time.Duration, list []Endpoint, id string, least, most int) {
	t.Helper()
	n := 0
	for range 100 {
		e, ok := c.ChooseMeasured(now, "s", list, here, nil)
		if !ok {
			t.Fatal("no endpoint was chosen")
		}
		if e.ID == id {
			n++
		}
		c.Done(now, e.ID, bbhealth.OutcomeGood)
	}
	if n < least || n > most {
		t.Errorf("%s got %d of 100 requests at %v, want %d to %d", id, n, now, least, most)
	}
}

// seeded returns a chooser with a fixed order of random numbers.
func seeded() *Chooser {
	c := NewChooser()
	c.IntN = rand.New(rand.NewPCG(1, 2)).IntN
	return c
}

// A report must neither be ignored nor keep requests from an endpoint after its spell.
func TestReportsDecideAndFade(t *testing.T) {
	for name, r := range map[string]bbspeed.Report{
		"slow":  {Places: 6, Slowness: 3, Valid: true},
		"queue": {Running: 6, Waiting: 9, Places: 6, Valid: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := seeded()
			wantShare(t, c, 0, twins, "a", 20, 80)
			answered(c, 5*time.Second, twins[0], 0, r)
			wantShare(t, c, 5*time.Second, twins, "a", 0, 0)
			wantShare(t, c, 6*time.Second, twins, "a", 20, 80)
			t.Run("another process", func(t *testing.T) {
				answered(c, 7*time.Second, twins[0], 0, r)
				next := []Endpoint{twins[0], twins[1]}
				next[0].Born = 7
				wantShare(t, c, 7*time.Second, next, "a", 20, 80)
				answered(c, 7*time.Second, next[0], 0, r)
				wantShare(t, c, 7*time.Second, next, "a", 20, 80)
			})
		})
	}
}

// VMs with the same view must not all choose the endpoint that is best by a little.
func TestEqualEndpointsShareRequests(t *testing.T) {
	c := seeded()
	answered(c, 0, twins[0], 50*time.Millisecond, bbspeed.Report{})
	answered(c, 0, twins[1], 55*time.Millisecond, bbspeed.Report{})
	wantShare(t, c, 0, twins, "b", 15, 50)
}

// The distance is measured: another region that answers as fast is as near, whatever the constants say.
func TestMeasuredDistance(t *testing.T) {
	c := seeded()
	wantShare(t, c, 0, endpoints, "far", 0, 0)
	for range 20 {
		for _, e := range endpoints {
			answered(c, 0, e, 50*time.Millisecond, bbspeed.Report{})
		}
	}
	wantShare(t, c, 0, endpoints, "far", 20, 80)
	for range 20 {
		answered(c, 0, endpoints[1], 80*time.Millisecond, bbspeed.Report{})
		answered(c, 0, endpoints[0], 20*time.Millisecond, bbspeed.Report{})
	}
	wantShare(t, c, 0, endpoints, "far", 0, 0)
}
