package bbnode

import (
	"time"

	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
)

// treatment tells how a request is run.
type treatment int

const (
	treatNormal treatment = iota
	// treatAlone runs it only on an otherwise empty endpoint.
	treatAlone
	// treatRefuse does not run it.
	treatRefuse
)

func (p *policy) treat(_ time.Duration, _ uint64) treatment { return treatNormal }

func (n *Node) takeSuspect(_ bbmsg.Suspect) {}

func (n *Node) endpointDied(_ time.Duration, _ *bbhome.Record, _ string, _ int) bool { return false }

func (n *Node) survived(_ *bbhome.Record) {}

func (n *Node) takeOrderResult(_ bbmsg.OrderResult) {}
