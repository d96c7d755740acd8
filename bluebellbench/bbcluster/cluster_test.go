package bbcluster

import (
	"context"
	"os"
	"testing"
	"time"

	"bluebellhall/bluebellbench/bbaudit"
	"bluebellhall/bluebellbench/bbclient"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebelld/bbserver"
	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/bluebellfake/bbplatform"
	"bluebellhall/core/bbmsg"
)

// testTimeout bounds the waits of the tests.
const testTimeout = 60 * time.Second

// fault is injected while a load runs; revert removes it afterwards.
type fault struct {
	name   string
	inject func(t *testing.T, c *Cluster)
	revert func(t *testing.T, c *Cluster)
}

// faults are the faults that the users' specifications list, and some of them in pairs.
var faults = []fault{
	{name: "a node dies and comes back", inject: killNode, revert: restartNode},
	{name: "a node is paused and wakes late", inject: func(_ *testing.T, c *Cluster) { c.Pause("entry-2", 1500*time.Millisecond) }},
	{name: "the platform is down", inject: platformDown, revert: platformUp},
	{name: "a node is cut off from its peers and the platform", inject: partitionNode, revert: healPartition},
	{name: "connections to an endpoint go silent", inject: silenceConnections},
	{name: "endpoints turn cold without a sign", inject: turnEndpointsCold},
	{name: "an endpoint crashes", inject: crashEndpoint},
	{name: "a failure domain goes out and comes back", inject: takeDomainOut, revert: bringDomainBack},
	{name: "answers of plain services are lost after the run", inject: func(_ *testing.T, c *Cluster) { loseAnswers(c, 0.5) },
		revert: func(_ *testing.T, c *Cluster) { loseAnswers(c, 0) }},
	{name: "a node dies while another is cut off", inject: func(t *testing.T, c *Cluster) { partitionNode(t, c); killNode(t, c) },
		revert: func(t *testing.T, c *Cluster) { restartNode(t, c); healPartition(t, c) }},
	{name: "everything turns cold while the platform is down", inject: func(t *testing.T, c *Cluster) { platformDown(t, c); turnEndpointsCold(t, c) },
		revert: platformUp},
}

func killNode(_ *testing.T, c *Cluster) { c.Kill("entry-3") }

func restartNode(t *testing.T, c *Cluster) {
	if err := c.Restart("entry-3"); err != nil {
		t.Fatal(err)
	}
}

func platformDown(_ *testing.T, c *Cluster) {
	c.Fleet.Platform.SetFaults(bbplatform.Faults{Down: true})
}

func platformUp(_ *testing.T, c *Cluster) { c.Fleet.Platform.SetFaults(bbplatform.Faults{}) }

func partitionNode(_ *testing.T, c *Cluster) { setNodePartitioned(c, true) }
func healPartition(_ *testing.T, c *Cluster) { setNodePartitioned(c, false) }

// setNodePartitioned blocks or unblocks all links of entry-4 except those to callers and endpoints.
func setNodePartitioned(c *Cluster, blocked bool) {
	for _, other := range append(c.Names(), bbserver.PlatformName) {
		if other != "entry-4" {
			c.SetPartitioned("entry-4", other, blocked)
		}
	}
}

func silenceConnections(_ *testing.T, c *Cluster) {
	for _, e := range c.Fleet.Endpoints {
		e.Apply(bbendpoint.Faults{Silent: true})
	}
}

func turnEndpointsCold(_ *testing.T, c *Cluster) {
	for _, e := range c.Fleet.Endpoints {
		e.TurnCold()
	}
}

func crashEndpoint(_ *testing.T, c *Cluster) { c.Fleet.Endpoints["ledger-1"].Crash() }

func takeDomainOut(_ *testing.T, c *Cluster)   { c.Fleet.SetOut("khovd", true) }
func bringDomainBack(_ *testing.T, c *Cluster) { c.Fleet.SetOut("khovd", false) }

// loseAnswers makes plain services drop the answers to a share of their calls after running them.
func loseAnswers(c *Cluster, share float64) {
	for _, p := range c.Fleet.Pools {
		p.Apply(bbendpoint.Faults{LoseShare: &share})
	}
}

// startCluster runs the Khangai example, with the rules that edit returns for its own, until it is usable.
func startCluster(t *testing.T, edit func(rules string) string) *Cluster {
	t.Helper()
	rules, err := os.ReadFile("../../examples/khangai/rules.txt")
	if err != nil {
		t.Fatal(err)
	}
	c, cleanup, err := Start(Settings{
		Rules:   edit(string(rules)),
		Fleet:   bbfleet.Settings{FreePorts: true, Seed: 1},
		Domains: []string{"ulaanbaatar", "arkhangai", "khovd", "ulaanbaatar", "arkhangai", "khovd", "ulaanbaatar"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	waitUsable(t, c)
	return c
}

// clientNodes returns the addresses and regions of all entry VMs.
func clientNodes(c *Cluster) []bbclient.Node {
	var nodes []bbclient.Node
	for _, name := range c.Names() {
		nodes = append(nodes, bbclient.Node{
			Address: c.Address(name),
			Region:  c.Server(name).Status().Region,
		})
	}
	return nodes
}

// waitUsable waits until all nodes may use the endpoints that they own, except those taken out of service.
func waitUsable(t *testing.T, c *Cluster) {
	t.Helper()
	waitStatus(t, c, func(s bbmsg.Status) bool {
		ok := s.Ready && s.Confirmed
		for _, e := range s.Endpoints {
			ok = ok && (e.Window > 0 || e.State == bbmsg.StateOut)
		}
		return ok
	})
}

// checkLoad sends a load, injects a fault during it and audits the results.
func checkLoad(t *testing.T, c *Cluster, client *bbclient.Client, seed uint64, f fault) {
	t.Helper()
	plan, err := bbload.Plan(bbload.PlanSettings{
		Seed:     seed,
		Rate:     40,
		Duration: 3 * time.Second,
		Kinds:    bbload.DefaultKinds(c.Fleet.Rules),
	})
	if err != nil {
		t.Fatal(err)
	}
	injected := make(chan struct{})
	time.AfterFunc(time.Second, func() {
		defer close(injected)
		f.inject(t, c)
	})
	results := bbload.Run(context.Background(), bbload.RunSettings{}, plan, client.Send)
	<-injected
	audit := bbaudit.Check(c.Fleet, results)
	if audit.Violations() > 0 {
		t.Errorf("violated guarantees: %+v", audit)
		logOverCold(t, c)
	}
	if audit.Answered == 0 {
		t.Errorf("no request was answered: %+v", audit)
	}
	if f.revert != nil {
		f.revert(t, c)
	}
	waitUsable(t, c)
}

// refused reports whether a status lists a revision of the rules as refused.
func refused(s bbmsg.Status, revision int64) bool {
	for _, r := range s.Rules.Refused {
		if r.Revision == revision {
			return true
		}
	}
	return false
}

// waitStatus waits until a condition holds on the status of all running nodes.
func waitStatus(t *testing.T, c *Cluster, ok func(bbmsg.Status) bool) {
	t.Helper()
	err := c.WaitReady(testTimeout, func(v *bbserver.Server) bool { return ok(v.Status()) })
	if err != nil {
		t.Fatal(err)
	}
}

// TestPromisesOverSockets injects faults, alone and in pairs, into one cluster and compares the outcomes that
// callers saw with the runs that the fake endpoints recorded.
func TestPromisesOverSockets(t *testing.T) {
	c := startCluster(t, func(rules string) string { return rules })
	client, cleanup := bbclient.New(clientNodes(c))
	defer cleanup()
	for i, f := range faults {
		t.Run(f.name, func(t *testing.T) { checkLoad(t, c, client, uint64(i+1), f) })
	}
	t.Run("an invalid revision is refused everywhere and an older one changes nothing", func(t *testing.T) {
		bad := c.Fleet.Platform.PublishRules("domain\n")
		waitStatus(t, c, func(s bbmsg.Status) bool { return refused(s, bad) && s.Rules.Revision < bad })
		good := c.Fleet.Platform.PublishRules(c.Fleet.Text)
		waitStatus(t, c, func(s bbmsg.Status) bool { return s.Rules.Revision == good })
	})
}
