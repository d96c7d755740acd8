package bbnode

import (
	"time"

	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// maxSuspects bounds the contents that are watched.
const maxSuspects = 4096

// endpointDied notes that an endpoint died under a request and tells the peers.
func (n *Node) endpointDied(now time.Duration, r *bbhome.Record, endpoint string, others int) bbsuspect.Verdict {
	verdict, _, _ := n.suspects.Died(now, bbsuspect.Death{
		Fingerprint: r.Fingerprint,
		Endpoint:    endpoint,
		Others:      others,
	})
	for _, s := range n.suspects.Outbox() {
		n.tellSuspect(s)
	}
	return verdict
}

// survived clears content that went through a stage.
func (n *Node) survived(r *bbhome.Record) {
	n.suspects.Succeeded(n.now, r.Fingerprint)
}

// tellSuspect tells all peers that answer of content that kills endpoints.
func (n *Node) tellSuspect(s bbmsg.Suspect) {
	for _, name := range n.Members.AlivePeers() {
		n.send(name, bbmsg.Envelope{
			Suspect: &s,
		})
	}
}

// takeSuspect takes in what a peer tells of such content.
func (n *Node) takeSuspect(s bbmsg.Suspect) {
	n.suspects.Merge(n.now, s)
}
