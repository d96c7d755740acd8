package bbconfig

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// seed is the default of -rapid.seed, so that every run draws the same cases.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

var settings = Settings{
	Self:          "self",
	FetchInterval: 100 * time.Millisecond,
	StartWait:     2 * time.Second,
}

// text returns a valid text that differs by its name, invalidText one with a finding.
func text(name string) string        { return "domain " + name + " region=r # Bat\n" }
func invalidText(name string) string { return "domain " + name + " # Bat\n" }

func rules(revision int64, text string) bbmsg.RulesText {
	return bbmsg.RulesText{Revision: revision, Text: text}
}

func list(revision int64, names ...string) bbmsg.MemberList {
	l := bbmsg.MemberList{Revision: revision}
	for _, n := range names {
		l.Members = append(l.Members, bbmsg.Member{Name: n, Role: bbmsg.RoleEntry, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81"})
	}
	return l
}

func TestRulesInForce(t *testing.T) {
	low, high := text("a"), text("b")
	if bbrule.Digest(low) > bbrule.Digest(high) {
		low, high = high, low
	}
	cases := []struct {
		name   string
		offers []bbmsg.RulesText
		want   bbmsg.RulesText
		events []bbevent.Number
	}{
		{name: "a newer one wins", offers: []bbmsg.RulesText{rules(1, low), rules(2, high)}, want: rules(2, high),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesInForce}},
		{name: "never lower", offers: []bbmsg.RulesText{rules(5, low), rules(4, high), rules(4, high)}, want: rules(5, low),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesStale}},
		{name: "the same again is no news", offers: []bbmsg.RulesText{rules(5, low), rules(5, low)}, want: rules(5, low),
			events: []bbevent.Number{bbevent.RulesInForce}},
		{name: "an invalid one is refused whole, once", offers: []bbmsg.RulesText{rules(1, low), rules(2, invalidText("x")), rules(2, invalidText("x"))}, want: rules(1, low),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesRefused}},
		{name: "one between the one in force and a refused one", offers: []bbmsg.RulesText{rules(1, low), rules(9, invalidText("x")), rules(2, high)}, want: rules(2, high),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesRefused, bbevent.RulesInForce}},
		{name: "two texts of one revision, lower first", offers: []bbmsg.RulesText{rules(3, low), rules(3, high)}, want: rules(3, high),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesConflict, bbevent.RulesInForce}},
		{name: "two texts of one revision, higher first", offers: []bbmsg.RulesText{rules(3, high), rules(3, low)}, want: rules(3, high),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesConflict}},
		{name: "revision zero", offers: []bbmsg.RulesText{rules(0, low)}, events: []bbevent.Number{bbevent.RulesStale}},
		{name: "a domain out at the start", offers: []bbmsg.RulesText{rules(1, low+"out "+low[7:8]+" # x\n")}, want: rules(1, low+"out "+low[7:8]+" # x\n"),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.DomainOut}},
		{name: "a domain out and back", offers: []bbmsg.RulesText{rules(1, low), rules(2, low+"out a # x\nout b # x\n"), rules(3, low+high+"out a # x\nout b # x\n"), rules(4, low+high+"out a # x\n"), rules(5, low+high)}, want: rules(5, low+high),
			events: []bbevent.Number{bbevent.RulesInForce, bbevent.RulesRefused, bbevent.RulesInForce, bbevent.DomainOut, bbevent.DomainOut, bbevent.RulesInForce, bbevent.DomainBack, bbevent.RulesInForce, bbevent.DomainBack}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := New(settings)
			for _, o := range test.offers {
				c.OfferRules(SourcePlatform, o)
			}
			checkEqual(t, test.want, inForce(c))
			checkEqual(t, test.events, eventNumbers(c.Tick(0, nil)))
		})
	}
}

func TestRefusedTexts(t *testing.T) {
	c := New(settings)
	c.OfferRules(SourcePlatform, rules(1, text("a")))
	for i := range int64(2 * maxRefused) {
		c.OfferRules("p", rules(100-i, invalidText("x")))
	}
	t.Run("are bounded, the highest kept in order", func(t *testing.T) {
		var got []int64
		for _, r := range c.Status().Refused {
			got = append(got, r.Revision)
		}
		var want []int64
		for i := range int64(maxRefused) {
			want = append(want, 100-maxRefused+1+i)
		}
		checkEqual(t, want, got)
	})
	t.Run("are told with the first finding", func(t *testing.T) {
		r := c.Status().Refused[0]
		checkEqual(t, bbmsg.RefusedRules{Revision: r.Revision, Digest: r.Digest, Source: "p", Findings: 1, First: "1:1: domain needs region=, a name (check 11)"}, r)
	})
	t.Run("are forgotten once a newer one is in force", func(t *testing.T) {
		c.OfferRules(SourcePlatform, rules(100, text("b")))
		c.OfferRules(SourcePlatform, rules(101, text("b")))
		checkEqual(t, 0, len(c.Status().Refused))
		checkEqual(t, int64(101), c.Status().NewestOffered)
	})
	t.Run("of the platform are not watched for again", func(t *testing.T) {
		c.OfferRules(SourcePlatform, rules(103, invalidText("z")))
		checkEqual(t, int64(103), c.RulesAfter())
	})
}

