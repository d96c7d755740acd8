package bbcompare

import (
	"time"

	"bluebellhall/bluebellbench/bbaudit"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbendpoint"
)

// Measures has the results of one side in one scenario.
type Measures struct {
	// Summary is computed from the answers that callers got.
	Summary bbload.Summary
	// Seconds is the time over which the requests were spread.
	Seconds float64
	// Large is the deadline attainment of the first account, Small that of all others together.
	Large bbload.Attainment
	Small bbload.Attainment
	// AtMostOnce counts the calls that must not run more than once. DuplicateRuns counts those that did,
	// Lost the requests that were answered without a recorded run or ended without an outcome, FalseNotRun
	// the calls that ran although they were refused as not run.
	AtMostOnce    int
	DuplicateRuns int
	Lost          int
	FalseNotRun   int
	// OverCold counts the requests that endpoints accepted over their cold capacity; OverColdUnwarned is the
	// part before the endpoint had shown that it is cold.
	OverCold         int64
	OverColdUnwarned int64
	// Crashes counts the crashes of endpoint processes.
	Crashes int64
	// PrefixHits and PrefixLookups count the hits and lookups of the engines' prefix caches.
	PrefixHits    int64
	PrefixLookups int64
	// CrossBytes counts the bytes between regions, on the way from callers to homes and from homes to
	// endpoints, in both directions.
	CrossBytes int64
	// Exchanges counts the requests at endpoints by service.
	Exchanges map[string]int
	// LastWorkDelay is the time from the start of the outage until the domain last got new work before the end
	// of the outage; it is negative if it got none.
	LastWorkDelay time.Duration
}

// Goodput returns the number of complete answers within their deadlines per second.
func (m Measures) Goodput() float64 {
	return float64(m.Summary.InTime) / m.Seconds
}

// baseCounts holds the counts of endpoints by name at the start of a measurement.
type baseCounts map[string]bbendpoint.Counts

func countsOf(s *side) baseCounts {
	counts := baseCounts{}
	for name, e := range s.fleet.Endpoints {
		counts[name] = e.Counts()
	}
	return counts
}

// measure computes the results of a side from the start of the load.
func measure(s *side, scenario Scenario, before baseCounts, start time.Time, results []bbload.Result) Measures {
	m := Measures{
		Summary:   bbload.Summarize(results),
		Seconds:   scenario.Duration.Seconds(),
		Exchanges: map[string]int{},
	}
	m.addAccounts(s.fleet.Rules.Accounts[0].Name)
	m.addCounts(s, before)
	m.addAudit(s, results)
	m.addExchanges(s, start, results)
	if scenario.Outage != nil {
		m.LastWorkDelay = lastWorkDelay(s, start.Add(scenario.Outage.Start), start.Add(scenario.Outage.End))
	}
	return m
}

func (m *Measures) addAccounts(large string) {
	for name, a := range m.Summary.Accounts {
		group := &m.Small
		if name == large {
			group = &m.Large
		}
		group.Requests += a.Requests
		group.InTime += a.InTime
	}
}

func (m *Measures) addCounts(s *side, before baseCounts) {
	for name, e := range s.fleet.Endpoints {
		now, then := e.Counts(), before[name]
		m.OverCold += now.OverCold - then.OverCold
		m.OverColdUnwarned += now.OverColdUnwarned - then.OverColdUnwarned
		m.Crashes += now.Crashes - then.Crashes
		m.PrefixHits += now.PrefixHits - then.PrefixHits
		m.PrefixLookups += now.PrefixLookups - then.PrefixLookups
	}
}

// addAudit compares the outcomes that callers saw with the runs that the fake endpoints recorded.
func (m *Measures) addAudit(s *side, results []bbload.Result) {
	audit := bbaudit.Check(s.fleet, results)
	m.DuplicateRuns = audit.DuplicateRuns
	m.Lost = audit.Lost
	m.FalseNotRun = audit.FalseNotRun
	for _, r := range results {
		if r.Request.Once && !r.Unsent {
			m.AtMostOnce++
		}
	}
}

// addExchanges counts the requests at endpoints and the bytes between regions.
func (m *Measures) addExchanges(s *side, start time.Time, results []bbload.Result) {
	homes := map[string]string{}
	for _, r := range results {
		for _, id := range r.Reply.IDs {
			home := s.home(id, r.Request.Region)
			homes[bbaudit.EndpointID(id)] = home
			if home != r.Request.Region {
				m.CrossBytes += int64(len(r.Request.Body)) + answerBytes(r.Reply)
			}
		}
	}
	regions := map[string]string{}
	for _, d := range s.fleet.Rules.Domains {
		regions[d.Name] = d.Region
	}
	for _, e := range s.fleet.Rules.Endpoints {
		for _, x := range s.fleet.Endpoints[e.Name].Exchanges() {
			home, known := homes[x.Request]
			if x.At.Before(start) || !known {
				continue
			}
			m.Exchanges[e.Service]++
			if home != regions[e.Domain] {
				m.CrossBytes += x.BytesIn + x.BytesOut
			}
		}
	}
}

func answerBytes(p bbload.Reply) int64 {
	bytes := len(p.Body)
	for _, t := range p.Tokens {
		bytes += len(t)
	}
	return int64(bytes)
}

// lastWorkDelay returns the time from the start of an outage until the domain last got work before its end.
func lastWorkDelay(s *side, out, back time.Time) time.Duration {
	// Work from before the outage gives a smaller value and is ignored.
	last := time.Duration(-1)
	domain := s.fleet.Rules.Domains[outageDomain].Name
	for _, e := range s.fleet.Rules.Endpoints {
		if e.Domain != domain {
			continue
		}
		for _, x := range s.fleet.Endpoints[e.Name].Exchanges() {
			if x.At.Before(back) {
				last = max(last, x.At.Sub(out))
			}
		}
	}
	return last
}

// outageDomain is the index, in the rules, of the failure domain that an outage takes out of service.
const outageDomain = 1
