package bbhome

import (
	"sort"
	"time"

	"bluebellhall/core/bbmsg"
)

// HandedOverRecords holds the records that a home handed over in its graceful stop.
type HandedOverRecords struct {
	// Records maps request ids to their final records.
	Records map[string]*Record
	// Parts has the numbers of the parts that have arrived.
	Parts map[int]bool
	// Complete is true once every part has arrived. Only then does the absence of
	// an id prove that it never ran.
	Complete bool
	// HomeNow is the clock of the home at its handover. The home had already dropped expired
	// records by then, so the absence of an id that old proves nothing.
	HomeNow time.Duration
	// Until is when the records expire.
	Until time.Duration
}

// maxHandedOverHomes bounds the number of homes whose records a node takes over.
const maxHandedOverHomes = 16

// handoverPartRecords is the number of records in one part of a handover.
const handoverPartRecords = 256

// Handover returns the messages that transfer all records to a successor, at least one. It is
// called when no ticket of this incarnation is valid any more and no request is running.
func (t *Table) Handover(now time.Duration) []bbmsg.Handover {
	ids := make([]string, 0, len(t.Records))
	for id := range t.Records {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	var parts []bbmsg.Handover
	for len(ids) > 0 {
		n := min(len(ids), handoverPartRecords)
		parts = append(parts, t.handoverPart(now, ids[:n]))
		ids = ids[n:]
	}
	if len(parts) == 0 {
		parts = append(parts, t.handoverPart(now, nil))
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

// handoverPart returns the message with the records of some ids.
func (t *Table) handoverPart(now time.Duration, ids []string) bbmsg.Handover {
	h := bbmsg.Handover{
		Home:        t.Settings.Home,
		Incarnation: t.Settings.Incarnation,
		HomeMillis:  now.Milliseconds(),
	}
	for _, id := range ids {
		r := t.Records[id]
		h.Records = append(h.Records, bbmsg.Record{
			ID:          r.ID,
			Outcome:     r.Outcome,
			Reason:      r.Reason,
			Fingerprint: r.Fingerprint,
			Tokens:      r.Tokens,
			Body:        r.Body,
			KeepMillis:  (r.KeepUntil - now).Milliseconds(),
		})
	}
	return h
}

// ReceiveHandover stores one part of a handover. It returns false when the limit of homes is
// reached; requests with ids of that home then get the outcome unknown.
func (t *Table) ReceiveHandover(now time.Duration, h bbmsg.Handover) bool {
	home := bbmsg.HandedOverHome{
		Home:        h.Home,
		Incarnation: h.Incarnation,
	}
	in, ok := t.HandedOver[home]
	if !ok && len(t.HandedOver) >= maxHandedOverHomes {
		return false
	}
	if !ok {
		in = &HandedOverRecords{
			Records: make(map[string]*Record),
			Parts:   make(map[int]bool),
			Until:   now + t.Settings.Retention,
		}
		t.HandedOver[home] = in
	}
	for _, r := range h.Records {
		keep := now + bbmsg.Millis(r.KeepMillis)
		in.Records[r.ID] = handedOverRecord(r, keep)
		in.Until = max(in.Until, keep)
	}
	in.HomeNow = max(in.HomeNow, time.Duration(h.HomeMillis+1)*time.Millisecond)
	in.Parts[h.Part] = true
	in.Complete = len(in.Parts) >= h.Parts
	return true
}

// handedOverRecord converts a record of a handover message.
func handedOverRecord(r bbmsg.Record, keep time.Duration) *Record {
	return &Record{
		ID:          r.ID,
		Fingerprint: r.Fingerprint,
		Ended:       true,
		Outcome:     r.Outcome,
		Reason:      r.Reason,
		Tokens:      r.Tokens,
		Body:        r.Body,
		KeepUntil:   keep,
	}
}

// HandedOverHomes returns the homes whose records this node has in full, sorted.
func (t *Table) HandedOverHomes() []bbmsg.HandedOverHome {
	var homes []bbmsg.HandedOverHome
	for h, in := range t.HandedOver {
		if in.Complete {
			homes = append(homes, h)
		}
	}
	sort.Slice(homes, func(i, j int) bool {
		if homes[i].Home != homes[j].Home {
			return homes[i].Home < homes[j].Home
		}
		return homes[i].Incarnation < homes[j].Incarnation
	})
	return homes
}

// admitHandedOver answers a request whose home has stopped; it never runs one. The home
// accepted requests until its last ticket had expired, so an id that is absent from a complete
// handover never ran and never will.
func (t *Table) admitHandedOver(a Arrival) Verdict {
	in, ok := t.HandedOver[bbmsg.HandedOverHome{
		Home:        a.Home,
		Incarnation: a.Incarnation,
	}]
	if !ok {
		return refusal(bbmsg.OutcomeUnknown, bbmsg.ReasonHomeGone)
	}
	if r, ok := in.Records[a.Request.ID]; ok {
		return t.join(r, a)
	}
	if !in.Complete || a.Expiry+t.Settings.Retention <= in.HomeNow {
		return refusal(bbmsg.OutcomeUnknown, bbmsg.ReasonHomeGone)
	}
	return refusal(bbmsg.OutcomeNotRun, bbmsg.ReasonExpiredTicket)
}

// evictHandedOver drops the records of homes that have expired.
func (t *Table) evictHandedOver(now time.Duration) {
	for h, in := range t.HandedOver {
		if in.Until <= now {
			delete(t.HandedOver, h)
		}
	}
}

// handedOverKey returns the record of a plain idempotency key and the home's records that
// contain it, nil if no home handed it over.
func (t *Table) handedOverKey(id string) (*HandedOverRecords, *Record) {
	for _, in := range t.HandedOver {
		if r, ok := in.Records[id]; ok {
			return in, r
		}
	}
	return nil, nil
}
