// Package bbhub runs the coordinator of a VM: it carries out what the coordinator decides
// and answers the orders that wait.
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
	"bluebellhall/core/bbstanding"
)

const (
	// freeTimeout bounds a call that frees results; results also end by themselves.
	releaseTimeout = time.Second
	// failedPause is the time until the coordinator is asked again after an unexpected error in
	// its regular work: long enough that a repeated one fills no log.
	failedTickDelay = 200 * time.Millisecond
	// callSlack is what a call may take beyond the time that its requests have.
	callSlack = 500 * time.Millisecond
)

// Piece is one piece of a call, as it is sent.
type Piece struct {
	Job   string
	Stage int
	Piece int
	// Key is set for pieces that need no results, Inputs for all others.
	Key    string
	Inputs []string
	// Left is the time that the request has.
	Left time.Duration
}

// Answer is what became of a call.
type CallResult struct {
	// Results are in the order of the pieces; there are none unless the outcome is good.
	Results []bbdecision.PieceResult
	Outcome bbhealth.Outcome
	// Word is what the endpoint says of itself, for whoever makes the call.
	Signal bbstanding.Signal
}

// Seams are the effects of the hub on the outside.
type Hooks struct {
	// Now returns the steady time.
	Now func() time.Duration
	// RunPieces makes a call and returns the results in the order of the pieces.
	RunPieces func(ctx context.Context, address, endpoint string, pieces []Piece) CallResult
	// FreeResults tells an endpoint that results are needed no more.
	FreeResults func(ctx context.Context, address string, handles []string)
	// Zone returns the failure domain of an endpoint.
	Zone func(endpoint string) string
	// Log takes in decisions.
	Log func(e bbdecision.Event)
}

// Hub drives one coordinator.
type Hub struct {
	hooks Hooks

	mu          sync.Mutex
	coordinator *bbcoordinator.Coordinator
	// waiters has the channel of each order that waits.
	waiters map[string]chan bbjob.Update
	timer   *time.Timer
	// due is when the timer fires; 0 if it is not set.
	due time.Duration
}

// New returns a hub and its clean-up function.
func New(c *bbcoordinator.Coordinator, s Hooks) (*Hub, func()) {
	h := &Hub{
		hooks:       s,
		coordinator: c,
		waiters:     make(map[string]chan bbjob.Update),
	}
	h.timer = time.AfterFunc(time.Hour, h.tick)
	return h, func() { h.timer.Stop() }
}

// maxUpdates bounds the updates that an order may lag behind; more are dropped, and the
// results in them are made again if this coordinator is lost.
const maxUpdates = 128

// Order takes in an order and passes on what becomes of it until the verdict. When the
// context ends first, the request is forgotten.
func (h *Hub) Order(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
	c := make(chan bbjob.Update, maxUpdates)
	if err := h.do("submit "+o.ID, func() bbdecision.Output {
		h.waiters[o.ID] = c
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
		if h.waiters[o.ID] != c {
			return bbdecision.Output{}
		}
		delete(h.waiters, o.ID)
		return h.coordinator.Cancel(h.hooks.Now(), o.ID)
	}); err != nil {
		return err
	}
	return ctx.Err()
}

// forget drops an order that nobody waits for any more.
func (h *Hub) removeWaiter(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, id)
}

// do lets the coordinator decide and carries that out. An unexpected error ends what led to it
// and is logged; requests that it left undecided are refused at their origins in time.
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
	h.apply(decide())
	return nil
}

// Leave hands all requests back for the next coordinator.
func (h *Hub) Leave() {
	// What fails is in the log.
	_ = h.do("leave", h.coordinator.Leave)
}

// Resume takes orders again after Leave.
func (h *Hub) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coordinator.Resume()
}

// Outlook returns what the coordinator expects.
func (h *Hub) LoadEstimate() bbcell.LoadEstimate {
	var o bbcell.LoadEstimate
	// What fails is in the log.
	_ = h.do("outlook", func() bbdecision.Output {
		o = h.coordinator.Outlook(h.hooks.Now())
		return bbdecision.Output{}
	})
	return o
}

// Notes takes in notes of progress.
func (h *Hub) Notes(notes []bbjob.Note) {
	for _, n := range notes {
		// What fails is in the log.
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

// tick lets the coordinator do what is due.
func (h *Hub) tick() {
	err := h.do("tick", func() bbdecision.Output {
		h.due = 0
		return h.coordinator.Tick(h.hooks.Now())
	})
	if err != nil {
		h.timer.Reset(failedTickDelay)
	}
}

// apply carries out what the coordinator decided.
func (h *Hub) apply(out bbdecision.Output) {
	for _, e := range out.Events {
		h.hooks.Log(e)
	}
	verdicts := verdictsOf(out)
	for id, u := range out.Updates {
		if v, ok := verdicts[id]; ok {
			u.Verdict = v
			delete(verdicts, id)
		}
		h.update(id, u)
	}
	for id, v := range verdicts {
		h.update(id, bbjob.Update{
			Verdict: v,
		})
	}
	for _, c := range out.Calls {
		h.call(c)
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

// update passes an update on to a waiting order.
func (h *Hub) update(id string, u bbjob.Update) {
	c := h.waiters[id]
	if c == nil {
		return
	}
	if u.Verdict != nil {
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

// call makes a call and tells the coordinator how it ended.
func (h *Hub) call(c *bbpool.Call) {
	pieces := make([]Piece, 0, len(c.Pieces))
	// places has the number in the call of each piece that is sent.
	places := make([]int, 0, len(c.Pieces))
	var longest time.Duration
	for i, p := range c.Pieces {
		key, inputs, ok := h.coordinator.PieceInputs(p)
		if !ok {
			continue
		}
		longest = max(longest, c.Limits[i])
		places = append(places, i)
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
		answer := h.hooks.RunPieces(ctx, c.Address, c.Endpoint, pieces)
		results := make([]bbdecision.PieceResult, len(c.Pieces))
		for i := range min(len(answer.Results), len(places)) {
			results[places[i]] = answer.Results[i]
		}
		// What fails is in the log.
		_ = h.do("end of a call", func() bbdecision.Output {
			return h.coordinator.CallDone(h.hooks.Now(), c.ID, zone, answer.Outcome, results)
		})
	}()
}

// setTimer makes the timer fire when the coordinator wants to look again.
func (h *Hub) setTimer() {
	now := h.hooks.Now()
	next, ok := h.coordinator.Next(now)
	if !ok || (h.due > now && h.due <= next) {
		return
	}
	h.due = next
	h.timer.Reset(next - now)
}
