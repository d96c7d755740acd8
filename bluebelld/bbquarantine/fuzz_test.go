package bbquarantine

import (
	"testing"
	"time"

	"google.golang.org/grpc/encoding"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// Whatever another process tells of suspects, what is kept of it is bounded and can be told on.
func FuzzTake(f *testing.F) {
	codec := encoding.GetCodec(bblink.CodecName)
	good := 3 * time.Second
	for _, s := range []bbpeer.Suspects{
		{Suspects: []bbmsg.Suspect{{Fingerprint: 1, Runs: []bbmsg.SuspectRun{{ID: 1, Endpoint: "e", BeganAgo: 2, EndedAgo: 1}}}}},
		{Relayed: true, Suspects: []bbmsg.Suspect{{Fingerprint: 1, Good: &good}, {Runs: []bbmsg.SuspectRun{{BeganAgo: -1, EndedAgo: 1 << 62}}}}},
	} {
		data, err := codec.Marshal(&s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s bbpeer.Suspects
		if codec.Unmarshal(data, &s) != nil {
			return
		}
		q := New(Hooks{
			Now:            func() time.Duration { return time.Hour },
			Aggregators:    func(uint64) []bbgossip.Member { return []bbgossip.Member{{Name: "k"}} },
			Relays:         func(bool) []bbgossip.Member { return []bbgossip.Member{{Name: "r"}} },
			VerdictChanged: func(uint64, bbsuspect.Verdict, bbsuspect.Verdict) {},
		})
		q.Merge(s)
		q.Merge(s)
		if watched, _ := q.Counts(); watched > maxBatch {
			t.Errorf("%d contents of one message are watched", watched)
		}
		for _, m := range q.collect() {
			for fingerprint := range m.contents {
				if told := q.table.Snapshot(time.Hour, fingerprint); len(told.Runs) > 8 {
					t.Errorf("%d runs of a content are told on", len(told.Runs))
				}
			}
		}
	})
}
