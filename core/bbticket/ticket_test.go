package bbticket

import (
	"math"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

var (
	testKeys   = Keys{Current: []byte("new key"), Previous: []byte("old key")}
	testTicket = Ticket{Home: "entry-1.north", Incarnation: 0xfe01, ExpiryMillis: 90_000}
)

func TestSplit(t *testing.T) {
	signed := testKeys.Sign(testTicket)
	old := Keys{Current: testKeys.Previous}.Sign(testTicket)
	other := Keys{Current: []byte("other key")}.Sign(testTicket)
	empty := Keys{}.Sign(testTicket)
	cases := []struct {
		name, id string
		want     error
	}{
		{"current key", signed + ".n-1_A", nil},
		{"previous key", old + ".n-1_A", nil},
		{"other key", other + ".n-1_A", ErrForged},
		{"empty key", empty + ".n-1_A", ErrForged},
		{"changed home", strings.Replace(signed, "entry-1", "entry-2", 1) + ".n", ErrForged},
		{"changed incarnation", strings.Replace(signed, "fe01", "fe02", 1) + ".n", ErrForged},
		{"changed expiry", strings.Replace(signed, "90000", "99000", 1) + ".n", ErrForged},
		{"shortened code", signed[:len(signed)-1] + ".n", ErrForged},
		{"no code", signed[:strings.LastIndexByte(signed, '.')+1] + ".n", ErrForged},
		{"no nonce", signed + ".", ErrMalformed},
		{"no nonce field", signed, ErrMalformed},
		{"long nonce", signed + "." + strings.Repeat("n", MaxNonce+1), ErrMalformed},
		{"nonce with a space", signed + ".a b", ErrMalformed},
		{"leading zero", "b1.home.0fe.1.code.n", ErrMalformed},
		{"upper-case incarnation", "b1.home.FE.1.code.n", ErrMalformed},
		{"negative expiry", "b1.home.fe.-1.code.n", ErrMalformed},
		{"no home", "b1..fe.1.code.n", ErrMalformed},
		{"long home", "b1." + strings.Repeat("h", MaxHome+1) + ".fe.1.code.n", ErrMalformed},
		{"too few fields", "b1.fe.1.code.n", ErrMalformed},
		{"one field", "b1.n", ErrMalformed},
		{"other version", "b2.home.fe.1.code.n", ErrMalformed},
		{"empty", "", ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ticket, nonce, err := testKeys.Split(c.id)
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
			if err == nil {
				checkSame(t, "ticket", testTicket, ticket)
				checkSame(t, "nonce", "n-1_A", nonce)
			}
		})
	}
}

func TestSplitWithoutPreviousKey(t *testing.T) {
	for _, key := range [][]byte{testKeys.Previous, nil} {
		id := Keys{Current: key}.Sign(testTicket) + ".n"
		if _, _, err := (Keys{Current: testKeys.Current}).Split(id); !errors.Is(err, ErrForged) {
			t.Errorf("key %q: got error %v, want %v", key, err, ErrForged)
		}
	}
}

func TestKeyID(t *testing.T) {
	id := KeyID("account", "key")
	checkSame(t, "is key id", true, IsKeyID(id))
	checkSame(t, "same key again", id, KeyID("account", "key"))
	for _, other := range []string{KeyID("accoun", "tkey"), KeyID("account", "Key"), KeyID("", "")} {
		if other == id {
			t.Errorf("two keys have the id %s", id)
		}
	}
	for _, text := range []string{"", "k1.", id[:len(id)-1], id + "0", strings.ToUpper(id), "k1." + strings.Repeat("g", 32)} {
		checkSame(t, text, false, IsKeyID(text))
	}
}

func TestRedact(t *testing.T) {
	checkSame(t, "ticket id", "b1.entry-1.north.fe01.90000.n", Redact(testKeys.Sign(testTicket)+".n"))
	checkSame(t, "key id", KeyID("a", "b"), Redact(KeyID("a", "b")))
	checkSame(t, "other text", "malformed", Redact("secret"))
}

func FuzzSplit(f *testing.F) {
	f.Add(testKeys.Sign(testTicket)+".nonce", "home", uint64(1), int64(2))
	f.Add("b1.....", "a.b", uint64(math.MaxUint64), int64(math.MaxInt64))
	f.Add("k1.00", "", uint64(0), int64(-1))
	f.Fuzz(func(t *testing.T, id, home string, incarnation uint64, expiry int64) {
		if ticket, nonce, err := testKeys.Split(id); err == nil {
			current := testKeys.Sign(ticket) + "." + nonce
			previous := Keys{Current: testKeys.Previous}.Sign(ticket) + "." + nonce
			if id != current && id != previous {
				t.Errorf("%q was accepted but differs from what either key signs", id)
			}
		} else if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrForged) {
			t.Errorf("untyped error %v", err)
		}
		Redact(id)
		if !isHome(home) || expiry < 0 {
			return
		}
		want := Ticket{Home: home, Incarnation: incarnation, ExpiryMillis: expiry}
		got, _, err := testKeys.Split(testKeys.Sign(want) + ".n")
		if err != nil {
			t.Fatalf("own ticket refused: %v", err)
		}
		checkSame(t, "ticket", want, got)
	})
}

func checkSame(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func BenchmarkSplit(b *testing.B) {
	id := testKeys.Sign(testTicket) + ".nonce"
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := testKeys.Split(id); err != nil {
			b.Fatal(err)
		}
	}
}
