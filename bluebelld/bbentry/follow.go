package bbentry

import (
	"context"
	"math/rand/v2"
	"time"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgossip"
)

const (
	// pollPeriod is how often a VM checks whether other VMs have newer data than itself.
	pollPeriod = 150 * time.Millisecond
	// followPeriod is how often a VM that doesn't read the platform's store asks one that does.
	followPeriod = 400 * time.Millisecond
	// joinTimeout is how long a VM that has started waits for an answer of another one before it reads the
	// platform: when 295 VMs started at once, small ones had an answer after half a second. In a large
	// fleet they then know that others read the platform.
	joinTimeout = 800 * time.Millisecond
	// fallbackReaders limits which VMs read the store while their source can't: those for which at most
	// so many VMs of their failure domain, the reader included, have a higher priority.
	fallbackReaders = 2
	// publishTimeout bounds a call for another VM's configuration or endpoints.
	publishTimeout = 800 * time.Millisecond
	// behindLogPeriod is how long this VM may know of a newer configuration before that is logged, and then the time
	// between two such lines.
	behindLogPeriod = time.Second
)

// followCursor is the position up to which this VM has applied another VM's changes of endpoints.
type followCursor struct {
	// name and boot together identify the process: VMs may start in the same millisecond.
	name     string
	boot     int64
	sequence uint64
}

// published answers another VM's request for the configuration and the endpoints.
func (e *Entry) published(w bbpeer.PublishedRequest) bbpeer.Published {
	_, version, _ := e.Knowledge.Ready()
	p := bbpeer.Published{
		Boot:           e.settings.Self.Boot,
		CatalogVersion: version,
		StoreAge:       e.Knowledge.StoreAge(),
	}
	if x := e.Knowledge.Index(); w.Catalog && x != nil {
		e.publishCatalog(w, x, &p)
	}
	if w.Endpoints && e.Knowledge.HasListed() {
		sequence := w.Sequence
		if w.Boot != p.Boot {
			sequence = 0
		}
		d := e.Knowledge.Since(sequence)
		p.Endpoints = &d
	}
	return p
}

// publishCatalog adds the configuration to an answer, or the part of it that was requested.
func (e *Entry) publishCatalog(w bbpeer.PublishedRequest, x *bbcatalog.Index, p *bbpeer.Published) {
	switch {
	case !w.Parts:
		p.Catalog = &x.Catalog
	case x.Catalog.Version > w.Newer:
		part, err := e.catalogSender.Part(x, w.Offset)
		if err != nil {
			e.log.Event(bbevent.HandlerFailed).Str("method", "catalog part").Err(err).Send()
			return
		}
		p.Part = &part
	}
}

// followLoop fetches configuration and endpoints from other VMs if theirs are newer.
func (e *Entry) followLoop(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	var asked time.Duration
	select {
	case <-ctx.Done():
		return
	case <-e.fleet.Joined():
	case <-time.After(joinTimeout):
	}
	e.adopt(ctx)
	var signals startSignals
	for ; ; awaitChange(ctx, ticker, signals) {
		if ctx.Err() != nil {
			return
		}
		e.refresh()
		signals = e.startSignals()
		reader, reads := e.chooseReader()
		e.Knowledge.SetReadsPlatform(reads)
		if source, ok := e.firstSource(); ok && !reads {
			asked = e.now()
			e.follow(ctx, source, bbpeer.PublishedRequest{
				Catalog:   true,
				Endpoints: true,
			})
			e.refresh()
			continue
		}
		peer, behind := e.newestCatalogPeer()
		e.lag.observe(e.now(), peer.CatalogVersion, e.logCatalogBehind)
		if behind {
			e.catalogParts.DropLater(peer.CatalogVersion)
			e.copyCatalog(ctx, e.catalogSource(peer))
		}
		switch {
		case !reads && e.now()-asked >= followPeriod:
		case reads && e.Knowledge.IsStale() && reader.Name != "":
		default:
			continue
		}
		asked = e.now()
		if e.cursor.name != reader.Name || e.Knowledge.NeedsWholeDelta() {
			e.cursor = followCursor{}
		}
		e.follow(ctx, reader, bbpeer.PublishedRequest{
			Endpoints: true,
			Boot:      e.cursor.boot,
			Sequence:  e.cursor.sequence,
		})
	}
}

// catalogLag is for how long other VMs have had a newer configuration than this one.
type catalogLag struct {
	// newer is the version of the others; 0 if there is none.
	newer uint64
	// since is when the first newer version than the one in force was known, loggedAt when that was last logged.
	since, loggedAt time.Duration
}

// observe records the newest version of other VMs that is newer than the one in force, 0 if there is none. It calls log
// every behindLogPeriod with the time since there has been one.
func (l *catalogLag) observe(now time.Duration, newer uint64, log func(version uint64, lag time.Duration)) {
	if newer == 0 || l.newer == 0 {
		l.since, l.loggedAt = now, now
	}
	l.newer = newer
	if newer > 0 && now-l.loggedAt >= behindLogPeriod {
		l.loggedAt = now
		log(newer, now-l.since)
	}
}

