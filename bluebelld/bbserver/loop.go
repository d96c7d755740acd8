package bbserver

import (
	"sync"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
)

// loop drives the core: it collects inputs, ticks when one arrives or a timer is due, and
// executes the outputs. Only its goroutine uses the core.
type loop struct {
	node  *bbnode.Node
	start time.Time
	// inputs queues inputs for the core; senders block while it is full.
	inputs chan bbmsg.Input
	// perform executes an output of the tick that began at the given time. It must not
	// block.
	perform func(o bbmsg.Output, began time.Time)
	// recordTick is called after each tick with its duration and number of inputs.
	recordTick func(took time.Duration, inputs int)
	// paused is Hooks.Paused; nil means never.
	paused func() <-chan struct{}

	// clock is shared with the links, which stamp what they send and observe the stamps of
	// messages from peers.
	clock *sharedClock

	mu     sync.Mutex
	status bbmsg.Status
	stop   chan struct{}
	done   chan struct{}
}

const (
	// inputQueueSize bounds the inputs that wait for the core.
	inputQueueSize = 4096
	// maxInputs bounds the inputs of one tick.
	maxInputs = 256
	// longestSleep bounds the wait between two ticks.
	longestSleep = 250 * time.Millisecond
	// statusInterval is the shortest time between two updates of the stored status.
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

// observe advances the clock to the stamp of a peer.
func (c *sharedClock) observe(s bbevent.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(s)
}

// input queues an input for the core and blocks while the queue is full. After the end of the
// loop inputs are dropped.
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

// close stops the loop and waits until its goroutine has ended.
func (l *loop) close() {
	close(l.stop)
	<-l.done
}

// waitWhilePaused blocks until a pause that the test has requested ends.
func (l *loop) waitWhilePaused() {
	if l.paused == nil {
		return
	}
	if c := l.paused(); c != nil {
		<-c
	}
}

// sleep returns how long to wait for an input before the next tick.
func (l *loop) sleep() time.Duration {
	due := l.node.NextWake() - time.Since(l.start)
	return min(max(due, 0), longestSleep)
}

// gather waits for an input or the timer and returns the queued inputs, at most maxInputs. It
// returns false when the loop is to stop.
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

// setStatus stores a status for readers in other goroutines.
func (l *loop) setStatus(s bbmsg.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = s
}

// getStatus returns the stored status.
func (l *loop) getStatus() bbmsg.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}
