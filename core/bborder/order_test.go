package bborder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

const (
	testSettle = 2 * time.Second
	testFormer = 10 * time.Second
	testShort  = 5 * time.Second
)

func row(name, model string, inFlight, queued int) Row {
	return Row{
		Rule: bbrule.Endpoint{Name: name, Model: model, WarmSlots: 4},
		Digest: bbmsg.EndpointDigest{
			Name:     name,
			State:    bbmsg.StateWarm,
			Model:    model,
			InFlight: inFlight,
			Queued:   queued,
		},
		Reported:  true,
		Owned:     true,
		SettledAt: testSettle,
	}
}

func view(rows ...Row) View {
	return View{
		Revision:  3,
		Confirmed: true,
		Owners:    2,
		Rate:      200,
		Models:    []bbrule.Model{{Name: "m", WeightBytes: 1000}, {Name: "n", WeightBytes: 1000}},
		Wanted:    []string{"m", "n"},
		Rows:      rows,
	}
}

func newTable() *Table {
	return New(Settings{Self: "a", FormerTime: testFormer, ShortTime: testShort})
}

// ordered returns the order among outputs as text, "" if there is none.
func ordered(outputs []bbmsg.Output) string {
	for _, o := range outputs {
		if o.Order != nil {
			return o.Order.Endpoint + " " + string(o.Order.Kind) + " " + o.Order.Argument
		}
	}
	return ""
}

func checkOrder(t *testing.T, outputs []bbmsg.Output, want string) {
	t.Helper()
	if diff := cmp.Diff(want, ordered(outputs)); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestAllowed(t *testing.T) {
	cases := []struct {
		name      string
		kind      bbmsg.OrderKind
		fencing   bool
		confirmed bool
		now       time.Duration
		want      bool
	}{
		{"load, fencing, at once", bbmsg.OrderLoad, true, false, 0, true},
		{"load, no fencing, before settled", bbmsg.OrderLoad, false, true, testSettle - 1, false},
		{"load, no fencing, unconfirmed", bbmsg.OrderLoad, false, false, testSettle, false},
		{"load, no fencing, settled", bbmsg.OrderLoad, false, true, testSettle, true},
		{"role, fencing, unconfirmed", bbmsg.OrderRole, true, false, testSettle, false},
		{"role, fencing, settled", bbmsg.OrderRole, true, true, testSettle, true},
		{"role, no fencing, former owner may act", bbmsg.OrderRole, false, true, testFormer - 1, false},
		{"role, no fencing, later", bbmsg.OrderRole, false, true, testFormer, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := row("e", "m", 0, 0)
			r.Rule.ChecksFencing = c.fencing
			v := view(r)
			v.Confirmed = c.confirmed
			if got := newTable().Allowed(c.now, v, r, c.kind); got != c.want {
				t.Errorf("allowed = %v, want %v", got, c.want)
			}
			r.Owned = false
			if newTable().Allowed(time.Hour, view(r), r, c.kind) {
				t.Error("allowed at an endpoint that is not owned")
			}
		})
	}
}