func TestList(t *testing.T) {
	bad := func(change func(m *bbmsg.Member)) bbmsg.MemberList {
		l := list(9, "a", "b")
		change(&l.Members[1])
		return l
	}
	cases := []struct {
		name  string
		offer bbmsg.MemberList
		event bbevent.Number
	}{
		{name: "older", offer: list(4, "z")},
		{name: "the same in another order", offer: list(5, "b", "a")},
		{name: "other content of the revision", offer: list(5, "a"), event: bbevent.ListConflict},
		{name: "a name twice", offer: list(9, "a", "a"), event: bbevent.ListRefused},
		{name: "an empty name", offer: list(9, ""), event: bbevent.ListRefused},
		{name: "a role", offer: bad(func(m *bbmsg.Member) { m.Role = "leader" }), event: bbevent.ListRefused},
		{name: "an address", offer: bad(func(m *bbmsg.Member) { m.Address = "host:80" }), event: bbevent.ListRefused},
		{name: "a peer address", offer: bad(func(m *bbmsg.Member) { m.PeerAddress = "" }), event: bbevent.ListRefused},
		{name: "too long", offer: list(9, longNames()...), event: bbevent.ListRefused},
	}
	for _, test := range cases {
		t.Run("not taken: "+test.name, func(t *testing.T) {
			c := New(settings)
			c.OfferList(SourcePlatform, list(5, "b", "a"))
			checkEqual(t, false, c.OfferList(SourcePlatform, test.offer))
			c.OfferList(SourcePlatform, test.offer)
			checkEqual(t, list(5, "a", "b"), c.List())
			var want []bbevent.Number
			if test.event != 0 {
				want = []bbevent.Number{test.event}
			}
			checkEqual(t, want, eventNumbers(c.Tick(0, nil)))
		})
	}
	t.Run("newer", func(t *testing.T) {
		c := New(settings)
		c.OfferList(SourcePlatform, list(5, "a"))
		checkEqual(t, true, c.OfferList("a", list(6, "c", "b")))
		checkEqual(t, list(6, "b", "c"), c.List())
		checkEqual(t, int64(6), c.ListAfter())
	})
}

