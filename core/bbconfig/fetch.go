package bbconfig

import (
	"slices"
	"time"

	"bluebellhall/core/bbmsg"
)

// UpdatePeer stores the configuration state that a peer sent with a probe or reply.
func (c *Config) UpdatePeer(name string, k bbmsg.NodeState) {
	p := c.peers[name]
	if p == nil {
		return
	}
	p.hasReported = true
	p.rules = version{
		revision: k.RulesRevision,
		digest:   k.RulesDigest,
	}
	p.list = k.ListRevision
	c.newestOffered = max(c.newestOffered, k.RulesRevision)
}

// HandleFetch returns the messages that send a peer the configuration that is newer than its own.
func (c *Config) HandleFetch(from string, fetch bbmsg.Fetch) []bbmsg.Output {
	var outputs []bbmsg.Output
	if c.rules != nil && c.rules.Revision > fetch.RulesAfter {
		outputs = append(outputs, send(from, bbmsg.Envelope{
			Rules: &bbmsg.RulesText{
				Revision: c.rules.Revision,
				Text:     c.rules.Text,
			},
		}))
	}
	if c.list.Revision > fetch.ListAfter {
		outputs = append(outputs, send(from, bbmsg.Envelope{
			List: &bbmsg.ListText{
				List: c.list,
			},
		}))
	}
	return outputs
}

// Tick returns queued events and the fetch that is due. peers has the names of the other reachable entry
// VMs, sorted; the state of all other peers is dropped.
func (c *Config) Tick(now time.Duration, peers []string) []bbmsg.Output {
	c.keepPeers(peers)
	if !c.hasTicked {
		c.hasTicked = true
		c.startUntil = now + c.settings.StartWait
	}
	c.updateReady(now)
	outputs := append(c.outputs, c.push(now, peers)...)
	c.outputs = nil
	if now < c.nextFetch {
		return outputs
	}
	name := c.nextPeer(peers)
	if name == "" {
		return outputs
	}
	c.lastFetchPeer = name
	c.nextFetch = now + c.settings.FetchInterval
	fetch := c.fetchRequest(c.peers[name])
	return append(outputs, send(name, bbmsg.Envelope{Fetch: &fetch}))
}

// NextWake returns when the next Tick is due if nothing else happens.
func (c *Config) NextWake(now time.Duration, peers []string) time.Duration {
	if len(c.outputs) > 0 || !c.hasTicked {
		return now
	}
	wake := never
	if !c.ready && c.hasRulesAndList() {
		wake = max(now, c.startUntil)
	}
	if c.nextPeer(peers) != "" {
		wake = min(wake, max(now, c.nextFetch))
	}
	for _, name := range peers {
		if p := c.peers[name]; p != nil && c.needsPush(p) {
			wake = min(wake, max(now, p.nextPush))
		}
	}
	return wake
}

// push sends the rules and the list to the peers without rules.
func (c *Config) push(now time.Duration, peers []string) []bbmsg.Output {
	var outputs []bbmsg.Output
	for _, name := range peers {
		p := c.peers[name]
		if !c.needsPush(p) || now < p.nextPush {
			continue
		}
		p.nextPush = now + pushIntervals*c.settings.FetchInterval
		outputs = append(outputs, c.HandleFetch(name, bbmsg.Fetch{})...)
	}
	return outputs
}

// needsPush returns true for a peer that has reported to have no rules, if this node has some.
func (c *Config) needsPush(p *peer) bool {
	return p.hasReported && p.rules.revision == 0 && c.rules != nil
}

// keepPeers adds and removes peers to match the names.
func (c *Config) keepPeers(names []string) {
	for name := range c.peers {
		if _, ok := slices.BinarySearch(names, name); !ok {
			delete(c.peers, name)
		}
	}
	for _, name := range names {
		if c.peers[name] == nil {
			c.peers[name] = &peer{}
		}
	}
}

// updateReady sets ready once the node may serve requests.
func (c *Config) updateReady(now time.Duration) {
	if c.ready || !c.hasRulesAndList() {
		return
	}
	reported := 0
	behind := false
	for _, p := range c.peers {
		if p.hasReported {
			reported++
		}
		behind = behind || c.wantsRules(p)
	}
	enough := reported >= min(startPeers, c.listedPeers()) && !behind
	c.ready = enough || now >= c.startUntil
}

// listedPeers returns the number of other entry VMs in the list that aren't leaving.
func (c *Config) listedPeers() int {
	count := 0
	for _, m := range c.list.Members {
		if m.Role == bbmsg.RoleEntry && !m.Leaving && m.Name != c.settings.Self {
			count++
		}
	}
	return count
}

// hasRulesAndList returns true once there are both rules and a list.
func (c *Config) hasRulesAndList() bool {
	return c.rules != nil && c.list.Revision > 0
}

// nextPeer returns the peer to fetch from next, round-robin: one that has newer rules or a newer list or,
// while this node lacks either, any peer. It returns "" if there is none.
func (c *Config) nextPeer(peers []string) string {
	start, found := slices.BinarySearch(peers, c.lastFetchPeer)
	if found {
		start++
	}
	for i := range peers {
		name := peers[(start+i)%len(peers)]
		p := c.peers[name]
		if p != nil && (!c.hasRulesAndList() || c.wantsRules(p) || p.list > c.list.Revision) {
			return name
		}
	}
	return ""
}

// wantsRules returns true if a peer has rules that may supersede those in force here.
func (c *Config) wantsRules(p *peer) bool {
	return p.rules.supersedes(c.version()) && !c.isRefused(p.rules)
}

// fetchRequest returns the fetch to send to a peer. If the peer has a different text of the revision in
// force, that revision is requested again.
func (c *Config) fetchRequest(p *peer) bbmsg.Fetch {
	fetch := bbmsg.Fetch{
		RulesAfter: c.version().revision,
		ListAfter:  c.list.Revision,
	}
	if c.wantsRules(p) && p.rules.revision == fetch.RulesAfter {
		fetch.RulesAfter--
	}
	return fetch
}

func send(to string, envelope bbmsg.Envelope) bbmsg.Output {
	return bbmsg.Output{
		Send: &bbmsg.ToPeer{
			To:       to,
			Envelope: envelope,
		},
	}
}
