// Package bbhub drives the coordinator of a VM: it carries out the coordinator's decisions and passes
// their outcome to the waiting orders.
package bbhub

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

const (
	// releaseTimeout bounds a call that frees results; results that are not freed expire.
	releaseTimeout = time.Second
	// failedTickDelay is the time until the coordinator's timer work is tried again after a panic in
	// it: long enough that a repeated panic doesn't flood the log.
	failedTickDelay = 200 * time.Millisecond
	// callSlack is how much longer a call may take than the longest time limit of its requests.
	callSlack = 500 * time.Millisecond
	// maxCallDelay bounds the time from the decision of a call to its sending. A call that was held up for longer, for
	// instance by a freeze of this VM, is not sent: the endpoint may be gone or out by then.
	maxCallDelay = 500 * time.Millisecond
	// notableDelay is the delay of the timer work from which it is logged, at most once in delayLogPeriod.
	notableDelay   = 50 * time.Millisecond
	delayLogPeriod = time.Second
)

// Piece is one piece of a stage in a call to an endpoint.
type Piece struct {
	Job   string
	Stage int
	Piece int
	// Key is set for pieces that need no results, Inputs for all others.
	Key    string
	Inputs []string
	// Left is the time until the request's deadline.
	Left time.Duration
}

// CallResult is the outcome of a call.
type CallResult struct {
	// Results are in the order of the pieces; there are none unless the outcome is good.
	Results []bbdecision.PieceResult
	Outcome bbhealth.Outcome
	// Process is the process of the endpoint that the call was sent to.
	Process bbstanding.Process
	// Signal is what the endpoint reported of itself. The hub passes the load on to the coordinator; the RunPieces
	// hook records the rest.
	Signal bbstanding.Signal
}

// Hooks are the side effects and the clock of a hub.
type Hooks struct {
	// Now returns the monotonic time.
	Now func() time.Duration
	// RunPieces makes a call and returns the results in the order of the pieces.
	RunPieces func(ctx context.Context, address, endpoint string, pieces []Piece) CallResult
	// FreeResults notifies an endpoint that results are no longer needed.
	FreeResults func(ctx context.Context, address string, handles []string)
	// Zone returns the failure domain of an endpoint.
	Zone func(endpoint string) string
	// Late records how much later than planned the coordinator's timer work ran; nil ignores it.
	Late func(delay time.Duration)
	// Log records an event.
	Log func(e bbdecision.Event)
}

// Hub drives one coordinator.
type Hub struct {
	hooks Hooks

	mu          sync.Mutex
	coordinator *bbcoordinator.Coordinator
	// waiters has the undecided orders by their IDs.
	waiters map[string]waiter
	timer   *time.Timer
	// due is when the timer fires; 0 if it is not set.
	due time.Duration
	// longestDelay is the longest delay of the timer work since delayLoggedAt, examinedBefore the count of
	// Status.Examined when a delay was last logged.
	longestDelay, delayLoggedAt time.Duration
	examinedBefore              uint64
}

// waiter is an order that waits for its verdict.
type waiter struct {
	updates chan bbjob.Update
	// arrived is when the order arrived.
	arrived time.Duration
}

// New returns a hub and its clean-up function.
func New(c *bbcoordinator.Coordinator, hooks Hooks) (*Hub, func()) {
	if hooks.Late == nil {
		hooks.Late = func(time.Duration) {}
	}
	h := &Hub{
		hooks:       hooks,
		coordinator: c,
		waiters:     make(map[string]waiter),
	}
	h.timer = time.AfterFunc(time.Hour, h.tick)
	return h, func() { h.timer.Stop() }
}

// maxUpdates bounds the updates that are queued for an order, its verdict included. Further ones are
// dropped, and the results in them are computed again if this coordinator is lost.
const maxUpdates = 128

