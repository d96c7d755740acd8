package bbcompare

import (
	"time"

	"bluebellhall/bluebellbench/bbaudit"
	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbendpoint"
)

// Measures is what one side came to in one scenario.
type Measures struct {
	// Summary is the callers' view.
	Summary bbload.Summary
	// Seconds is the time in which requests were due.
	Seconds float64
	// Large and Small are the attainments of the first account and of all others.
	Large bbload.Attainment
	Small bbload.Attainment
	// Once counts the calls that run at most once. Doubled are those that ran more
	// often, Lost the requests answered without a run or ended without an outcome, False
	// the calls refused as not run that ran.
	AtMostOnce  int
	Doubled     int
	Lost        int
	FalseNotRun int
	// OverCold counts the requests over the capacity of a cold endpoint; Unwarned is
	// the part before the endpoint had shown that it is cold.
	OverCold         int64
	OverColdUnwarned int64
	// Crashes counts the ends of endpoint processes.
	Crashes int64
	// PrefixHits and PrefixLookups count the uses of the engines' prefix caches.
	PrefixHits    int64
	PrefixLookups int64
	// CrossBytes counts the bytes between regions, from callers over homes to endpoints.
	CrossBytes int64
	// Exchanges counts the requests at endpoints by service.
	Exchanges map[string]int
	// Quiet is how long after its going out the domain got its last new work; it is
	// negative when it got none.
	LastWorkDelay time.Duration
}

// Goodput returns the whole answers in time per second.
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

// measure computes what a side came to since start.
func measure(s *side, scenario Scenario, before baseCounts, start time.Time, results []bbload.Result) Measures {
	m := Measures{
		Summary:   bbload.Summarize(results),
		Seconds:   scenario.Duration.Seconds(),
		Exchanges: map[string]int{},
	}
	m.addAccounts(s.fleet.Rules.Accounts[0].Name)
	m.addCounts(s, before)
	m.addRuns(s, results)
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

// addRuns holds the callers' view against the records of runs.
func (m *Measures) addRuns(s *side, results []bbload.Result) {
	audit := bbaudit.Check(s.fleet, results)
	m.Doubled = audit.Doubled
	m.Lost = audit.Lost
	m.FalseNotRun = audit.FalseNotRun
	for _, r := range results {
		if r.Request.Once && !r.Unsent {
			m.AtMostOnce++
		}
	}
}

// addExchanges counts the work at endpoints and the bytes between regions.
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

// quiet returns how long after its going out the outage's domain got its last work.
func lastWorkDelay(s *side, out, back time.Time) time.Duration {
	// Work from before the outage has a time below that.
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

// outageDomain is the index in the rules of the failure domain that goes out.
const outageDomain = 1
