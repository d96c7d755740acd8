package bbplain

import (
	"math"
	"math/rand/v2"
	"time"

	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

const (
	// defaultWork is the time of a request at an endpoint until one has been measured.
	defaultWork = 50 * time.Millisecond
	// workWeight is the weight of the newest answer in the average of a service, after as many answers as it takes
	// for a plain mean to have that weight. It is small, because requests for a service differ.
	workWeight = 0.02
	// slownessWeight is the weight of the newest answer in the average slowness of an endpoint. With 0.3, requests
	// of different length made endpoints look different, and more requests went to other regions.
	slownessWeight = 0.1
	// minWork bounds the part of an answer's time that counts as work, which is what the distance leaves over.
	minWork = time.Millisecond
	// riseWeight is how far the fastest answer of a failure domain rises towards each slower one, so that it follows
	// the network. Together with an immediate fall it stays near the fastest tenth of the answers.
	riseWeight = 0.02
	// maxDistance bounds the distance of a failure domain: more than a round trip around the world.
	maxDistance = 500 * time.Millisecond
	// defaultPlaces are the requests that run at once at an endpoint that has not stated it.
	defaultPlaces = 6
	// equalCost is the ratio of costs up to which endpoints count as equal. One of two random ones of these is
	// chosen, since other VMs have nearly the same view and would all choose the same best one.
	equalCost = 1.2
	// summaryPeriod is how long an endpoint without answers is still in the metrics.
	summaryPeriod = time.Minute
	// maxServices bounds the table of services.
	maxServices = 1000
)

// Answer is what an answer shows of its endpoint.
type Answer struct {
	// Process is the process that answered.
	Process bbstanding.Process
	// Good is true for a complete answer that isn't a server error. Of others, only the load is used: they may take
	// less time than the request.
	Good bool
	// Took is the time from the start of the connection to the head of the answer.
	Took time.Duration
	Load bbspeed.Report
}

// service has the measurements of a service.
type service struct {
	// work is the average time of requests without the distance, over a number of answers.
	work    float64
	answers float64
	// fastest has the time of fast answers by failure domain, which differ by the distance.
	fastest map[string]time.Duration
}

// Answered records an answer of an endpoint.
func (c *Chooser) Answered(now time.Duration, name string, e Endpoint, a Answer) {
	r := c.record(e.ID)
	r.service, r.answeredAt = name, now
	r.setProcess(e.Born)
	if a.Process.Born != r.born {
		return
	}
	if a.Load.Valid {
		r.speed.Report(now, a.Load)
		r.load, r.loadAt = a.Load, now
	}
	if !a.Good || a.Took <= 0 {
		return
	}
	s := c.service(name)
	fastest, ok := s.fastest[e.Zone]
	if !ok || a.Took < fastest {
		fastest = a.Took
	}
	s.fastest[e.Zone] = fastest + time.Duration(riseWeight*float64(a.Took-fastest))
	work := float64(max(minWork, a.Took-s.distance(e, Location{})))
	r.speed.Measure(now, work/s.usualWork(), slownessWeight)
	s.answers++
	s.work += (work - s.work) * max(workWeight, 1/s.answers)
}

// ChooseMeasured is as Choose, with a cost from what this VM has measured of the service and what the endpoints
// report: the time of a request there, longer the more are in progress, and the distance.
func (c *Chooser) ChooseMeasured(now time.Duration, name string, list []Endpoint, from Location, avoid map[string]bool) (Endpoint, bool) {
	s := c.service(name)
	costs := make([]time.Duration, len(list))
	least := time.Duration(math.MaxInt64)
	for i, e := range list {
		r := c.record(e.ID)
		r.setProcess(e.Born)
		costs[i] = math.MaxInt64
		if avoid[e.ID] || r.health.Paused(now) {
			continue
		}
		costs[i] = c.measuredCost(now, s, r, e, from)
		least = min(least, costs[i])
	}
	if least == math.MaxInt64 {
		return Endpoint{}, false
	}
	var equal []int
	for i, cost := range costs {
		if float64(cost) <= equalCost*float64(least) {
			equal = append(equal, i)
		}
	}
	chosen := c.drawTwo(equal, costs)
	c.record(list[chosen].ID).inFlight++
	return list[chosen], true
}

// Slowness returns the estimated slowness of the endpoints that have answered in the last minute, by service.
func (c *Chooser) Slowness(now time.Duration) map[string]bbspeed.Summary {
	services := make(map[string]bbspeed.Summary)
	for _, r := range c.records {
		if r.service != "" && now-r.answeredAt < summaryPeriod {
			s := services[r.service]
			s.Add(r.speed.Current(now))
			services[r.service] = s
		}
	}
	return services
}

// drawTwo returns the cheaper of two random elements of a list. They may be the same one, so that of only two elements
// the dearer one is returned too.
func (c *Chooser) drawTwo(list []int, costs []time.Duration) int {
	draw := c.IntN
	if draw == nil {
		draw = rand.IntN
	}
	first, second := list[draw(len(list))], list[draw(len(list))]
	if costs[second] < costs[first] {
		return second
	}
	return first
}

func (c *Chooser) measuredCost(now time.Duration, s *service, r *record, e Endpoint, from Location) time.Duration {
	work := s.usualWork() * r.speed.Current(now)
	places := defaultPlaces
	if r.load.Places > 0 {
		places = r.load.Places
	}
	inProgress := max(float64(r.inFlight), bbspeed.Weight(now-r.loadAt)*float64(r.load.Running+r.load.Waiting))
	// A request that finds a free place isn't delayed by the others: counting them sent requests to other regions
	// for no gain.
	work *= max(1, (inProgress+1)/float64(places))
	cost := time.Duration(work) + s.distance(e, from)
	if r.full && now-r.fullAt < fullPenalty {
		cost += fullPenalty
	}
	return cost + time.Duration(r.health.Failures(now)*float64(failureCost))
}

// usualWork returns the average time of a request at an endpoint.
func (s *service) usualWork() float64 {
	if s.answers == 0 {
		return float64(defaultWork)
	}
	return s.work
}

// distance returns how much longer answers take from an endpoint's failure domain than from the nearest one, or an
// estimate if there were none from it.
func (s *service) distance(e Endpoint, from Location) time.Duration {
	fastest, ok := s.fastest[e.Zone]
	if !ok {
		return defaultDistance(e, from)
	}
	nearest := fastest
	for _, other := range s.fastest {
		nearest = min(nearest, other)
	}
	return min(maxDistance, fastest-nearest)
}

func (c *Chooser) service(name string) *service {
	s := c.services[name]
	if s == nil {
		if len(c.services) >= maxServices {
			clear(c.services)
		}
		s = &service{
			fastest: make(map[string]time.Duration),
		}
		c.services[name] = s
	}
	return s
}

// setProcess sets the start of the endpoint's process. The reports of the process before it are discarded.
func (r *record) setProcess(born int64) {
	if r.born != born {
		r.born = born
		r.load = bbspeed.Report{}
		r.speed.DropReport()
	}
}