// Order submits an order to the coordinator and passes on its updates until the verdict. When the
// context ends first, the order is cancelled.
func (h *Hub) Order(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
	c := make(chan bbjob.Update, maxUpdates)
	arrived := h.hooks.Now()
	if err := h.do("submit "+o.ID, func() bbdecision.Output {
		h.waiters[o.ID] = waiter{
			updates: c,
			arrived: arrived,
		}
		return h.coordinator.Submit(h.hooks.Now(), o)
	}); err != nil {
		h.removeWaiter(o.ID)
		return err
	}
	for {
		select {
		case u := <-c:
			if err := pass(u); err != nil || u.Verdict != nil {
				return err
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	if err := h.do("cancel "+o.ID, func() bbdecision.Output {
		if h.waiters[o.ID].updates != c {
			return bbdecision.Output{}
		}
		delete(h.waiters, o.ID)
		return h.coordinator.Cancel(h.hooks.Now(), o.ID)
	}); err != nil {
		return err
	}
	return ctx.Err()
}

// removeWaiter removes the channel of an order that is no longer waited for.
func (h *Hub) removeWaiter(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, id)
}

// do runs a step of the coordinator and carries out its decisions. A panic ends the step and is
// logged; the VMs of origin refuse the requests that it left undecided before their deadlines.
func (h *Hub) do(what string, decide func() bbdecision.Output) (err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer func() {
		if v := recover(); v != nil {
			err = errors.Newf("unexpected error: %v", v)
			h.hooks.Log(bbdecision.Event{
				Number: bbevent.HandlerFailed,
				Detail: fmt.Sprintf("%s: %v\n%s", what, v, debug.Stack()),
			})
		}
	}()
	// What follows the decision, also a freeze of this VM, counts as transit of the grants in it.
	decided := h.hooks.Now()
	h.apply(decided, decide())
	return nil
}

// Leave hands all requests back, to be sent to the next coordinator.
func (h *Hub) Leave() {
	// do has logged a failure.
	_ = h.do("leave", h.coordinator.Leave)
}

// CatalogChanged has the coordinator take over a new configuration.
func (h *Hub) CatalogChanged() {
	// do has logged a failure.
	_ = h.do("new configuration", func() bbdecision.Output { return h.coordinator.CatalogChanged(h.hooks.Now()) })
}

// Resume accepts orders again after Leave.
func (h *Hub) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coordinator.Resume()
}

// LoadEstimate returns the coordinator's estimate of the load of its cell.
func (h *Hub) LoadEstimate() bbcell.LoadEstimate {
	var o bbcell.LoadEstimate
	// do has logged a failure.
	_ = h.do("outlook", func() bbdecision.Output {
		o = h.coordinator.LoadEstimate(h.hooks.Now())
		return bbdecision.Output{}
	})
	return o
}

// ReportLoad passes the load on that the process of an endpoint stated in an answer other than that to a call.
func (h *Hub) ReportLoad(p bbstanding.Process, r bbspeed.Report) {
	if !r.SharesMachine() {
		return
	}
	// do has logged a failure.
	_ = h.do("load of "+p.ID, func() bbdecision.Output {
		h.coordinator.ReportLoad(h.hooks.Now(), p, r)
		return bbdecision.Output{}
	})
}

// Notes passes reports of progress to the coordinator.
func (h *Hub) Notes(notes []bbjob.Note) {
	for _, n := range notes {
		// do has logged a failure.
		_ = h.do("note "+n.ID, func() bbdecision.Output { return h.coordinator.Progress(h.hooks.Now(), n) })
	}
}

// Len returns the number of requests in progress.
func (h *Hub) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coordinator.Len()
}

// Status returns the state of the coordinator.
func (h *Hub) Status() bbdecision.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.coordinator.Status(h.hooks.Now())
}

// tick runs the coordinator's work that is due.
func (h *Hub) tick() {
	err := h.do("tick", func() bbdecision.Output {
		now := h.hooks.Now()
		h.observeDelay(now)
		h.due = 0
		return h.coordinator.Tick(now)
	})
	if err != nil {
		h.timer.Reset(failedTickDelay)
	}
}

// observeDelay reports how late the timer work runs, and logs the longest delay of each second.
func (h *Hub) observeDelay(now time.Duration) {
	if h.due == 0 {
		return
	}
	delay := max(0, now-h.due)
	h.hooks.Late(delay)
	h.longestDelay = max(h.longestDelay, delay)
	if now-h.delayLoggedAt < delayLogPeriod {
		return
	}
	if h.longestDelay >= notableDelay {
		s := h.coordinator.Status(now)
		h.hooks.Log(bbdecision.Event{
			Number: bbevent.CoordinatorLate,
			Detail: fmt.Sprintf("requests=%d ungranted=%d examined=%d", s.Requests, s.AwaitingEngine, s.Examined-h.examinedBefore),
			Value:  h.longestDelay,
		})
		h.examinedBefore = s.Examined
	}
	h.longestDelay = 0
	h.delayLoggedAt = now
}

