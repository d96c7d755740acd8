package bbjob

import (
	"strings"
	"testing"
)

// Guards against versions of any length in the tables of a coordinator.
func TestVersionIsBounded(t *testing.T) {
	for length, ok := range map[int]bool{0: true, MaxVersionBytes: true, MaxVersionBytes + 1: false} {
		o := Order{
			Version: strings.Repeat("v", length),
		}
		if err := o.Check(); (err == nil) != ok {
			t.Errorf("version of %d bytes: %v, want it accepted: %v", length, err, ok)
		}
	}
}