// longNames returns one name more than a list may hold.
func longNames() []string {
	var names []string
	for i := range maxMembers + 1 {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

func TestFetch(t *testing.T) {
	peers := []string{"a", "b", "c"}
	started := func() *Config {
		c := New(settings)
		c.OfferRules(SourcePlatform, rules(5, text("x")))
		c.OfferList(SourcePlatform, list(5, "a", "b"))
		c.Tick(0, peers)
		return c
	}
	t.Run("a starting node asks every peer in turn", func(t *testing.T) {
		c := New(settings)
		want := []string{"a 0 0", "b 0 0", "c 0 0", "a 0 0"}
		for i, w := range want {
			now := time.Duration(i) * settings.FetchInterval
			checkEqual(t, []string{w}, fetches(c.Tick(now, peers)))
			checkEqual(t, nil, fetches(c.Tick(now+settings.FetchInterval-1, peers)))
			checkEqual(t, now+settings.FetchInterval, c.NextWake(now, peers))
		}
	})
	t.Run("nobody is asked when all is known", func(t *testing.T) {
		c := started()
		c.UpdatePeer("b", bbmsg.NodeState{RulesRevision: 5, RulesDigest: c.rules.Digest, ListRevision: 5})
		checkEqual(t, nil, fetches(c.Tick(time.Second, peers)))
		checkEqual(t, settings.StartWait, c.NextWake(time.Second, peers))
	})
	t.Run("a peer with newer rules is asked", func(t *testing.T) {
		c := started()
		c.UpdatePeer("b", bbmsg.NodeState{RulesRevision: 6, ListRevision: 5})
		checkEqual(t, []string{"b 5 5"}, fetches(c.Tick(time.Second, peers)))
	})
	t.Run("a peer with a newer list is asked", func(t *testing.T) {
		c := started()
		c.UpdatePeer("c", bbmsg.NodeState{ListRevision: 6})
		checkEqual(t, []string{"c 5 5"}, fetches(c.Tick(time.Second, peers)))
	})
	t.Run("a peer with another text of the revision is asked for it", func(t *testing.T) {
		c := started()
		c.UpdatePeer("b", bbmsg.NodeState{RulesRevision: 5, RulesDigest: c.rules.Digest + 1, ListRevision: 5})
		checkEqual(t, []string{"b 4 5"}, fetches(c.Tick(time.Second, peers)))
	})
	t.Run("a peer whose text was refused here is not asked", func(t *testing.T) {
		c := started()
		c.OfferRules(SourcePlatform, rules(6, invalidText("x")))
		c.UpdatePeer("b", bbmsg.NodeState{RulesRevision: 6, RulesDigest: bbrule.Digest(invalidText("x")), ListRevision: 5})
		checkEqual(t, nil, fetches(c.Tick(time.Second, peers)))
	})
	t.Run("what a peer said is forgotten when it is gone", func(t *testing.T) {
		c := started()
		c.UpdatePeer("b", bbmsg.NodeState{RulesRevision: 6, ListRevision: 5})
		c.Tick(0, []string{"a", "c"})
		checkEqual(t, nil, fetches(c.Tick(time.Second, peers)))
	})
	t.Run("a peer without rules gets them unasked, now and then", func(t *testing.T) {
		c := started()
		c.UpdatePeer("a", bbmsg.NodeState{RulesRevision: 1, ListRevision: 5})
		c.UpdatePeer("b", bbmsg.NodeState{ListRevision: 5})
		checkEqual(t, time.Second, c.NextWake(time.Second, peers))
		checkEqual(t, []string{"b rules 5", "b list 5"}, pushes(c.Tick(time.Second, peers)))
		again := time.Second + pushIntervals*settings.FetchInterval
		checkEqual(t, nil, pushes(c.Tick(again-1, peers)))
		checkEqual(t, again, c.NextWake(again-1, peers))
		checkEqual(t, 2, len(pushes(c.Tick(again, peers))))
		c.UpdatePeer("b", bbmsg.NodeState{RulesRevision: 5, RulesDigest: c.rules.Digest, ListRevision: 5})
		checkEqual(t, nil, pushes(c.Tick(time.Hour, peers)))
	})
	t.Run("nothing is sent unasked by a node without rules", func(t *testing.T) {
		c := New(settings)
		c.OfferList(SourcePlatform, list(5, "a"))
		c.Tick(0, peers)
		c.UpdatePeer("b", bbmsg.NodeState{ListRevision: 5})
		checkEqual(t, nil, pushes(c.Tick(time.Second, peers)))
	})
	t.Run("the answer holds only what is newer", func(t *testing.T) {
		c := started()
		rulesAnswer := send("b", bbmsg.Envelope{Rules: &bbmsg.RulesText{Revision: 5, Text: text("x")}})
		listAnswer := send("b", bbmsg.Envelope{List: &bbmsg.ListText{List: list(5, "a", "b")}})
		checkEqual(t, []bbmsg.Output{rulesAnswer, listAnswer}, c.HandleFetch("b", bbmsg.Fetch{RulesAfter: 4, ListAfter: 4}))
		checkEqual(t, nil, c.HandleFetch("b", bbmsg.Fetch{RulesAfter: 5, ListAfter: 5}))
	})
}

func TestReady(t *testing.T) {
	peers := []string{"a", "b", "c", "d"}
	cases := []struct {
		name   string
		change func(c *Config)
		now    time.Duration
		want   bool
	}{
		{name: "no peer heard", change: func(*Config) {}, want: false},
		{name: "no peer heard for the wait", change: func(*Config) {}, now: settings.StartWait, want: true},
		{name: "three heard", change: func(c *Config) { hear(c, 5, "a", "b", "c") }, want: true},
		{name: "two heard", change: func(c *Config) { hear(c, 5, "a", "b") }, want: false},
		{name: "none can be reached yet", change: func(c *Config) { c.Tick(0, nil) }, want: false},
		{name: "two heard, none else stays", change: func(c *Config) {
			hear(c, 5, "a", "b")
			c.list.Members[2].Leaving = true
			c.list.Members[3].Role = bbmsg.RoleEndpoint
		}, want: true},
		{name: "one of them is ahead", change: func(c *Config) { hear(c, 5, "a", "b"); hear(c, 6, "c") }, want: false},
		{name: "caught up", change: func(c *Config) { hear(c, 5, "a", "b"); hear(c, 6, "c"); c.OfferRules("c", rules(6, text("y"))) }, want: true},
		{name: "no list", change: func(c *Config) { c.list = bbmsg.MemberList{} }, now: time.Hour, want: false},
		{name: "no rules", change: func(c *Config) { c.rules = nil }, now: time.Hour, want: false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := New(settings)
			c.Tick(0, peers)
			c.OfferRules(SourcePlatform, rules(5, text("x")))
			c.OfferList(SourcePlatform, list(5, "a", "b", "c", "d", "self"))
			test.change(c)
			c.Tick(test.now, peers)
			checkEqual(t, test.want, c.Ready())
		})
	}
}

// TestNodesAgree offers random texts to random nodes and checks that no node goes
// back and that all end with the highest valid text that any of them saw.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		nodes := map[string]*Config{}
		for _, n := range names {
			nodes[n] = New(settings)
			nodes[n].OfferList(SourcePlatform, list(1, names...))
		}
		var best version
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			c := nodes[rapid.SampledFrom(names).Draw(t, "node")]
			offer := rules(rapid.Int64Range(1, 4).Draw(t, "revision"), text(rapid.SampledFrom(names).Draw(t, "text")))
			if rapid.Bool().Draw(t, "invalid") {
				offer.Text = invalidText("x")
			} else if v := (version{revision: offer.Revision, digest: bbrule.Digest(offer.Text)}); v.supersedes(best) {
				best = v
			}
			before := c.version()
			c.OfferRules(SourcePlatform, offer)
			if before.supersedes(c.version()) {
				t.Fatalf("went back from %v to %v", before, c.version())
			}
			if rapid.Bool().Draw(t, "exchange") {
				now += settings.FetchInterval
				exchange(nodes, names, now)
			}
		}
		for range len(names) {
			now += settings.FetchInterval
			exchange(nodes, names, now)
		}
		for _, n := range names {
			if got := nodes[n].version(); got != best {
				t.Fatalf("%s has %v, want %v", n, got, best)
			}
		}
	})
}