// of returns the time since there has been a newer version; 0 if there is none.
func (l *catalogLag) of(now time.Duration) time.Duration {
	if l.newer == 0 {
		return 0
	}
	return now - l.since
}

// logCatalogBehind logs that other VMs have had a newer configuration for some time.
func (e *Entry) logCatalogBehind(version uint64, lag time.Duration) {
	e.log.Event(bbevent.CatalogBehind).Uint64("version", version).Dur("value", lag).Send()
}

// adopt fetches what other VMs know before this one, which has just started, reads the store: the store may have come
// back from an older copy.
func (e *Entry) adopt(ctx context.Context) {
	if peer, ok := e.newestCatalogPeer(); ok {
		e.follow(ctx, peer, bbpeer.PublishedRequest{
			Catalog: true,
		})
	}
	if peer := e.newestEndpointsPeer(e.fleet.Readers()); !peer.EndpointRevision.IsZero() {
		e.follow(ctx, peer, bbpeer.PublishedRequest{
			Endpoints: true,
		})
	}
}

// startSignals are the channels that are closed when followLoop has something to do before its next tick. All are nil
// once this VM is ready.
type startSignals struct {
	// knowledge is closed when this VM becomes ready, and coordinator when the coordinator changes, which happens
	// when another VM becomes ready.
	knowledge, coordinator <-chan struct{}
}

// startSignals returns the channels to wait for after a pass of followLoop that is about to begin.
func (e *Entry) startSignals() startSignals {
	if ready, _, _ := e.Knowledge.Ready(); ready {
		return startSignals{}
	}
	_, coordinator := e.fleet.Leader()
	return startSignals{
		knowledge:   e.Knowledge.Changed(),
		coordinator: coordinator,
	}
}

// awaitChange waits for the next tick or for one of the signals.
func awaitChange(ctx context.Context, t *time.Ticker, s startSignals) {
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.knowledge:
	case <-s.coordinator:
	}
}

// firstSource returns the VM from which this one, which isn't ready, can get configuration and endpoints at once: its
// hub if that is ready, else the one with the newest endpoints. It returns false if there is none or this VM is ready.
func (e *Entry) firstSource() (bbgossip.Member, bool) {
	if ready, _, _ := e.Knowledge.Ready(); ready {
		return bbgossip.Member{}, false
	}
	if hub := e.fleet.Hub(); hub.Ready && hub.Name != e.settings.Self.Name {
		return hub, true
	}
	source := e.newestEndpointsPeer(nil)
	return source, source.Ready
}

// copyCatalog starts to fetch the configuration of another VM, unless that is in progress from any. A slow copy must not
// delay the changes of endpoints.
func (e *Entry) copyCatalog(ctx context.Context, source bbgossip.Member) {
	if !e.copying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.copying.Store(false)
		ctx, cancel := context.WithTimeout(ctx, relayPatience)
		defer cancel()
		e.follow(ctx, source, bbpeer.PublishedRequest{
			Catalog: true,
		})
	}()
}

// relayPatience is how long a VM fetches a configuration from the VM that passes it on in its failure domain, or from
// another near one, before it goes on with any that has it, and then the longest time that it stays with one of these. What
// has been fetched by then is kept.
const relayPatience = time.Second

// catalogSource returns the VM from which to fetch a newer configuration that newest has: in a large fleet the one that
// passes configurations on in this failure domain, so that no VM sends a configuration to all others.
func (e *Entry) catalogSource(newest bbgossip.Member) bbgossip.Member {
	relay, ok := e.fleet.CatalogRelay()
	if !ok || relay.Name == e.settings.Self.Name || newest.Zone == relay.Zone || e.lag.of(e.now()) > relayPatience {
		return newest
	}
	return relay
}

