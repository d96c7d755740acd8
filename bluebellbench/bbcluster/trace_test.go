package bbcluster

import (
	"testing"
	"time"
)

// traceSpan is how long before and after a request over the cold capacity events are logged.
const traceSpan = 1500 * time.Millisecond

// logOverCold logs, for each request that an endpoint accepted over its cold capacity, the events of all
// entry VMs that concern the endpoint around that time.
func logOverCold(t *testing.T, c *Cluster) {
	t.Helper()
	events := c.Events()
	for name, e := range c.Fleet.Endpoints {
		for _, x := range e.Exchanges() {
			if !x.OverCold {
				continue
			}
			t.Logf("%s took %s stage %s attempt %s over its cold capacity at %v; it had shown that it is cold at %v",
				name, x.Request, x.Stage, x.Attempt, x.At.Format(time.StampMicro), x.ColdSignaledAt.Format(time.StampMicro))
			for _, v := range events {
				if v.Endpoint == name && v.Stamp.Wall().Sub(x.At).Abs() <= traceSpan {
					t.Logf("  %s %s %d %s stage %d attempt %d %s", v.Stamp.Wall().Format(time.StampMilli), v.Node, v.Number, v.Request, v.Stage, v.Attempt, v.Detail)
				}
			}
		}
	}
}
