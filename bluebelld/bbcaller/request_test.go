package bbcaller

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

func TestRefusalsShowIDsWithoutSignature(t *testing.T) {
	keys := bbticket.Keys{Current: []byte("key")}
	id := keys.Sign(bbticket.Ticket{Home: "entry-1.north.example", Incarnation: 10, ExpiryMillis: 20}) + ".nonce"
	cases := map[string]string{
		id:          "b1.entry-1.north.example.a.20.nonce",
		"":          "",
		"a secret ": "malformed",
	}
	for id, want := range cases {
		got := refusalOf(bbmsg.Answer{ID: id}).Request
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("id %q (-want +got):\n%s", id, diff)
		}
	}
}
