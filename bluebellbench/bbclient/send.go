package bbclient

import (
	"context"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/core/bbmsg"
)

// exchange is the state of one request over all its messages.
type exchange struct {
	request bbload.Request
	due     time.Time
	reply   bbload.Reply
	// id is the current request id, empty before the first; addresses made it.
	id        string
	addresses addresses
	// open is true when a message with the current id may have been accepted.
	maybeAccepted bool
	// lastToken is when the last token came.
	lastTokenAt time.Time
}

// Send carries out a request; it has the type bbload.Send.
func (c *Client) Send(ctx context.Context, q bbload.Request, due time.Time) bbload.Reply {
	x := &exchange{
		request: q,
		due:     due,
		reply: bbload.Reply{
			// Nothing was sent yet.
			Outcome: bbmsg.OutcomeNotRun,
			Reason:  bbmsg.ReasonNotReady,
		},
	}
	for x.reply.Sends < maxSends && ctx.Err() == nil {
		if !c.prepare(ctx, x) {
			sleep(ctx, minRetryDelay)
			continue
		}
		x.reply.Sends++
		again, delay := x.handleResult(c.post(ctx, x))
		if x.reply.Reason == bbmsg.ReasonHomeGone || again && x.reply.Outcome == bbmsg.OutcomeInvalid {
			c.evictAddresses(q)
		}
		if !again {
			return x.reply
		}
		sleep(ctx, max(delay, minRetryDelay))
	}
	return x.reply
}

// prepare makes sure that there is an id and somewhere to send it.
func (c *Client) prepare(ctx context.Context, x *exchange) bool {
	if x.id != "" {
		return true
	}
	found, err := c.cachedOrFetchedAddresses(ctx, x.request)
	if err != nil {
		return false
	}
	x.addresses = found
	x.id = c.newID(found)
	x.maybeAccepted = false
	x.reply.IDs = append(x.reply.IDs, x.id)
	return true
}

// judge takes in the end of a message. It returns whether and when to send again.
func (x *exchange) handleResult(e messageResult) (bool, time.Duration) {
	if e.incomplete {
		x.maybeAccepted = true
		x.reply.Outcome = bbmsg.OutcomeUnknown
		x.reply.Reason = bbmsg.ReasonNone
		return true, 0
	}
	x.reply.Outcome = e.Outcome
	x.reply.Reason = e.Reason
	delay := time.Duration(e.RetryAfterMillis) * time.Millisecond
	switch e.Outcome {
	case bbmsg.OutcomeNotRun:
		return x.discardID(), delay
	case bbmsg.OutcomeUnknown:
		x.maybeAccepted = true
		return x.afterUnknown(), delay
	case bbmsg.OutcomeInvalid:
		return x.afterInvalid(e.Reason), delay
	default:
		return false, 0
	}
}

// anew lets the next message have a new id, since the current one will never run.
func (x *exchange) discardID() bool {
	x.id = ""
	x.reply.Tokens = nil
	x.reply.Gaps = nil
	return true
}

// afterUnknown repeats under a new id where that does no harm, else gives up.
func (x *exchange) afterUnknown() bool {
	if x.request.Once {
		return false
	}
	return x.discardID()
}

// afterInvalid asks for a new ticket, unless an earlier message may have run.
func (x *exchange) afterInvalid(reason bbmsg.Reason) bool {
	if reason != bbmsg.ReasonExpiredTicket && reason != bbmsg.ReasonBadTicket {
		return false
	}
	if x.maybeAccepted && x.request.Once {
		x.reply.Outcome = bbmsg.OutcomeUnknown
		return false
	}
	return x.discardID()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
