package bbserver

import (
	"sync"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
)

// loop runs the core: it gathers inputs, ticks when one arrives or a timer is due,
// and performs the outputs. Only its goroutine touches the core.
type loop struct {
	node  *bbnode.Node
	start time.Time
	// inputs waits for the core; producers wait when it is full.
	inputs chan bbmsg.Input
	// perform carries out an output of a tick that began at a given time. It never
	// waits.
	perform func(o bbmsg.Output, began time.Time)
	// observed is called after each tick with its duration and number of inputs.
	recordTick func(took time.Duration, inputs int)
	// paused, when set, holds the loop; it serves tests of a paused process.
	paused func() <-chan struct{}

	// clock is shared with the links, which observe the stamps of peers.
	clock *sharedClock

	mu     sync.Mutex
	status bbmsg.Status
	stop   chan struct{}
	done   chan struct{}
}

const (
	// inputQueue bounds the inputs that wait for the core.
	inputQueueSize = 4096
	// maxInputs bounds the inputs of one tick.
	maxInputs = 256
	// longestSleep bounds the time between two ticks.
	longestSleep = 250 * time.Millisecond
	// statusInterval is how often the status is renewed at the most.
	statusInterval = 100 * time.Millisecond
)

// sharedClock is the hybrid logical clock of the process.
type sharedClock struct {
	mu    sync.Mutex
	clock bbevent.Clock
}

// next returns a new stamp.
func (c *sharedClock) next() bbevent.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Next(time.Now())
}

// observe takes in the stamp of a peer.
func (c *sharedClock) observe(s bbevent.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(s)
}

// input passes something to the core. After the end of the loop it is dropped.
func (l *loop) input(i bbmsg.Input) {
	select {
	case l.inputs <- i:
	case <-l.done:
	}
}

// run ticks until the loop is stopped.
func (l *loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var statusAt time.Duration
	for {
		batch, ok := l.gather(timer)
		if !ok {
			return
		}
		l.waitWhilePaused()
		began := time.Now()
		now := began.Sub(l.start)
		outputs := l.node.Tick(now, batch)
		for _, o := range outputs {
			l.perform(o, began)
		}
		l.recordTick(time.Since(began), len(batch))
		if now >= statusAt {
			l.setStatus(l.node.Status(now))
			statusAt = now + statusInterval
		}
		timer.Reset(l.sleep())
	}
}

// close ends the loop and waits for it.
func (l *loop) close() {
	close(l.stop)
	<-l.done
}

// hold waits while the process is to stand still.
func (l *loop) waitWhilePaused() {
	if l.paused == nil {
		return
	}
	if c := l.paused(); c != nil {
		<-c
	}
}

// sleep returns the time until the next tick without an input.
func (l *loop) sleep() time.Duration {
	due := l.node.NextWake() - time.Since(l.start)
	return min(max(due, 0), longestSleep)
}

// gather waits for an input or the timer and returns what has come.
func (l *loop) gather(timer *time.Timer) ([]bbmsg.Input, bool) {
	var batch []bbmsg.Input
	select {
	case <-l.stop:
		return nil, false
	case <-timer.C:
	case i := <-l.inputs:
		batch = append(batch, i)
	}
	for len(batch) < maxInputs {
		select {
		case i := <-l.inputs:
			batch = append(batch, i)
		default:
			return batch, true
		}
	}
	return batch, true
}

// setStatus keeps a status for readers.
func (l *loop) setStatus(s bbmsg.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = s
}

// getStatus returns the newest status.
func (l *loop) getStatus() bbmsg.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}