// apply carries out the coordinator's decisions, which were made at the given time or later; the caller holds the
// lock.
func (h *Hub) apply(decided time.Duration, out bbdecision.Output) {
	for _, e := range out.Events {
		h.hooks.Log(e)
	}
	verdicts := verdictsOf(out)
	for _, v := range verdicts {
		v.SharedMachines = h.coordinator.SharedMachines()
	}
	for id, u := range out.Updates {
		if v, ok := verdicts[id]; ok {
			u.Verdict = v
			delete(verdicts, id)
		}
		h.update(decided, id, u)
	}
	for id, v := range verdicts {
		h.update(decided, id, bbjob.Update{
			Verdict: v,
		})
	}
	for _, c := range out.Calls {
		h.call(decided, c)
	}
	for _, f := range out.Releases {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			h.hooks.FreeResults(ctx, f.Address, f.Handles)
		}()
	}
	h.setTimer()
}

// verdictsOf returns the verdicts of an output by request.
func verdictsOf(out bbdecision.Output) map[string]*bbjob.Verdict {
	verdicts := make(map[string]*bbjob.Verdict)
	for _, e := range out.Redirects {
		verdicts[e.ID] = &bbjob.Verdict{
			Elsewhere: true,
			Cell:      e.Cell,
		}
	}
	for i := range out.Grants {
		verdicts[out.Grants[i].ID] = &bbjob.Verdict{
			Grant: &out.Grants[i],
		}
	}
	for i := range out.Refusals {
		verdicts[out.Refusals[i].ID] = &bbjob.Verdict{
			Refusal: &out.Refusals[i],
		}
	}
	return verdicts
}

// update queues an update for a waiting order.
func (h *Hub) update(decided time.Duration, id string, u bbjob.Update) {
	w, ok := h.waiters[id]
	if !ok {
		return
	}
	c := w.updates
	if u.Verdict != nil {
		if u.Verdict.Grant != nil {
			u.Verdict.Grant.Waited = max(0, decided-w.arrived)
		}
		delete(h.waiters, id)
	} else if len(c) >= maxUpdates-1 {
		return
	}
	select {
	case c <- u:
	default:
		h.hooks.Log(bbdecision.Event{
			Number: bbevent.UpdateDropped,
			Job:    id,
		})
	}
}

// call starts a call that was decided at the given time or later, and reports its end to the coordinator.
func (h *Hub) call(decided time.Duration, c *bbpool.Call) {
	pieces := make([]Piece, 0, len(c.Pieces))
	// indices has the index in the call of each piece that is sent.
	indices := make([]int, 0, len(c.Pieces))
	var longest time.Duration
	for i, p := range c.Pieces {
		key, inputs, ok := h.coordinator.PieceInputs(p)
		if !ok {
			continue
		}
		longest = max(longest, c.Limits[i])
		indices = append(indices, i)
		pieces = append(pieces, Piece{
			Job:    p.Job,
			Stage:  p.Stage,
			Piece:  p.Piece,
			Key:    key,
			Inputs: inputs,
			Left:   c.Limits[i],
		})
	}
	zone := h.hooks.Zone(c.Endpoint)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), longest+callSlack)
		defer cancel()
		result := CallResult{
			Outcome: bbhealth.OutcomeHeld,
		}
		if h.hooks.Now()-decided <= maxCallDelay {
			result = h.hooks.RunPieces(ctx, c.Address, c.Endpoint, pieces)
		}
		results := make([]bbdecision.PieceResult, len(c.Pieces))
		for i := range min(len(result.Results), len(indices)) {
			results[indices[i]] = result.Results[i]
		}
		// do has logged a failure.
		_ = h.do("end of a call", func() bbdecision.Output {
			now := h.hooks.Now()
			h.coordinator.ReportLoad(now, result.Process, result.Signal.Load)
			return h.coordinator.CallDone(now, c.ID, zone, result.Outcome, results)
		})
	}()
}

// setTimer sets the timer to when the coordinator next has work that is due.
func (h *Hub) setTimer() {
	now := h.hooks.Now()
	next, ok := h.coordinator.Next(now)
	if !ok || (h.due > now && h.due <= next) {
		return
	}
	h.due = next
	h.timer.Reset(next - now)
}