// exchange lets every node tell the others of its rules and ask once.
func exchange(nodes map[string]*Config, names []string, now time.Duration) {
	for _, n := range names {
		var others []string
		for _, other := range names {
			if other != n {
				others = append(others, other)
			}
		}
		nodes[n].Tick(now-settings.FetchInterval, others)
		for _, other := range others {
			nodes[n].UpdatePeer(other, nodes[other].State(bbmsg.NodeState{ListRevision: 1}))
		}
		for _, o := range nodes[n].Tick(now, others) {
			if o.Send == nil || o.Send.Envelope.Fetch == nil {
				continue
			}
			for _, answer := range nodes[o.Send.To].HandleFetch(n, *o.Send.Envelope.Fetch) {
				nodes[n].OfferRules(o.Send.To, *answer.Send.Envelope.Rules)
			}
		}
	}
}

func hear(c *Config, revision int64, names ...string) {
	for _, n := range names {
		c.UpdatePeer(n, bbmsg.NodeState{RulesRevision: revision, ListRevision: 5})
	}
}

// inForce returns the rules in force, empty if there are none.
func inForce(c *Config) bbmsg.RulesText {
	if c.Rules() == nil {
		return bbmsg.RulesText{}
	}
	return rules(c.Rules().Revision, c.Rules().Text)
}

func eventNumbers(outputs []bbmsg.Output) []bbevent.Number {
	var numbers []bbevent.Number
	for _, o := range outputs {
		if o.Event != nil {
			numbers = append(numbers, o.Event.Number)
		}
	}
	return numbers
}

// fetches returns whom is asked for what is after which revisions.
func fetches(outputs []bbmsg.Output) []string {
	var texts []string
	for _, o := range outputs {
		if o.Send != nil && o.Send.Envelope.Fetch != nil {
			f := o.Send.Envelope.Fetch
			texts = append(texts, fmt.Sprintf("%s %d %d", o.Send.To, f.RulesAfter, f.ListAfter))
		}
	}
	return texts
}

// pushes returns what is sent to whom.
func pushes(outputs []bbmsg.Output) []string {
	var texts []string
	for _, o := range outputs {
		switch {
		case o.Send == nil:
		case o.Send.Envelope.Rules != nil:
			texts = append(texts, fmt.Sprintf("%s rules %d", o.Send.To, o.Send.Envelope.Rules.Revision))
		case o.Send.Envelope.List != nil:
			texts = append(texts, fmt.Sprintf("%s list %d", o.Send.To, o.Send.Envelope.List.List.Revision))
		}
	}
	return texts
}

func checkEqual[T any](t *testing.T, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differs (-want +got):\n%s", diff)
	}
}

// BenchmarkOfferRules takes in a text of the size of 19,000 accounts and 930 endpoints.
func BenchmarkOfferRules(b *testing.B) {
	var s strings.Builder
	s.WriteString(text("d") + "service s kind=pool # x\n")
	for i := range 19_000 {
		fmt.Fprintf(&s, "account a%05d weight=2 # Saraa\n", i)
	}
	for i := range 930 {
		fmt.Fprintf(&s, "endpoint e%03d service=s address=10.0.%d.%d:80 domain=d # Bat\n", i, i/256, i%256)
	}
	b.SetBytes(int64(s.Len()))
	b.ReportAllocs()
	for b.Loop() {
		if c := New(settings); !c.OfferRules(SourcePlatform, rules(1, s.String())) {
			b.Fatal("refused")
		}
	}
}
