package bbmembership

import (
	"testing"
	"time"

	"google.golang.org/grpc/encoding"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
)

// Whatever another process sends as an exchange is answered within bounds or fails to decode.
func FuzzAnswer(f *testing.F) {
	codec := encoding.GetCodec(bblink.CodecName)
	for _, e := range []bbpeer.Exchange{
		{From: testMember("a", 100, 1)},
		{From: testMember("a", 100, 1).Brief(), States: []uint64{1, 2, 3}, Wants: make([]uint64, 500), Hints: []uint64{7}},
		{From: bbgossip.Member{Name: "b", Boot: -1, Peer: "x", Weight: -1}},
	} {
		data, err := codec.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	conns, cleanup := bbpeer.NewConns()
	defer cleanup()
	f.Fuzz(func(t *testing.T, data []byte) {
		var e bbpeer.Exchange
		if codec.Unmarshal(data, &e) != nil {
			return
		}
		fleet := NewFleet(testMember("b", 200, 1), nil, testRegions, func() time.Duration { return time.Second }, conns)
		if answer := fleet.Answer(e); len(answer.Members) > maxWants {
			t.Errorf("%d members in an answer, want %d at most", len(answer.Members), maxWants)
		}
	})
}
