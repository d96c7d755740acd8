package bbpeer

import (
	"testing"
	"time"

	"google.golang.org/grpc/encoding"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

// add puts encoded messages into the corpus of a fuzz target.
func add(f *testing.F, messages ...any) {
	f.Helper()
	for _, m := range messages {
		data, err := encoding.GetCodec(bblink.CodecName).Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// Whatever another process sends as an exchange, this VM answers or refuses to read it.
func FuzzAnswer(f *testing.F) {
	add(f, Exchange{
		From: testMember("a", 100, 1),
	}, Exchange{
		From:   testMember("a", 100, 1).Brief(),
		States: []uint64{1, 2, 3},
		Wants:  make([]uint64, 500),
		Hints:  []uint64{7},
	}, Exchange{
		From: bbgossip.Member{
			Name:   "b",
			Boot:   -1,
			Peer:   "x",
			Weight: -1,
		},
	})
	conns, cleanup := NewConns()
	defer cleanup()
	f.Fuzz(func(t *testing.T, data []byte) {
		var e Exchange
		if encoding.GetCodec(bblink.CodecName).Unmarshal(data, &e) != nil {
			return
		}
		fleet := NewFleet(testMember("b", 200, 1), nil, testRegions, func() time.Duration { return time.Second }, conns)
		if answer := fleet.Answer(e); len(answer.Members) > maxWants {
			t.Errorf("%d members in an answer, want %d at most", len(answer.Members), maxWants)
		}
	})
}

// Whatever another process sends as an order, it passes the check or is refused.
func FuzzOrder(f *testing.F) {
	add(f, bbjob.Order{
		ID:     "a",
		Stages: []bbjob.Stage{{Pieces: 3}, {After: []int{0}, Pieces: 1}},
	}, bbjob.Order{
		Stages: []bbjob.Stage{{Pieces: -1, After: []int{-1}}},
		Prompt: bbjob.Prompt{
			Tokens: -1,
		},
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		var o bbjob.Order
		if encoding.GetCodec(bblink.CodecName).Unmarshal(data, &o) != nil || o.Check() != nil {
			return
		}
		pieces := 0
		for i, s := range o.Stages {
			pieces += s.Pieces
			for _, before := range s.After {
				if before < 0 || before >= len(o.Stages) || before == i {
					t.Errorf("an order that passed has stage %d after stage %d", i, before)
				}
			}
		}
		if pieces < 0 || pieces > bbjob.MaxStages*bbjob.MaxPieces {
			t.Errorf("an order that passed has %d pieces", pieces)
		}
	})
}
