package bbnode

import (
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbmsg"
)

// flowSeams connects the flow with the rest of the node.
func (n *Node) flowSeams() bbflow.Seams {
	return bbflow.Seams{
		Choose:     n.views.Choose,
		Peer:       n.peerState,
		Send:       n.sendAttempt,
		Closed:     n.views.Ended,
		Progress:   n.intake.Progress,
		End:        n.intake.End,
		Emit:       n.event,
		CanMake:    n.policy.CanMake,
		Split:      n.policy.Split,
		First:      n.policy.First,
		AllowRetry: n.policy.AllowRetry,
		HedgeDelay: n.policy.HedgeDelay,
		Observe:    n.policy.Observe,
		Died:       n.endpointDied,
		Survived:   n.survived,
	}
}

// sendAttempt passes a message of the flow on and counts attempts.
func (n *Node) sendAttempt(_ time.Duration, to string, e bbmsg.Envelope) {
	if e.Dispatch != nil {
		n.views.Sent(e.Dispatch)
	}
	n.send(to, e)
}
