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

// side is the system or the baseline with its own stand-ins.
type side struct {
	fleet *bbfleet.Fleet
	send  bbload.Send
	// home returns the region in which a request is worked on, by its id and the
	// region of its caller.
	home    func(id, caller string) string
	cleanup func()
}

// startSystem starts the system and waits until it may use cold endpoints.
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

// homeOf returns the home that a request id names in its second part.
func homeOf(id string) string {
	parts := strings.Split(id, ".")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

// startBaseline starts stand-ins and the naive balancer.
func startBaseline(rules *bbrule.RuleSet, seed uint64) (*side, error) {
	fleet, stop, err := bbfleet.Start(fleetSettings(seed), bbrule.Format(rules))
	if err != nil {
		return nil, err
	}
	// The members show after their lag.
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
