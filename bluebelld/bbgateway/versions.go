package bbgateway

import (
	"cmp"
	"context"
	"slices"

	"bluebellhall/core/bbcatalog"
)

// causeStreamUnknown is the cause of refusals of a stream that a caller takes up and of which no VM knows which version
// of the endpoints' software began it. It would be a guess to send it to any.
const causeStreamUnknown = "streamUnknown"

// origin is what is known of the beginning of a stream that may go on at another endpoint.
type origin struct {
	// version is the version of the software that began the stream; empty if none has yet, or if it is not known.
	version string
	// begun is true once a part of the stream has been sent to the caller, in this attempt or an earlier one.
	begun bool
}

// findOrigin determines the service and the version that began a stream which a caller takes up. It returns false if they
// are unknown, or if the configuration no longer sends the route to that service.
func (g *Gateway) findOrigin(ctx context.Context, x *exchange) bool {
	if x.Route.Kind != bbcatalog.KindStream || !x.Route.Resumable || x.LastEvent == "" {
		return true
	}
	x.origin.begun = true
	sends := func(service string) bool {
		return slices.ContainsFunc(x.Route.Shares, func(s bbcatalog.Share) bool { return s.Service == service })
	}
	only := ""
	if len(x.Route.Shares) == 1 {
		only = x.service
	}
	if record, found := g.hooks.FindStream(ctx, x.Resumes, x.Content, only); found {
		x.service, x.origin.version = record.Service, record.Version
		return sends(record.Service)
	}
	if only == "" {
		return false
	}
	if version, ok := g.hooks.SoleVersion(x.service); ok {
		x.origin.version = version
		return true
	}
	return g.hooks.Unversioned(x.service)
}

// streamBegins records which version writes the stream that is about to be sent to the caller. An endpoint whose version
// is not known writes the empty one.
func (g *Gateway) streamBegins(x *exchange, version string) {
	if x.origin.begun && x.origin.version == "" || x.Route.Kind != bbcatalog.KindStream || !x.Route.Resumable {
		return
	}
	x.origin = origin{
		version: version,
		begun:   true,
	}
	// The record of a stream that was taken up is copied again, since VMs that had a copy may be gone.
	g.hooks.StreamBegan(cmp.Or(x.Resumes, x.ID), x.Content, x.service, version)
}

// canContinue reports whether it is known which endpoints can go on with a stream that has begun.
func (g *Gateway) canContinue(x *exchange) bool {
	return !x.origin.begun || x.origin.version != "" || g.hooks.Unversioned(x.service)
}

// versionAt returns the version of an endpoint, empty if it is unknown, and whether the endpoint may be sent the
// request: one that goes on with a stream must have the version that began it. Claimed is the version that a
// coordinator states, empty if it states none.
func (g *Gateway) versionAt(x *exchange, endpoint, claimed string) (version string, ok bool) {
	version, known := g.hooks.VersionOf(endpoint)
	if !known || claimed != "" && claimed != version {
		// Either view may be old, so that it isn't known what the endpoint runs.
		version = ""
	}
	return version, !x.origin.begun || version == x.origin.version
}
