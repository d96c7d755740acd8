package bbcoordinator

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbjob"
)

// examinedWith returns how many items the coordinator examines for each of some further arrivals and ticks
// while a number of requests wait.
func examinedWith(waiting int) float64 {
	const arrivals = 100
	c := newTestCoordinator()
	long := func(id string) bbjob.Order {
		o := testOrder(id, 2)
		o.Objective = time.Hour
		o.Limit = 2 * time.Hour
		return o
	}
	for i := range waiting {
		c.Submit(0, long(fmt.Sprint("waiting", i)))
	}
	before := c.Status(0).Examined
	for i := range arrivals {
		now := time.Duration(i) * ms
		id := fmt.Sprint("arrival", i)
		c.Submit(now, long(id))
		c.Tick(now)
		c.Cancel(now, id)
	}
	return float64(c.Status(0).Examined-before) / arrivals
}

// A backlog must not make decisions dearer: a coordinator that takes longer for each input the more requests
// wait falls behind in a burst, and leaves the stage workers idle.
func TestCostOfAnInputDoesNotGrowWithTheBacklog(t *testing.T) {
	few, many := examinedWith(100), examinedWith(1600)

	if many > 4*few {
		t.Errorf("%.0f items are examined for an arrival with 1600 requests waiting, %.0f with 100; want at most four times as many", many, few)
	}
}
