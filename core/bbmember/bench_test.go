package bbmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bluebellhall/core/bbmsg"
)

// benchFleet returns the table of one node in a fleet of nodes in three regions, and its member
// list with three endpoints for each node.
func benchFleet(nodes int) (*Table, bbmsg.MemberList) {
	l := bbmsg.MemberList{Revision: 1}
	for i := range nodes {
		m := member(fmt.Sprintf("%c%03d", 'a'+i%3, i))
		m.Domain = fmt.Sprintf("%s%d", m.Region, i%2)
		m.PeerAddress = "10.0.0.1:7000"
		l.Members = append(l.Members, m)
	}
	for i := range 3 * nodes {
		region := string(rune('a' + i%3))
		l.Members = append(l.Members, bbmsg.Member{
			Name:   fmt.Sprintf("endpoint-%04d", i),
			Role:   bbmsg.RoleEndpoint,
			Domain: fmt.Sprintf("%s%d", region, i%2),
			Region: region,
		})
	}
	t := New(Settings{
		Self:          l.Members[0],
		Incarnation:   1,
		ProbeInterval: time.Second,
		ConfirmTime:   3 * time.Second,
		SettleTime:    7 * time.Second,
		PeerTimeout:   3 * time.Second,
		PauseGap:      2 * time.Second,
		State:         benchState,
	})
	t.Adopt(0, l)
	return t, l
}

// benchState returns the state that a node with three endpoints sends.
func benchState() bbmsg.NodeState {
	k := bbmsg.NodeState{
		RulesRevision: 1900,
		RulesDigest:   0x9e3779b97f4a7c15,
		Load:          120,
	}
	for i := range 3 {
		k.Endpoints = append(k.Endpoints, bbmsg.EndpointDigest{
			Name:     fmt.Sprintf("endpoint-%04d", i),
			State:    bbmsg.StateWarm,
			Window:   8,
			InFlight: 5,
			Model:    "model-0001",
		})
	}
	return k
}

func forSizes(b *testing.B, run func(b *testing.B, nodes int)) {
	for _, nodes := range []int{7, 50, 330} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) { run(b, nodes) })
	}
}

// BenchmarkInterval measures one probe interval: the Tick with its probes and all replies. It
// reports the bytes that one node sends in an interval, for the probes and as many replies.
func BenchmarkInterval(b *testing.B) {
	forSizes(b, func(b *testing.B, nodes int) {
		t, _ := benchFleet(nodes)
		now := time.Duration(0)
		sent, probes := 0, 0
		b.ReportAllocs()
		for b.Loop() {
			now += time.Second
			for _, o := range t.Tick(now) {
				if o.Probe == nil {
					continue
				}
				reply := bbmsg.ProbeReply{
					From:     o.Probe.To,
					Sequence: o.Probe.Probe.Sequence,
					Ready:    true,
					State:    o.Probe.Probe.State,
				}
				probes++
				t.HandleReply(now, reply)
				if sent == 0 {
					reply.State.Endpoints = nil
					sent = encodedSize(b, o.Probe.Probe) + encodedSize(b, reply)
				}
			}
		}
		perInterval := float64(probes) / float64(b.N)
		b.ReportMetric(perInterval, "probes/interval")
		b.ReportMetric(perInterval*float64(sent), "B/interval")
	})
}

func encodedSize(b *testing.B, v any) int {
	b.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}

// BenchmarkIdleTick measures a Tick at which nothing is due.
func BenchmarkIdleTick(b *testing.B) {
	forSizes(b, func(b *testing.B, nodes int) {
		t, _ := benchFleet(nodes)
		t.Tick(0)
		b.ReportAllocs()
		for b.Loop() {
			t.Tick(1)
		}
	})
}

// BenchmarkOwner measures the lookup of owners, with and without the cache.
func BenchmarkOwner(b *testing.B) {
	forSizes(b, func(b *testing.B, nodes int) {
		t, l := benchFleet(nodes)
		endpoints := l.Members[nodes:]
		b.Run("cached", func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				t.Owner(endpoints[i%len(endpoints)].Name, "")
				i++
			}
		})
		b.Run("computed", func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				t.current.Owner(endpoints[i%len(endpoints)].Name, "")
				i++
			}
		})
	})
}

// BenchmarkAdopt measures the adoption of a new list.
func BenchmarkAdopt(b *testing.B) {
	forSizes(b, func(b *testing.B, nodes int) {
		t, l := benchFleet(nodes)
		b.ReportAllocs()
		for b.Loop() {
			l.Revision++
			t.Adopt(time.Duration(l.Revision)*time.Hour, l)
		}
	})
}
