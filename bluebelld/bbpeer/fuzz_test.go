package bbpeer

import (
	"testing"

	"google.golang.org/grpc/encoding"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/core/bbjob"
)

// add adds encoded messages to the corpus of a fuzz target.
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

// Whatever another process sends as an order either passes the check with valid stages or is refused.
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
