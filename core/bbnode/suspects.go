package bbnode

import (
	"strconv"
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// maxSuspects bounds the contents that are watched.
const maxSuspects = 4096

// endpointDied notes that an endpoint died under a request and tells the peers.
func (n *Node) endpointDied(now time.Duration, r *bbhome.Record, stage int, a bbflow.Attempt, others int) bbsuspect.Verdict {
	verdict, noted := n.suspects.RecordLoss(now, r.Fingerprint, bbsuspect.Run{
		ID:       bbsuspect.RunID(r.ID, strconv.Itoa(stage)+"."+strconv.Itoa(a.Number)),
		Endpoint: a.Endpoint,
		Began:    a.Sent,
		Ended:    now,
		Alone:    others == 0,
	})
	if noted {
		n.broadcastSuspect(now, r.Fingerprint)
	}
	return verdict
}

// survived clears content that went through its last stage.
func (n *Node) survived(r *bbhome.Record, sent time.Duration) {
	if n.suspects.RecordSuccess(n.now, r.Fingerprint, sent) {
		n.broadcastSuspect(n.now, r.Fingerprint)
	}
}

// tellSuspect tells all peers that answer what is known of a content that kills endpoints.
func (n *Node) broadcastSuspect(now time.Duration, fingerprint uint64) {
	s := n.suspects.Snapshot(now, fingerprint)
	for _, name := range n.Members.AlivePeers() {
		n.send(name, bbmsg.Envelope{
			Suspect: &s,
		})
	}
}

// takeSuspect takes in what a peer tells of such content.
func (n *Node) handleSuspect(s bbmsg.Suspect) {
	n.suspects.Merge(n.now, s)
}
