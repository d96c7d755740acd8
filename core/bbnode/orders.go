package bbnode

import (
	"sort"
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bborder"
	"bluebellhall/core/bbrule"
)

// orderInterval is the time between two evaluations of which models the endpoints have loaded.
const orderInterval = time.Second

// tickOrders issues the orders that are due.
func (n *Node) tickOrders() {
	if n.Index == nil || n.now < n.nextOrders {
		return
	}
	n.nextOrders = n.now + orderInterval
	n.emit(n.orders.Tick(n.now, n.orderView()))
}

// handleOrderResult processes an endpoint's answer to an order.
func (n *Node) handleOrderResult(r bbmsg.OrderResult) {
	n.emit(n.orders.Result(r))
}

// orderView collects the state from which orders are decided.
func (n *Node) orderView() bborder.View {
	v := bborder.View{
		Revision:  n.Members.Revision(),
		Confirmed: n.Members.Confirmed(n.now),
		Owners:    max(1, n.activeEntries()),
		Rate:      n.Index.Set.Limits.WeightStoreRate,
		Models:    n.Index.Set.Models,
		Wanted:    bborder.WantedModels(n.Index.Set),
	}
	for i := range n.Index.Set.Endpoints {
		e := &n.Index.Set.Endpoints[i]
		if n.Index.Services[e.Service].Kind == bbrule.KindEngine {
			v.Rows = append(v.Rows, n.orderRow(e))
		}
	}
	sort.Slice(v.Rows, func(i, j int) bool { return v.Rows[i].Rule.Name < v.Rows[j].Rule.Name })
	return v
}

// orderRow returns the state of one engine endpoint.
func (n *Node) orderRow(e *bbrule.Endpoint) bborder.Row {
	row := bborder.Row{
		Rule: *e,
	}
	row.Digest, _, _ = n.views.Digest(n.now, e.Name)
	own := n.Owner.Endpoints[e.Name]
	if own == nil || !own.Owned {
		return row
	}
	row.Digest, row.Owned = n.Owner.Digest(n.now, e.Name)
	row.OwnedSince = own.SettledAt - n.Settings.Times.SettleTime
	row.SettledAt = own.SettledAt
	row.Reported = own.Boot != 0
	return row
}

// activeEntries returns the number of entry VMs in the list that are not leaving.
func (n *Node) activeEntries() int {
	count := 0
	for _, m := range n.Members.List().Members {
		if m.Role == bbmsg.RoleEntry && !m.Leaving {
			count++
		}
	}
	return count
}
