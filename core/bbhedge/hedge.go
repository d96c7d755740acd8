// Package bbhedge decides when an idempotent request of a plain service whose answer is slow is also sent to
// a second endpoint. Each VM decides for its own requests, by what it has seen itself.
package bbhedge

import (
	"time"

	"bluebellhall/core/bballowance"
)

const (
	// delayQuantile and medianFactor are the defaults of Hedger. The bound matters where endpoints are slow
	// for more of the time than the quantile leaves out: the quantile then is the time of a slow answer.
	delayQuantile = 0.95
	medianFactor  = 1.6
	// minDelay is about a round trip between regions; an earlier hedge would seldom overtake the first
	// attempt.
	minDelay = 25 * time.Millisecond
	// unknownDelay times the objective is the delay while there are too few response times: a hedge then
	// still has half of the objective.
	unknownDelay = 0.5
	// minSamples is the number of response times that a quantile needs.
	minSamples = 10
	// sampleSpan is how long response times count. A VM may have only one request for a route in 2 s.
	sampleSpan = time.Minute
	// recentSpan and recentSamples delimit the response times that show the present load: those of the
	// last seconds, and at least so many.
	recentSpan    = 2 * time.Second
	recentSamples = 5
	// risenFactor is the ratio of the recent median to that of sampleSpan from which the endpoints count
	// as busy as a whole. Single slow endpoints don't move the median that far.
	risenFactor = 1.6
	// rejectionSpan is how long no request is hedged after an endpoint rejected one because it was full.
	rejectionSpan = 2 * time.Second
)

// Reason is why a request is not hedged.
type Reason string

// The reasons, as in metrics.
const (
	// Permitted requests may be hedged.
	Permitted Reason = ""
	// Rejections: an endpoint of the service was full lately.
	Rejections Reason = "rejections"
	// Slow: the response times of the service have risen as a whole.
	Slow Reason = "slow"
	// Share: the hedges have reached the operators' share of the requests.
	Share Reason = "share"
	// Allowance: what is left of the retry allowance is reserved for retries.
	Allowance Reason = "allowance"
	// NoEndpoint: no other endpoint may get the request.
	NoEndpoint Reason = "noEndpoint"
	// Suspect: the content of the request may have crashed endpoints.
	Suspect Reason = "suspect"
)

// Counts are the hedges of one service since the start.
type Counts struct {
	Sent int
	// Won hedges gave the answer for the caller. Lost ones were cancelled, or failed.
	Won, Lost int
	// Denied counts the requests that were slow and not hedged, by reason.
	Denied map[Reason]int
}

// service is what a VM has seen of one service.
type service struct {
	limiter limiter
	// all are the response times of all requests, slow ones that are cancelled included.
	all        times
	rejectedAt time.Duration
	rejected   bool
	counts     Counts
}

// key names the response times of a route at a service.
type key struct {
	service, route string
}

// Hedger decides on the hedges of one VM. It isn't safe for concurrent use.
type Hedger struct {
	// Quantile is the fraction of the response times of a route after which a request counts as slow.
	Quantile float64
	// MedianFactor times the median of these times bounds the delay.
	MedianFactor float64

	phase    float64
	services map[string]*service
	routes   map[key]*times
}

// NewHedger returns a hedger that has seen no requests. Phase, from 0 to 1, delays its first hedge by as many
// times the requests that earn one; it differs between VMs, so that those that start at the same time don't
// send their first hedges at the same time.
func NewHedger(phase float64) *Hedger {
	return &Hedger{
		phase:        phase,
		Quantile:     delayQuantile,
		MedianFactor: medianFactor,
		services:     make(map[string]*service),
		routes:       make(map[key]*times),
	}
}

// Request counts a request for a service. Share is the operators' bound on its hedges as a fraction of the
// requests.
func (h *Hedger) Request(now time.Duration, name string, share float64) {
	h.service(name).limiter.request(now, share)
}

// Answered records the response time of an attempt, or the time after which it was cancelled.
func (h *Hedger) Answered(now time.Duration, name, route string, took time.Duration) {
	h.service(name).all.add(now, took, sampleSpan)
	k := key{
		service: name,
		route:   route,
	}
	if h.routes[k] == nil {
		h.routes[k] = new(times)
	}
	h.routes[k].add(now, took, sampleSpan)
}

// Rejected records that a full endpoint rejected a request.
func (h *Hedger) Rejected(now time.Duration, name string) {
	s := h.service(name)
	s.rejected = true
	s.rejectedAt = now
}

// Delay returns the time after which a request of a route is slow enough for a hedge.
func (h *Hedger) Delay(now time.Duration, name, route string, objective time.Duration) time.Duration {
	if t := h.routes[key{service: name, route: route}]; t != nil {
		if list := t.latest(now, sampleSpan, 0, sampleSpan); len(list) >= minSamples {
			bound := time.Duration(h.MedianFactor * float64(quantile(list, 0.5)))
			return max(minDelay, min(bound, quantile(list, h.Quantile)))
		}
	}
	return max(minDelay, time.Duration(unknownDelay*float64(objective)))
}

// Check returns why a slow request must not be hedged now.
func (h *Hedger) Check(now time.Duration, name string, share float64, allowance *bballowance.Window) Reason {
	s := h.service(name)
	switch {
	case s.rejected && now-s.rejectedAt < rejectionSpan:
		return Rejections
	case s.risen(now):
		return Slow
	case !s.limiter.permits(now, share):
		return Share
	case allowance.Spare(now) < 1:
		return Allowance
	}
	return Permitted
}

// Take is as Check, and counts the hedge if it is permitted; the caller sends it then.
func (h *Hedger) Take(now time.Duration, name string, share float64, allowance *bballowance.Window) Reason {
	if reason := h.Check(now, name, share, allowance); reason != Permitted {
		return reason
	}
	if !allowance.TakeSpare(now) {
		return Allowance
	}
	s := h.service(name)
	s.limiter.take(now)
	s.counts.Sent++
	return Permitted
}

// Denied counts a slow request that was not hedged.
func (h *Hedger) Denied(name string, reason Reason) {
	s := h.service(name)
	if s.counts.Denied == nil {
		s.counts.Denied = make(map[Reason]int)
	}
	s.counts.Denied[reason]++
}

// Ended counts the end of a hedge that was sent.
func (h *Hedger) Ended(name string, won bool) {
	s := h.service(name)
	if won {
		s.counts.Won++
		return
	}
	s.counts.Lost++
}

// Counts returns the counts of each service.
func (h *Hedger) Counts() map[string]Counts {
	all := make(map[string]Counts, len(h.services))
	for name, s := range h.services {
		c := s.counts
		c.Denied = make(map[Reason]int, len(s.counts.Denied))
		for reason, n := range s.counts.Denied {
			c.Denied[reason] = n
		}
		all[name] = c
	}
	return all
}

// risen reports whether the response times have risen as a whole, which load does and a single slow endpoint
// doesn't.
func (s *service) risen(now time.Duration) bool {
	usual := s.all.latest(now, sampleSpan, 0, sampleSpan)
	recent := s.all.latest(now, recentSpan, recentSamples, sampleSpan)
	if len(usual) < minSamples || len(recent) < recentSamples {
		return false
	}
	return float64(quantile(recent, 0.5)) > risenFactor*float64(quantile(usual, 0.5))
}

func (h *Hedger) service(name string) *service {
	s := h.services[name]
	if s == nil {
		s = &service{
			limiter: limiter{
				credit: -h.phase,
			},
		}
		h.services[name] = s
	}
	return s
}
