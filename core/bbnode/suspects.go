package bbnode

import (
	"strconv"
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// maxSuspects bounds the number of request contents whose endpoint crashes are recorded.
const maxSuspects = 4096

// endpointDied records that an endpoint crashed while it ran a request, and informs the peers.
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

// requestSucceeded clears a content whose request has passed its last stage, and informs the
// peers.
func (n *Node) requestSucceeded(r *bbhome.Record, sent time.Duration) {
	if n.suspects.RecordSuccess(n.now, r.Fingerprint, sent) {
		n.broadcastSuspect(n.now, r.Fingerprint)
	}
}

// broadcastSuspect sends all alive peers what is known of a content that may crash endpoints.
func (n *Node) broadcastSuspect(now time.Duration, fingerprint uint64) {
	s := n.suspects.Snapshot(now, fingerprint)
	for _, name := range n.Members.AlivePeers() {
		n.send(name, bbmsg.Envelope{
			Suspect: &s,
		})
	}
}

// handleSuspect merges what a peer knows of such a content.
func (n *Node) handleSuspect(s bbmsg.Suspect) {
	n.suspects.Merge(n.now, s)
}
