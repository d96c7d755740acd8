package bbnode

import (
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbmsg"
)

// flowHooks returns the functions of the node that the flow calls.
func (n *Node) flowHooks() bbflow.Hooks {
	return bbflow.Hooks{
		Choose:           n.views.Choose,
		Peer:             n.peerState,
		Send:             n.sendAttempt,
		AttemptClosed:    n.views.AttemptEnded,
		Progress:         n.intake.Progress,
		End:              n.intake.End,
		Emit:             n.event,
		CanMeetDeadline:  n.policy.CanMeetDeadline,
		SplitBudget:      n.policy.Split,
		FirstAttempt:     n.policy.First,
		AllowRetry:       n.policy.AllowRetry,
		HedgeDelay:       n.policy.HedgeDelay,
		ObserveDuration:  n.policy.Observe,
		EndpointDied:     n.endpointDied,
		RequestSucceeded: n.requestSucceeded,
	}
}

// sendAttempt sends a message of the flow and counts the attempts.
func (n *Node) sendAttempt(_ time.Duration, to string, e bbmsg.Envelope) {
	if e.Dispatch != nil {
		n.views.AttemptSent(e.Dispatch)
	}
	n.send(to, e)
}