func TestFence(t *testing.T) {
	fenceOf := func(t *testing.T, table *Table, v View) int64 {
		t.Helper()
		outputs := table.Give(testSettle, v, v.Rows[0], bbmsg.OrderLoad, "m")
		if len(outputs) == 0 {
			t.Fatal("no order was given")
		}
		return outputs[0].Order.Fence
	}
	answer := func(table *Table, fence int64, accepted bool) []bbmsg.Output {
		return table.Result(bbmsg.OrderResult{
			Endpoint: "e",
			Fence:    fence,
			Accepted: accepted,
			Status:   409,
		})
	}
	t.Run("grows with each order and each list", func(t *testing.T) {
		table, v := newTable(), view(row("e", "m", 0, 0))
		first := fenceOf(t, table, v)
		answer(table, first, true)
		second := fenceOf(t, table, v)
		answer(table, second, true)
		v.Revision++
		third := fenceOf(t, table, v)
		if first >= second || second >= third {
			t.Errorf("fences = %d, %d, %d, want them to grow", first, second, third)
		}
	})
	t.Run("after refusals a restarted owner passes its earlier process, never a newer list", func(t *testing.T) {
		table, v := newTable(), view(row("e", "m", 0, 0))
		newer := (v.Revision + 1) << fenceBits
		earlier := v.Revision<<fenceBits + 5000
		for range 40 {
			fence := fenceOf(t, table, v)
			if fence >= newer {
				t.Fatalf("fence %d reaches those of the next list, from %d", fence, newer)
			}
			if fence > earlier {
				return
			}
			if answer(table, fence, false) == nil {
				t.Fatal("the refusal was not reported")
			}
		}
		t.Error("the fencing number of the earlier process was never passed")
	})
	t.Run("no order when the numbers of the list are exhausted", func(t *testing.T) {
		table, v := newTable(), view(row("e", "m", 0, 0))
		answer(table, fenceOf(t, table, v), true)
		table.counter = maxCounter
		if got := table.Give(testSettle, v, v.Rows[0], bbmsg.OrderLoad, "m"); got != nil {
			t.Errorf("an order was given: %+v", got)
		}
	})
	t.Run("one order at a time", func(t *testing.T) {
		table, v := newTable(), view(row("e", "m", 0, 0))
		fenceOf(t, table, v)
		if got := table.Give(testSettle, v, v.Rows[0], bbmsg.OrderLoad, "m"); got != nil {
			t.Errorf("a second order was given: %+v", got)
		}
	})
}

func TestLoad(t *testing.T) {
	run := func(v View, times ...time.Duration) []bbmsg.Output {
		table := newTable()
		var outputs []bbmsg.Output
		for _, now := range times {
			outputs = append(outputs, table.Tick(now, v)...)
		}
		return outputs
	}
	t.Run("an endpoint with no model loads its own, within the share of the rate", func(t *testing.T) {
		r := row("e", "m", 0, 0)
		r.Digest.Model = ""
		checkOrder(t, run(view(r), 0, 9*time.Second), "")
		checkOrder(t, run(view(r), 0, 10*time.Second), "e load m")
	})
	t.Run("an idle endpoint switches to a model that is short of capacity", func(t *testing.T) {
		busy, idle, other := row("a", "m", 4, 2), row("b", "n", 0, 0), row("c", "n", 1, 0)
		times := []time.Duration{0, 10 * time.Second, 12 * time.Second}
		checkOrder(t, run(view(busy, idle, other), times...), "b load m")
		other.Digest.InFlight = 3
		checkOrder(t, run(view(busy, idle, other), times...), "")
		other.Digest.InFlight = 1
		idle.Owned = false
		checkOrder(t, run(view(busy, idle, other), times...), "")
	})
	t.Run("the last endpoint of a model keeps it", func(t *testing.T) {
		v := view(row("a", "m", 4, 2), row("b", "n", 0, 0))
		checkOrder(t, run(v, 0, 10*time.Second, 12*time.Second), "")
	})
	t.Run("a short burst changes nothing", func(t *testing.T) {
		calm, burst := row("a", "m", 1, 0), row("a", "m", 4, 2)
		others := []Row{row("b", "n", 0, 0), row("c", "n", 1, 0)}
		table := newTable()
		table.Tick(0, view(append(others, calm)...))
		table.Tick(10*time.Second, view(append(others, burst)...))
		checkOrder(t, table.Tick(10*time.Second+testShort-1, view(append(others, burst)...)), "")
		checkOrder(t, table.Tick(10*time.Second+testShort, view(append(others, burst)...)), "b load m")
	})
	t.Run("two nodes with one view choose one endpoint", func(t *testing.T) {
		v := view(row("a", "m", 4, 2), row("b", "n", 0, 0), row("c", "n", 0, 0), row("d", "n", 0, 0))
		orders := 0
		for _, owned := range []string{"b", "c", "d"} {
			mine := v
			mine.Rows = nil
			for _, r := range v.Rows {
				r.Owned = r.Rule.Name == owned
				mine.Rows = append(mine.Rows, r)
			}
			if ordered(run(mine, 0, 10*time.Second, 20*time.Second)) != "" {
				orders++
			}
		}
		if orders != 1 {
			t.Errorf("%d nodes gave an order, want 1", orders)
		}
	})
}
