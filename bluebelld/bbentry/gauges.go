package bbentry

import (
	"time"

	"bluebellhall/core/bbgossip"
)

// addGauges registers the gauges of this VM's state.
func (e *Entry) addGauges() {
	members := func(name string, read func(t *bbgossip.Table, now time.Duration) float64) {
		e.meter.Gauge(name, func() float64 {
			value := 0.0
			e.fleet.View(func(t *bbgossip.Table, now time.Duration) { value = read(t, now) })
			return value
		})
	}
	members("members.present", func(t *bbgossip.Table, now time.Duration) float64 { return float64(1 + len(t.Present(now))) })
	members("members.reachable", func(t *bbgossip.Table, now time.Duration) float64 { return float64(1 + len(t.Reachable(now))) })
	members("members.silentMs", func(t *bbgossip.Table, now time.Duration) float64 {
		return float64(t.LongestSilence(now).Milliseconds())
	})
	e.meter.Gauge("knowledge.version", func() float64 {
		_, version, _ := e.Knowledge.Ready()
		return float64(version)
	})
	e.meter.Gauge("knowledge.revision", func() float64 {
		_, _, revision := e.Knowledge.Ready()
		return float64(revision.Number)
	})
	e.meter.Gauge("knowledge.era", func() float64 {
		_, _, revision := e.Knowledge.Ready()
		return float64(revision.Era)
	})
	e.meter.Gauge("knowledge.storeAgeMs", func() float64 { return float64(e.Knowledge.StoreAge().Milliseconds()) })
	e.meter.Gauge("requests.open", func() float64 { return float64(e.Gateway.Open()) })
	e.meter.Gauge("requests.exchanges", func() float64 { return float64(e.Gateway.Exchanges()) })
	e.meter.Gauge("streams.records", func() float64 { return float64(e.streams.records.Len()) })
	e.meter.Gauge("streams.unsent", func() float64 { return float64(e.streams.records.Unsent()) })
	e.meter.Gauge("streams.handedOver", func() float64 { return float64(e.streams.handedOver.Load()) })
	suspects := func(watched, refused string, counts func() (watched, refused int)) {
		e.meter.Gauge("suspects."+watched, func() float64 {
			n, _ := counts()
			return float64(n)
		})
		e.meter.Gauge("suspects."+refused, func() float64 {
			_, n := counts()
			return float64(n)
		})
	}
	suspects("watched", "refused", e.quarantines.Contents.Counts)
	suspects("partsWatched", "partsRefused", e.quarantines.Parts.Counts)
	e.meter.Collect(e.collectServices)
}

// collectServices reports the gauges of each service and of the coordinator.
func (e *Entry) collectServices(show func(value float64, parts ...string)) {
	for service, c := range e.Knowledge.Counts() {
		show(float64(c.Listed), "endpoints", service, "listed")
		show(float64(c.Usable), "endpoints", service, "usable")
		show(float64(c.Cold), "endpoints", service, "cold")
	}
	for service, left := range e.Gateway.RepeatsLeft() {
		show(left, "requests", "repeatsLeft", service)
	}
	for service, c := range e.Gateway.Hedges() {
		show(float64(c.Sent), "hedges", service, "sent")
		show(float64(c.Won), "hedges", service, "won")
		show(float64(c.Lost), "hedges", service, "lost")
		for reason, n := range c.Denied {
			show(float64(n), "hedges", service, "denied", string(reason))
		}
	}
	for service, slowness := range e.Gateway.Slowness() {
		show(slowness.Mean(), "requests", "slowness", service, "mean")
		show(slowness.Max, "requests", "slowness", service, "max")
	}
	s := e.hub.Status()
	show(float64(s.Requests), "coordinator", "requests")
	show(float64(s.AwaitingEngine), "coordinator", "ungranted")
	show(float64(s.Examined), "coordinator", "examined")
	for service, n := range s.Waiting {
		show(float64(n), "coordinator", "waiting", service)
	}
	for account, n := range s.WaitingRequests {
		show(float64(n), "coordinator", "waitingRequests", account)
	}
	for service, slowness := range s.Slowness {
		show(slowness.Mean(), "coordinator", "slowness", service, "mean")
		show(slowness.Max, "coordinator", "slowness", service, "max")
	}
	for service, n := range s.Held {
		show(float64(n), "coordinator", "heldPieces", service)
	}
	for service, n := range s.OnProbation {
		show(float64(n), "coordinator", "onProbation", service)
	}
	for service, left := range s.RepeatBudgets {
		show(left, "coordinator", "repeatsLeft", service)
	}
}
