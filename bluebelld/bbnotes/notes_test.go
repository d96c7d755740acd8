package bbnotes

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbjob"
)

func TestNotesGoOutInBatches(t *testing.T) {
	batches := make(chan []string, 1)
	lost := make(chan int, 1)
	s := NewSender(func(_ context.Context, peer string, notes []bbjob.Note) error {
		ids := []string{peer}
		for _, n := range notes {
			ids = append(ids, n.ID)
		}
		batches <- ids
		return errors.New("unreachable")
	}, func(_ string, notes int, _ error) { lost <- notes })
	for _, id := range []string{"a", "b"} {
		if !s.Queue("peer", bbjob.Note{ID: id}) {
			t.Errorf("note %s was not queued", id)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	if diff := cmp.Diff([]string{"peer", "a", "b"}, <-batches); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
	if got := <-lost; got != 2 {
		t.Errorf("%d notes were reported as lost, want 2", got)
	}
}

func TestQueueIsBounded(t *testing.T) {
	s := NewSender(nil, nil)
	for range maxQueued {
		s.Queue("peer", bbjob.Note{})
	}
	if s.Queue("peer", bbjob.Note{}) {
		t.Error("a note was queued beyond the bound")
	}
}
