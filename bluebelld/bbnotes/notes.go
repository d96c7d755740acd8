// Package bbnotes sends progress notes to the coordinators of other VMs in batches.
package bbnotes

import (
	"context"
	"time"

	"bluebellhall/core/bbjob"
)

const (
	// period is how long notes are collected before they are sent.
	period = 80 * time.Millisecond
	// timeout bounds a call with notes.
	timeout = time.Second
	// maxQueued bounds the notes in the queue. Further ones are dropped; the coordinator then ends the
	// requests at their deadlines.
	maxQueued = 4096
)

// addressed is a progress note for the coordinator at an address.
type addressed struct {
	peer string
	note bbjob.Note
}

// Sender collects notes and sends them in batches.
type Sender struct {
	// send sends notes to the VM at an address, lost is called with the error of one that failed.
	send  func(ctx context.Context, peer string, notes []bbjob.Note) error
	lost  func(peer string, notes int, err error)
	queue chan addressed
}

// NewSender returns a sender. It sends nothing before Run is called.
func NewSender(send func(ctx context.Context, peer string, notes []bbjob.Note) error, lost func(peer string, notes int, err error)) *Sender {
	return &Sender{
		send:  send,
		lost:  lost,
		queue: make(chan addressed, maxQueued),
	}
}

// Queue queues a note for the coordinator at an address. It returns false if the queue is full.
func (s *Sender) Queue(peer string, n bbjob.Note) bool {
	select {
	case s.queue <- addressed{
		peer: peer,
		note: n,
	}:
		return true
	default:
		return false
	}
}

// Run sends the notes that are queued until the context ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		var first addressed
		select {
		case <-ctx.Done():
			return
		case first = <-s.queue:
		}
		time.Sleep(period)
		batches := map[string][]bbjob.Note{
			first.peer: {first.note},
		}
		for range len(s.queue) {
			n := <-s.queue
			batches[n.peer] = append(batches[n.peer], n.note)
		}
		for peer, notes := range batches {
			go s.sendBatch(ctx, peer, notes)
		}
	}
}

func (s *Sender) sendBatch(ctx context.Context, peer string, notes []bbjob.Note) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := s.send(ctx, peer, notes); err != nil {
		s.lost(peer, len(notes), err)
	}
}
