package bbentry

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbmeter"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbrevision"
)

// startEntry starts a VM that finds the others through seeds, and returns it with its address for other VMs.
func startEntry(t *testing.T, name string, seeds ...string) (*Entry, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	e, cleanup, err := Start(Settings{
		Self: bbgossip.Member{
			Name:   name,
			Boot:   time.Now().UnixMilli(),
			Peer:   address,
			Front:  "front of " + name,
			Zone:   "east",
			Weight: 1,
		},
		PeerListen: address,
		Seeds:      seeds,
		Regions:    map[string]string{"east": "r", "west": "r"},
	}, Hooks{
		Log:   bblog.Logger{Lines: zerolog.Nop()},
		Meter: bbmeter.NewMeter(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return e, address
}

// waitFor waits until a condition holds. It returns within a fraction of the time of a call to another VM.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Microsecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Guards against a VM that starts while the store has come back from an older copy, and serves with what the copy
// has though other VMs know better.
func TestVMThatStartsKnowsWhatOthersKnow(t *testing.T) {
	endpoints := bbregistry.Snapshot{
		Revision: bbrevision.Revision{Era: 1, Number: 90},
		Endpoints: []bbregistry.Endpoint{
			{ID: "a", Service: "s", Zone: "east"},
			{ID: "b", Service: "s", Zone: "west", Leaving: true},
		},
	}
	copied := bbregistry.Snapshot{
		Revision: bbrevision.Revision{Era: 2, Number: 70},
		Endpoints: []bbregistry.Endpoint{
			{ID: "a", Service: "s", Zone: "east"},
			{ID: "b", Service: "s", Zone: "west"},
		},
	}
	former, address := startEntry(t, "former")
	former.Knowledge.OfferCatalog(bbcatalog.Catalog{Version: 9}, "test")
	former.Knowledge.ReplaceEndpoints(endpoints)
	former.Knowledge.ReplaceEvacuated([]bbregistry.Evacuation{{Zone: "east", Number: 80}}, endpoints.Revision)
	former.Knowledge.ReplaceEndpoints(copied)
	former.Knowledge.ReplaceEvacuated(nil, copied.Revision)
	former.refresh()

	started, _ := startEntry(t, "started", address)
	waitFor(t, "the started VM reads the store", started.Knowledge.ReadsPlatform)
	if ready, version, _ := started.Knowledge.Ready(); !ready || version != 9 {
		t.Errorf("when it begins to read the store it is ready: %t, with version %d; want version 9", ready, version)
	}
	started.Knowledge.OfferCatalog(bbcatalog.Catalog{Version: 4}, "store")
	started.Knowledge.ReplaceEndpoints(copied)
	started.Knowledge.ReplaceEvacuated(nil, copied.Revision)
	if _, version, _ := started.Knowledge.Ready(); version != 9 {
		t.Errorf("version %d is in force after the store was read, want 9", version)
	}
	if usable := started.Knowledge.Usable("s"); len(usable) > 0 {
		t.Errorf("%s is usable after the store was read, want none", usable[0].ID)
	}
}
