package bbconfig

import (
	"slices"
	"time"

	"bluebellhall/core/bbmsg"
)

// HearPeer takes in what a peer told with a probe or reply.
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

// HandleFetch answers a peer that asks for what is newer than it has.
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

// Tick returns queued events and the question that is due. peers holds the names of
// the other entry VMs that can be reached, sorted; what others said is forgotten.
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
	c.lastAsked = name
	c.nextFetch = now + c.settings.FetchInterval
	fetch := c.fetchRequest(c.peers[name])
	return append(outputs, send(name, bbmsg.Envelope{Fetch: &fetch}))
}

// NextWake returns when the next Tick is due if nothing happens before.
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

// push sends rules and list to the peers that have no rules.
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

// isEmpty returns true for a peer that said that it has no rules while there are some here.
func (c *Config) needsPush(p *peer) bool {
	return p.hasReported && p.rules.revision == 0 && c.rules != nil
}

// keepPeers makes the table of peers match the names.
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

// updateReady sets ready once the node may serve.
func (c *Config) updateReady(now time.Duration) {
	if c.ready || !c.hasRulesAndList() {
		return
	}
	heard := 0
	behind := false
	for _, p := range c.peers {
		if p.hasReported {
			heard++
		}
		behind = behind || c.wantsRules(p)
	}
	enough := heard >= min(startPeers, c.listedPeers()) && !behind
	c.ready = enough || now >= c.startUntil
}

// listedPeers returns how many other entry VMs the list names that are to stay.
func (c *Config) listedPeers() int {
	count := 0
	for _, m := range c.list.Members {
		if m.Role == bbmsg.RoleEntry && !m.Leaving && m.Name != c.settings.Self {
			count++
		}
	}
	return count
}

// hasAll returns true when there are rules and a list.
func (c *Config) hasRulesAndList() bool {
	return c.rules != nil && c.list.Revision > 0
}

// nextPeer returns whom to ask next, in turn after the one asked last: a peer that
// has something newer or, while something is missing, any. It returns "" for none.
func (c *Config) nextPeer(peers []string) string {
	start, found := slices.BinarySearch(peers, c.lastAsked)
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

// wantsRules returns true when a peer has rules that could come in force here.
func (c *Config) wantsRules(p *peer) bool {
	return p.rules.supersedes(c.version()) && !c.isRefused(p.rules)
}

// question returns what to ask a peer. Where it has another text of the revision in
// force, that revision is asked for again.
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
