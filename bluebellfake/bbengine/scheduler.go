package bbengine

import (
	"slices"
	"sync"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
)

// stream is one completion at work.
type stream struct {
	// priority orders the waiting streams, 0 first; sequence breaks ties.
	priority int
	sequence uint64
	// prefill is how many bytes of prompt are still to be taken in.
	prefill int
	// next is the index of the next token and end the index after the last.
	next, end int
	// tokens gets the indexes of the tokens; its buffer holds them all.
	tokens chan int
	// gone is closed when the caller went away, ended when the process ends.
	callerDone, processDone <-chan struct{}
}

func (s *stream) stopped() bool {
	select {
	case <-s.callerDone:
		return true
	case <-s.processDone:
		return true
	default:
		return false
	}
}

// scheduler runs the batch: each step adds one token to every running stream.
type scheduler struct {
	settings Settings
	endpoint *bbendpoint.Endpoint
	// wake has room for one entry and gets it when work arrives.
	wake chan struct{}
	done chan struct{}

	mu       sync.Mutex
	sequence uint64
	// waiting is in the order of admission, running has at most WarmSlots entries.
	waiting []*stream
	running []*stream
}

func newScheduler(s Settings, endpoint *bbendpoint.Endpoint) *scheduler {
	c := &scheduler{
		settings: s,
		endpoint: endpoint,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	go c.loop()
	return c
}

func (c *scheduler) stop() {
	close(c.done)
}

// add queues a stream; the endpoint's admission bounds their number.
func (c *scheduler) add(s *stream) {
	c.mu.Lock()
	c.sequence++
	s.sequence = c.sequence
	at, _ := slices.BinarySearchFunc(c.waiting, s, compareStreams)
	c.waiting = slices.Insert(c.waiting, at, s)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func compareStreams(a, b *stream) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return int(int64(a.sequence) - int64(b.sequence))
}

func (c *scheduler) loop() {
	for {
		step := c.plan()
		if step == 0 {
			select {
			case <-c.wake:
			case <-c.done:
				return
			}
			continue
		}
		if !c.sleep(step) {
			return
		}
		c.advance()
	}
}

// plan fills the batch and returns the time of the next step, 0 without work.
func (c *scheduler) plan() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(c.running, (*stream).stopped)
	c.waiting = slices.DeleteFunc(c.waiting, (*stream).stopped)
	prefill := 0
	for len(c.running) < c.settings.Endpoint.WarmSlots && len(c.waiting) > 0 {
		s := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.running = append(c.running, s)
		prefill += s.prefill
	}
	if len(c.running) == 0 {
		return 0
	}
	step := c.settings.BaseStep
	step += time.Duration(len(c.running)) * c.settings.StreamStep
	step += c.settings.PrefillKilobyte * time.Duration(prefill) / 1024
	return max(time.Duration(float64(step)*c.endpoint.SlowdownFactor()), 1)
}

// batch returns the number of streams that run or wait.
func (c *scheduler) streamCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running) + len(c.waiting)
}

// sleep lasts for a step and all pauses that fall into it.
func (c *scheduler) sleep(d time.Duration) bool {
	for d > 0 {
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-c.done:
			timer.Stop()
			return false
		}
		d = c.endpoint.PauseLeft()
	}
	return true
}

// advance hands out one token of each running stream.
func (c *scheduler) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = slices.DeleteFunc(c.running, func(s *stream) bool {
		if s.next < s.end {
			s.tokens <- s.next
			s.next++
		}
		if s.next < s.end {
			return false
		}
		close(s.tokens)
		return true
	})
}
