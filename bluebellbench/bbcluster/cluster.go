// Package bbcluster runs a fake platform, fake endpoints and the entry VMs that serve them in one process
// over loopback. It injects faults: it kills, pauses, drains and restarts entry VMs and blocks the links
// between them.
package bbcluster

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbserver"
	"bluebellhall/bluebelld/bbsettings"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
)

// Settings describe a cluster.
type Settings struct {
	// Rules is the text that the platform publishes.
	Rules string
	// Fleet describes the fake platform and endpoints; its EntryVMs are filled in by Start.
	Fleet bbfleet.Settings
	// Domains has the failure domain of each entry VM, in order.
	Domains []string
	// Times replaces the default intervals and timeouts of the entry VMs when it is set.
	Times *bbnode.Times
	// Log receives the logs of all entry VMs; nil discards them.
	Log io.Writer
}

// Cluster is a running cluster. Its methods are safe for concurrent use.
type Cluster struct {
	// Fleet is the fake platform with the fake endpoints.
	Fleet *bbfleet.Fleet

	settings Settings
	mu       sync.Mutex
	// nodes has every entry VM, running or not, by name.
	nodes map[string]*node
	// members has the member records of the entry VMs from the first list, by name.
	members map[string]bbmsg.Member
	// partitioned has the blocked links, with an entry for each direction.
	partitioned map[link]bool
}

// link is one direction of the link between two nodes.
type link struct {
	from string
	to   string
}

// node is an entry VM and its current or last process.
type node struct {
	settings bbsettings.Settings
	server   *bbserver.Server
	cleanup  func()
	// running is false between a kill and a restart.
	running bool
	// pause is closed when the current pause ends; nil while the node is not paused.
	pause chan struct{}
	// history has the events of the node's processes that have ended.
	history []bbevent.Event
}

// fleetKey signs the tickets of the cluster. It is not a secret: it is used on loopback only.
const fleetKey = "loopback cluster, no secret"

// Start runs a cluster. The returned function stops everything without draining.
func Start(s Settings) (*Cluster, func(), error) {
	c := &Cluster{
		settings:    s,
		nodes:       make(map[string]*node),
		members:     make(map[string]bbmsg.Member),
		partitioned: make(map[link]bool),
	}
	if err := c.configureNodes(); err != nil {
		return nil, nil, err
	}
	fleet, closeFleet, err := bbfleet.Start(c.settings.Fleet, s.Rules)
	if err != nil {
		return nil, nil, err
	}
	c.Fleet = fleet
	for _, m := range fleet.Platform.Members() {
		c.members[m.Name] = m
	}
	cleanup := func() {
		c.killAll()
		closeFleet()
	}
	if err := c.startAll(); err != nil {
		cleanup()
		return nil, nil, err
	}
	return c, cleanup, nil
}

// startAll starts every entry VM.
func (c *Cluster) startAll() error {
	for _, name := range c.Names() {
		if err := c.Restart(name); err != nil {
			return err
		}
	}
	return nil
}

// configureNodes assigns a name and ports to every entry VM.
func (c *Cluster) configureNodes() error {
	regions, err := regionsOf(c.settings.Rules)
	if err != nil {
		return err
	}
	for i, domain := range c.settings.Domains {
		name := fmt.Sprintf("entry-%d", i+1)
		ports, err := freePorts(2)
		if err != nil {
			return err
		}
		c.nodes[name] = &node{
			settings: bbsettings.Settings{
				Name:          name,
				Domain:        domain,
				Region:        regions[domain],
				CallerAddress: ports[0],
				PeerAddress:   ports[1],
				Key:           []byte(fleetKey),
			},
		}
		c.settings.Fleet.EntryVMs = append(c.settings.Fleet.EntryVMs, bbfleet.EntryVM{
			Name:        name,
			Address:     ports[0],
			PeerAddress: ports[1],
			Domain:      domain,
		})
	}
	return nil
}

// Names returns the names of all entry VMs, sorted.
func (c *Cluster) Names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.nodes))
	for name := range c.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Restart starts an entry VM with empty state, whether or not it ran before.
