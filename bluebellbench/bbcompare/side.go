package bbcompare

import (
	"strings"
	"time"

	"bluebellhall/bluebellbench/bbclient"
	"bluebellhall/bluebellbench/bbcluster"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellbench/bbnaive"
	"bluebellhall/bluebelld/bbserver"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbrule"
)

// readyTimeout bounds the start of the system.
const readyTimeout = 20 * time.Second

// side is the system or the baseline, with its own fake platform and endpoints.
type side struct {
	fleet *bbfleet.Fleet
	send  bbload.Send
	// home returns the region of the VM that handles a request, given the request's ID and the region of its
	// caller.
	home    func(id, caller string) string
	cleanup func()
}

// startSystem starts the system and waits until all entry VMs are ready and may use cold endpoints.
func startSystem(rules *bbrule.RuleSet, seed uint64) (*side, error) {
	cluster, stop, err := bbcluster.Start(bbcluster.Settings{
		Rules:   bbrule.Format(rules),
		Fleet:   fleetSettings(seed),
		Domains: entryDomains(rules),
	})
	if err != nil {
		return nil, err
	}
	err = cluster.WaitReady(readyTimeout, func(s *bbserver.Server) bool {
		status := s.Status()
		return status.Ready && status.Confirmed
	})
	if err != nil {
		stop()
		return nil, err
	}
	var nodes []bbclient.Node
	regions := map[string]string{}
	for _, name := range cluster.Names() {
		regions[name] = cluster.Server(name).Status().Region
		nodes = append(nodes, bbclient.Node{
			Address: cluster.Address(name),
			Region:  regions[name],
		})
	}
	client, closeClient := bbclient.New(nodes)
	return &side{
		fleet: cluster.Fleet,
		send:  client.Send,
		home:  func(id, _ string) string { return regions[homeOf(id)] },
		cleanup: func() {
			closeClient()
			stop()
		},
	}, nil
}

// homeOf returns the home of a request, which is the second part of its ID.
func homeOf(id string) string {
	parts := strings.Split(id, ".")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

// startBaseline starts the fake platform and endpoints and the naive load balancer.
func startBaseline(rules *bbrule.RuleSet, seed uint64) (*side, error) {
	fleet, stop, err := bbfleet.Start(fleetSettings(seed), bbrule.Format(rules))
	if err != nil {
		return nil, err
	}
	// The platform lists the endpoints only after memberLagMillis.
	time.Sleep(2 * memberLagMillis * time.Millisecond)
	balancer, closeBalancer, err := bbnaive.Start(fleet.Platform.Address())
	if err != nil {
		stop()
		return nil, err
	}
	return &side{
		fleet: fleet,
		send:  balancer.Send,
		home:  func(_, caller string) string { return caller },
		cleanup: func() {
			closeBalancer()
			stop()
		},
	}, nil
}