// newestCatalogPeer returns a VM that has a newer configuration in force; if there are several, a near one until
// relayPatience has passed, then any.
func (e *Entry) newestCatalogPeer() (bbgossip.Member, bool) {
	_, version, _ := e.Knowledge.Ready()
	var peers []bbgossip.Member
	var self bbgossip.Member
	e.fleet.View(func(t *bbgossip.Table, now time.Duration) {
		self = t.Self()
		t.EachReachable(now, func(m *bbgossip.Member) {
			if m.CatalogVersion > version {
				version = m.CatalogVersion
				peers = nil
			}
			if m.CatalogVersion == version && version > self.CatalogVersion {
				peers = append(peers, *m)
			}
		})
	})
	if e.lag.of(e.now()) <= relayPatience {
		peers = bbcell.PreferNear(peers, func(m bbgossip.Member) bool { return m.Region == self.Region })
		peers = bbcell.PreferNear(peers, func(m bbgossip.Member) bool { return m.Zone == self.Zone })
	}
	if len(peers) == 0 {
		return bbgossip.Member{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// chooseReader returns the VM to ask for endpoints, and whether this one reads the store itself. A reader
// that can't reach the store asks the VM with the newest endpoints. While no reader provides endpoints to
// this VM, only a few VMs of each failure domain try the store, so that not all of them do while it is down.
func (e *Entry) chooseReader() (bbgossip.Member, bool) {
	readers := e.fleet.ReadersAtStart()
	if len(readers) == 0 || readers[e.settings.Self.Name] {
		return e.newestEndpointsPeer(readers), true
	}
	var best bbgossip.Member
	hub := e.fleet.Hub().Name
	ahead := 0
	e.fleet.View(func(t *bbgossip.Table, now time.Duration) {
		self := t.Self()
		t.EachReachable(now, func(m *bbgossip.Member) {
			if readers[m.Name] && (best.Name == "" || m.Name == hub) {
				best = *m
			}
			if m.Zone == self.Zone && bbgossip.HasPriority(*m, self) {
				ahead++
			}
		})
	})
	silent, outdated := e.Knowledge.SourceHealth()
	return best, best.Name == "" || silent || (outdated && ahead <= fallbackReaders)
}

// newestEndpointsPeer returns the VM with the newest endpoints, if these are not older than this VM's own. If
// no VM has newer ones, it returns a VM with the same that reads the store.
func (e *Entry) newestEndpointsPeer(readers map[string]bool) bbgossip.Member {
	_, _, revision := e.Knowledge.Ready()
	var best bbgossip.Member
	e.fleet.View(func(t *bbgossip.Table, now time.Duration) {
		t.EachReachable(now, func(m *bbgossip.Member) {
			same := m.EndpointRevision == revision && readers[m.Name] && (best.Name == "" || m.Name < best.Name)
			if revision.Before(m.EndpointRevision) || same {
				revision = m.EndpointRevision
				best = *m
			}
		})
	})
	return best
}

// follow fetches the requested data from one VM.
func (e *Entry) follow(ctx context.Context, peer bbgossip.Member, w bbpeer.PublishedRequest) {
	p, ok := e.fetchFrom(ctx, peer, w)
	if !ok {
		return
	}
	if w.Endpoints {
		e.Knowledge.RecordSourceAnswer()
		e.applyEndpoints(peer, p)
	}
	for e.applyCatalog(peer, p) {
		p, ok = e.fetchFrom(ctx, peer, bbpeer.PublishedRequest{
			Catalog: true,
		})
		if !ok {
			return
		}
	}
	if _, version, _ := e.Knowledge.Ready(); !w.Catalog && p.Endpoints != nil && p.CatalogVersion > version {
		e.copyCatalog(ctx, e.catalogSource(peer))
	}
}

// fetchFrom makes one call for data of another VM, of the configuration the next part that is missing. It returns false
// if the call failed.
func (e *Entry) fetchFrom(ctx context.Context, peer bbgossip.Member, w bbpeer.PublishedRequest) (bbpeer.Published, bool) {
	if w.Catalog {
		w.Parts = true
		w.Offset = e.catalogParts.Offset()
		_, w.Newer, _ = e.Knowledge.Ready()
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	p, err := e.fetch(ctx, peer.Peer, w)
	if err != nil {
		e.log.Event(bbevent.FollowFailed).Str("peer", peer.Name).Err(err).Send()
		return p, false
	}
	return p, true
}

// applyCatalog applies the configuration in an answer, or adds the part of it that the answer has. It reports whether
// the VM has further parts.
func (e *Entry) applyCatalog(peer bbgossip.Member, p bbpeer.Published) (more bool) {
	if p.Catalog != nil {
		e.Knowledge.OfferCatalog(*p.Catalog, peer.Name)
	}
	if p.Part == nil {
		return false
	}
	before := e.catalogParts.Offset()
	c, err := e.catalogParts.Add(*p.Part)
	switch {
	case err != nil:
		e.log.Event(bbevent.FollowFailed).Str("peer", peer.Name).Err(err).Send()
		return false
	case c != nil:
		e.Knowledge.OfferCatalog(*c, peer.Name)
		return false
	}
	// Without progress the VM has an earlier version than the one in progress.
	return e.catalogParts.Offset() != before
}

// applyEndpoints applies the changes of endpoints in an answer.
func (e *Entry) applyEndpoints(peer bbgossip.Member, p bbpeer.Published) {
	if p.Endpoints == nil || !e.Knowledge.ApplyPeerDelta(*p.Endpoints, p.StoreAge, peer.Name) {
		return
	}
	if p.Endpoints.Whole {
		e.log.Event(bbevent.EndpointsAdopted).Str("peer", peer.Name).Stringer("revision", p.Endpoints.Revision).Send()
	}
	e.cursor = followCursor{
		name:     peer.Name,
		boot:     p.Boot,
		sequence: p.Endpoints.Sequence,
	}
}