func (c *Cluster) Restart(name string) error {
	c.mu.Lock()
	n := c.nodes[name]
	n.settings.PlatformAddresses = []string{c.Fleet.Platform.Address()}
	c.mu.Unlock()
	server, cleanup, err := bbserver.Start(n.settings, bbserver.Hooks{
		Log:     c.settings.Log,
		Times:   c.settings.Times,
		Blocked: func(peer string) bool { return c.isPartitioned(name, peer) },
		Paused:  func() <-chan struct{} { return c.pauseOf(name) },
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.server = server
	n.cleanup = cleanup
	n.running = true
	return nil
}

// Kill stops an entry VM without draining it; its state is lost.
func (c *Cluster) Kill(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	if !n.running {
		c.mu.Unlock()
		return
	}
	n.running = false
	n.history = append(n.history, n.server.Events(0)...)
	if n.pause != nil {
		close(n.pause)
		n.pause = nil
	}
	c.mu.Unlock()
	n.cleanup()
}

// killAll kills all entry VMs.
func (c *Cluster) killAll() {
	for _, name := range c.Names() {
		c.Kill(name)
	}
}

// SetListed publishes a member list with or without an entry VM, as the platform does when it detects that
// a VM has started or stopped.
func (c *Cluster) SetListed(name string, listed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []bbmsg.Member
	for _, m := range c.Fleet.Platform.Members() {
		if m.Name != name {
			members = append(members, m)
		}
	}
	if listed {
		members = append(members, c.members[name])
	}
	c.Fleet.Platform.PublishMembers(members)
}

// Drain stops an entry VM gracefully and waits until it has stopped, or for the timeout.
func (c *Cluster) Drain(name string, timeout time.Duration) error {
	server := c.Server(name)
	server.Drain()
	select {
	case <-server.Stopped:
		c.Kill(name)
		return nil
	case <-time.After(timeout):
		return errors.Newf("%s did not stop within %s", name, timeout)
	}
}

// Pause suspends an entry VM for a time, like a paused process; its sockets stay open.
func (c *Cluster) Pause(name string, d time.Duration) {
	pause := make(chan struct{})
	c.mu.Lock()
	c.nodes[name].pause = pause
	c.mu.Unlock()
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.nodes[name].pause == pause {
			close(pause)
			c.nodes[name].pause = nil
		}
	})
}

// pauseOf returns the channel that is closed when a node's current pause ends, or nil if it is not paused.
func (c *Cluster) pauseOf(name string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name].pause
}

// SetPartitioned blocks or unblocks the link between two nodes, or between a node and the platform under the
// name bbserver.PlatformName, in both directions.
func (c *Cluster) SetPartitioned(a, b string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range []link{{from: a, to: b}, {from: b, to: a}} {
		if blocked {
			c.partitioned[k] = true
			continue
		}
		delete(c.partitioned, k)
	}
}

// isPartitioned reports whether the link from one node to another is blocked.
func (c *Cluster) isPartitioned(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[link{
		from: from,
		to:   to,
	}]
}

// Server returns the current process of an entry VM, or its last one if it is not running.
func (c *Cluster) Server(name string) *bbserver.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name].server
}

// Running returns the names of the running entry VMs, sorted.
func (c *Cluster) Running() []string {
	var names []string
	for _, name := range c.Names() {
		c.mu.Lock()
		if c.nodes[name].running {
			names = append(names, name)
		}
		c.mu.Unlock()
	}
	return names
}

// Address returns the address of an entry VM for callers.
func (c *Cluster) Address(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name].settings.CallerAddress
}

// Events returns the events of all processes, running and ended, sorted by their stamps.
func (c *Cluster) Events() []bbevent.Event {
	var all []bbevent.Event
	for _, name := range c.Names() {
		c.mu.Lock()
		n := c.nodes[name]
		all = append(all, n.history...)
		running := n.running
		c.mu.Unlock()
		if running {
			all = append(all, n.server.Events(0)...)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Stamp < all[j].Stamp })
	return all
}

// WaitReady waits until a condition holds on all running nodes, or for the timeout.
func (c *Cluster) WaitReady(timeout time.Duration, ok func(*bbserver.Server) bool) error {
	deadline := time.Now().Add(timeout)
	for {
		waiting := ""
		for _, name := range c.Running() {
			if !ok(c.Server(name)) {
				waiting = name
			}
		}
		if waiting == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("%s is not ready after %s", waiting, timeout)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond
