package bbplain

import (
	"testing"
	"time"

	"bluebellhall/core/bbhealth"
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
