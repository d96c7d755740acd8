package bbnode

import (
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbstatus"
)

// Status returns the state of the node for operators.
func (n *Node) Status(now time.Duration) bbmsg.Status {
	s := bbmsg.Status{
		Node:         n.Settings.Self.Name,
		Incarnation:  n.Settings.Incarnation,
		Domain:       n.Settings.Self.Domain,
		Region:       n.Settings.Self.Region,
		Ready:        n.ready,
		Draining:     n.drain.Started(),
		UptimeMillis: now.Milliseconds(),
		Rules:        n.Config.Status(),
		Platform: bbmsg.PlatformStatus{
			Up:          n.platform.up,
			SinceMillis: (now - n.platform.since).Milliseconds(),
		},
	}
	bbstatus.Fill(&s, now, bbstatus.Sources{
		Members: n.Members,
		Home:    n.Home,
		Owner:   n.Owner,
		Index:   n.Index,
	})
	return s
}
