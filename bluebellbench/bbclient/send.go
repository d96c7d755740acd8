package bbclient

import (
	"context"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/core/bbmsg"
)

// exchange is the state of one request over all messages sent for it.
type exchange struct {
	request bbload.Request
	due     time.Time
	reply   bbload.Reply
	// id is the current request id, empty before the first; it was made with the ticket of addresses.
	id        string
	addresses addresses
	// maybeAccepted is true when a message with the current id may have been accepted.
	maybeAccepted bool
	// lastTokenAt is when the last tokens arrived.
	lastTokenAt time.Time
}

// Send performs a request, with retries; it has the type bbload.Send.
func (c *Client) Send(ctx context.Context, q bbload.Request, due time.Time) bbload.Reply {
	x := &exchange{
		request: q,
		due:     due,
		reply: bbload.Reply{
			// Nothing has been sent yet.
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
		retry, delay := x.handleResult(c.post(ctx, x))
		if x.reply.Reason == bbmsg.ReasonHomeGone || retry && x.reply.Outcome == bbmsg.OutcomeInvalid {
			c.evictAddresses(q)
		}
		if !retry {
			return x.reply
		}
		sleep(ctx, max(delay, minRetryDelay))
	}
	return x.reply
}

// prepare makes sure that there are a request id and addresses to send it to. It returns
// false when no addresses could be obtained.
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

// handleResult records the result of a message. It returns whether to send another message
// and the delay that the answer asks for.
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

// discardID discards the current id, since it will never run or may safely run twice. The
// next message gets a new id.
func (x *exchange) discardID() bool {
	x.id = ""
	x.reply.Tokens = nil
	x.reply.Gaps = nil
	return true
}

// afterUnknown retries under a new id, unless the request must run at most once.
func (x *exchange) afterUnknown() bool {
	if x.request.Once {
		return false
	}
	return x.discardID()
}

// afterInvalid retries under a new id with a new ticket if the ticket was refused. It
// doesn't when an earlier message may have run a request that must run at most once.
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
