// Package bbsupply lists the endpoints that may get work from a coordinator now, in the forms that its pools and
// its choice of engines need. A list is built only when the endpoints have changed.
package bbsupply

import (
	"time"

	"bluebellhall/core/bbplacement"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbregistry"
)

// Pace bounds the requests to endpoints that have named the rate that they take.
type Pace struct {
	// Rate returns the rate at which this coordinator may use an endpoint, in requests per second; false if the
	// endpoint has no limit.
	Rate func(endpoint string) (perSecond float64, limited bool)
	// AvailableAt returns when an endpoint takes one more request; 0 if it does now.
	AvailableAt func(endpoint string) time.Duration
	// Take counts a request to an endpoint.
	Take func(endpoint string)
}

// Hooks have what is known of endpoints.
type Hooks struct {
	// Endpoints returns the endpoints of a service that may get new work. The entries of a list are never
	// changed.
	Endpoints func(service string) []*bbregistry.Entry
	// BackoffUntil returns the end of the backoff that an endpoint has requested; 0 if there is none.
	BackoffUntil func(endpoint string) time.Duration
	// Pace returns the pace of endpoints with a limit.
	Pace func() Pace
}

// Supply lists endpoints.
type Supply struct {
	hooks Hooks
	// poolEntries has the entries from which the endpoints of each pool were listed, unless some of these were
	// restricted. engineLists has the last list of the engines of each service.
	poolEntries map[string][]*bbregistry.Entry
	engineLists map[string]engineList
}

// engineList is the list of engines derived from the entries of a service.
type engineList struct {
	entries []*bbregistry.Entry
	list    []bbplacement.Endpoint
}

const (
	// maxLists bounds the entries of each map.
	maxLists = 1000
	// maxEngineWait bounds the result of EngineWait: longer than callers wait.
	maxEngineWait = time.Minute
)

// New returns a supply without lists.
func New(h Hooks) *Supply {
	return &Supply{
		hooks:       h,
		poolEntries: make(map[string][]*bbregistry.Entry),
		engineLists: make(map[string]engineList),
	}
}

// Update sets the endpoints that the pool of a service may use.
func (s *Supply) Update(service string, p *bbpool.Pool) {
	entries := s.hooks.Endpoints(service)
	r := s.restrictionsOf(entries)
	unrestricted := len(r.unavailable) == 0 && len(r.rates) == 0
	if unrestricted && sameEntries(entries, s.poolEntries[service]) {
		return
	}
	delete(s.poolEntries, service)
	if unrestricted {
		if len(s.poolEntries) >= maxLists {
			clear(s.poolEntries)
		}
		s.poolEntries[service] = entries
	}
	list := make([]bbpool.Endpoint, 0, len(entries))
	p.LimitedCallsPerSecond = 0
	for _, e := range entries {
		rate, limited := r.rates[e.ID]
		p.LimitedCallsPerSecond += rate
		if !r.unavailable[e.ID] {
			list = append(list, bbpool.Endpoint{
				ID:      e.ID,
				Address: e.Address,
				Zone:    e.Zone,
				Born:    e.StartedMillis,
				Limited: limited,
			})
		}
	}
	p.AvailableAt = 0
	if len(list) == 0 {
		p.AvailableAt = r.end
	}
	p.SetEndpoints(list)
}

// restrictions tell which endpoints of a service take no calls now, or only some.
type restrictions struct {
	// unavailable are the endpoints that take no calls now, since they have requested backoff or named a limit,
	// and end is when the first of them takes calls again.
	unavailable map[string]bool
	end         time.Duration
	// rates has the rates of those that have named a limit, in calls per second.
	rates map[string]float64
}

// restrictionsOf returns the restrictions that endpoints have asked for.
func (s *Supply) restrictionsOf(entries []*bbregistry.Entry) restrictions {
	var r restrictions
	pace := s.hooks.Pace()
	for _, e := range entries {
		until := s.hooks.BackoffUntil(e.ID)
		if rate, limited := pace.Rate(e.ID); limited {
			if r.rates == nil {
				r.rates = make(map[string]float64)
			}
			r.rates[e.ID] = rate
			until = max(until, pace.AvailableAt(e.ID))
		}
		if until == 0 {
			continue
		}
		if r.unavailable == nil {
			r.unavailable = make(map[string]bool)
		}
		r.unavailable[e.ID] = true
		if r.end == 0 || until < r.end {
			r.end = until
		}
	}
	return r
}

// Engines returns the engines of a service that accept work.
func (s *Supply) Engines(service string) []bbplacement.Endpoint {
	entries := s.hooks.Endpoints(service)
	if last := s.engineLists[service]; sameEntries(entries, last.entries) {
		return last.list
	}
	list := make([]bbplacement.Endpoint, 0, len(entries))
	for _, e := range entries {
		list = append(list, bbplacement.Endpoint{
			ID:      e.ID,
			Address: e.Address,
			Zone:    e.Zone,
			Cold:    e.Cold > 0,
			Version: e.Version,
		})
	}
	if len(s.engineLists) >= maxLists {
		clear(s.engineLists)
	}
	s.engineLists[service] = engineList{
		entries: entries,
		list:    list,
	}
	return list
}

// EngineWait returns how long a new request waits for an engine because all engines of a service that it may use have
// named a limit; 0 if some haven't. It may use those of the given version, or all if that is empty. Waiting returns
// the number of requests that come before it.
func (s *Supply) EngineWait(service, version string, waiting func() int) time.Duration {
	perSecond := 0.0
	pace := s.hooks.Pace()
	for _, e := range s.hooks.Endpoints(service) {
		if version != "" && e.Version != version {
			continue
		}
		rate, limited := pace.Rate(e.ID)
		if !limited {
			return 0
		}
		perSecond += rate
	}
	if perSecond == 0 {
		return 0
	}
	return min(maxEngineWait, time.Duration(float64(waiting())/perSecond*float64(time.Second)))
}

// sameEntries reports whether two lists of entries are the same slice, so that a list derived from one of them
// holds for the other.
func sameEntries(a, b []*bbregistry.Entry) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}
