package bbfleet

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// Filter selects events. Empty fields select all.
type Filter struct {
	// Request selects a request by its id or the beginning of it.
	Request string
	// Endpoint and Node select by name; Node selects the peer concerned as well.
	Endpoint string
	Node     string
	// Kind selects by the title of the catalogue.
	Kind string
	// Warnings selects events of severity warning and error only.
	Warnings bool
}

// Timeline asks every address for its events after a stamp and returns those that
// the filter selects in one order, with a finding for each address that gave none
// and each that no longer has all.
func Timeline(ctx context.Context, client *http.Client, addresses []string, after bbevent.Stamp, filter Filter) ([]bbevent.Event, []Finding) {
	pages := make([]bbmsg.EventPage, len(addresses))
	findings := make([]Finding, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		url := fmt.Sprintf("http://%s/v1/events?after=%d", address, after)
		if err := getJSON(ctx, client, url, &pages[i]); err != nil {
			findings[i] = Finding{
				Node: address,
				Text: err.Error(),
			}
			return
		}
		if pages[i].Lost > 0 {
			findings[i] = Finding{
				Node: address,
				Text: fmt.Sprintf("%d earlier events are no longer held", pages[i].Lost),
			}
		}
	})
	findings = slices.DeleteFunc(findings, func(f Finding) bool { return f.Text == "" })
	return merge(pages, filter), findings
}

// merge returns the selected events of all pages by stamp, then by node. An event
// that stands in several pages is returned once.
func merge(pages []bbmsg.EventPage, filter Filter) []bbevent.Event {
	var events []bbevent.Event
	for _, p := range pages {
		for _, e := range p.Events {
			if filter.selects(e) {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b bbevent.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.Compact(events)
}

// selects returns true for events that pass the filter.
func (f Filter) selects(e bbevent.Event) bool {
	entry, _ := bbevent.Lookup(e.Number)
	switch {
	case f.Request != "" && !strings.HasPrefix(e.Request, f.Request):
		return false
	case f.Endpoint != "" && e.Endpoint != f.Endpoint:
		return false
	case f.Node != "" && e.Node != f.Node && e.Peer != f.Node:
		return false
	case f.Kind != "" && entry.Title != f.Kind:
		return false
	case f.Warnings && entry.Severity == bbevent.SeverityInfo:
		return false
	default:
		return true
	}
}
