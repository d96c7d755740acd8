// Package bbknowledge stores what an entry VM knows of the platform: the configuration in force, the listed
// endpoints and the load signals of the endpoints.
package bbknowledge

import (
	"slices"
	"sync"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbrevision"
	"bluebellhall/core/bbstanding"
)

const (
	// staleAfter is how long after the platform's last answer a VM that reads the platform itself asks
	// other VMs for the endpoints: a little more than the usual time between two reads.
	staleAfter = 1200 * time.Millisecond
	// sourceTimeout is how long after the last answer or the last update of its source a VM may read the
	// platform itself. It covers several reads by the source and calls to it, and is half of the shortest
	// time within which a fleet of that size has to stop sending requests to a draining endpoint.
	sourceTimeout = 2 * time.Second
	// maxLookups bounds the services in the lookup cache.
	maxLookups = 1000
	// outageGracePeriod is how long after the end of a platform outage endpoints that disappear from its
	// list are kept for a while, since they may register again.
	outageGracePeriod = 2500 * time.Millisecond
)

// Knowledge is what the platform has published, as far as this VM knows. The VM reads it from the platform
// or from another VM, called its source.
type Knowledge struct {
	now func() time.Duration
	// OnCatalogChange is called after a newer catalog has come into force.
	OnCatalogChange func(c bbcatalog.Catalog, source string)

	mu    sync.Mutex
	index *bbcatalog.Index
	table *bbregistry.Table
	// standing has the load signals that this VM received or learned of from other VMs.
	standing *bbstanding.Table
	// lookups caches the usable endpoints of services.
	lookups map[string]cachedLookup
	// listed is true once a list of endpoints has been received.
	listed bool
	// platformAnsweredAt is when the platform last answered this VM. failing is true if the last call to
	// it failed.
	platformAnsweredAt time.Duration
	failing            bool
	// sourceFreshAt is when the platform last answered the source, sourceAnsweredAt when the source last
	// answered this VM.
	sourceFreshAt, sourceAnsweredAt time.Duration
	// followsSource is true while another VM reads the platform for this one.
	followsSource bool
	// changed is closed, and replaced, when followsSource or ready changes; ready is true once there are a
	// configuration and a list of endpoints.
	changed chan struct{}
	ready   bool
	// outageEnd is the end of the last platform outage; outage is true if there has been one.
	outageEnd time.Duration
	outage    bool
}

// NewKnowledge returns the knowledge of a VM that has not received anything yet.
func NewKnowledge(now func() time.Duration) *Knowledge {
	return &Knowledge{
		now:             now,
		OnCatalogChange: func(bbcatalog.Catalog, string) {},
		table:           bbregistry.NewTable(),
		standing:        bbstanding.NewTable(),
		lookups:         make(map[string]cachedLookup),
		changed:         make(chan struct{}),
	}
}

// Changed returns a channel that is closed when this VM becomes ready, or begins or ceases to read the platform.
func (k *Knowledge) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// notifyChange closes the channel that Changed returned; the caller holds the lock.
func (k *Knowledge) notifyChange() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// updateReady notifies of a change if this VM has just become ready; the caller holds the lock.
func (k *Knowledge) updateReady() {
	if ready := k.index != nil && k.listed; ready != k.ready {
		k.ready = ready
		k.notifyChange()
	}
}

// OnEndpointChange sets the function that is called for each change of an endpoint.
func (k *Knowledge) OnEndpointChange(changed func(e bbregistry.Endpoint, c bbregistry.Change)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.OnChange = changed
}

// OnEvacuation sets the function that is called when a failure domain is evacuated or taken back, with what the
// change came from.
func (k *Knowledge) OnEvacuation(changed func(zone string, evacuated bool, source string)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.OnEvacuation(changed)
}

// OfferCatalog puts a catalog into force if it is newer than the current one. It reports whether it did.
func (k *Knowledge) OfferCatalog(c bbcatalog.Catalog, source string) bool {
	k.mu.Lock()
	newer := k.index == nil || c.Version > k.index.Catalog.Version
	if newer {
		k.index = bbcatalog.NewIndexAfter(c, k.index)
		k.updateReady()
	}
	k.mu.Unlock()
	if newer {
		k.OnCatalogChange(c, source)
	}
	return newer
}

// Index returns the configuration in force, or nil if there is none.
func (k *Knowledge) Index() *bbcatalog.Index {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index
}

// ReplaceEndpoints replaces the endpoints by a complete list of the platform's. It returns false if endpoints
// of a later era are known.
func (k *Knowledge) ReplaceEndpoints(s bbregistry.Snapshot) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.listed && s.Revision.Era > k.table.Revision.Era {
		// The store was away, though perhaps for less than the time between two calls.
		k.outage = true
		k.outageEnd = now
	}
	if !k.table.ReplaceEndpoints(now, s, k.inGrace(now)) {
		return false
	}
	k.listed = true
	k.updateReady()
	return true
}

// ApplyEndpointUpdates applies the platform's changes of endpoints up to a revision. It returns false if they
// don't continue what is known, so that a complete list is needed.
func (k *Knowledge) ApplyEndpointUpdates(updates []bbregistry.Update, at bbrevision.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	return k.table.ApplyUpdates(now, updates, at, k.inGrace(now))
}

// inGrace reports whether entries may be missing from the platform because of an outage.
func (k *Knowledge) inGrace(now time.Duration) bool {
	return k.outage && now-k.outageEnd < outageGracePeriod
}

// ReplaceEvacuated replaces the evacuated failure domains by a complete list of the platform's. It returns false
// if evacuations of a later era are known.
func (k *Knowledge) ReplaceEvacuated(list []bbregistry.Evacuation, at bbrevision.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.ReplaceEvacuated(k.now(), list, at)
}

// ApplyZoneUpdates applies the platform's changes of evacuations up to a revision. It returns false if they don't
// continue what is known, so that a complete list is needed.
func (k *Knowledge) ApplyZoneUpdates(updates []bbregistry.ZoneUpdate, at bbrevision.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.ApplyZoneUpdates(k.now(), updates, at)
}

// RecordPlatformAnswer records that the platform answered. It returns true if the previous call had failed.
func (k *Knowledge) RecordPlatformAnswer() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	recovered := k.failing
	if recovered {
		k.outage = true
		k.outageEnd = now
	}
	k.failing = false
	k.platformAnsweredAt = now
	return recovered
}

// RecordPlatformFailure records that a call to the platform failed. It returns true if the previous call
// had not failed.
func (k *Knowledge) RecordPlatformFailure() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := !k.failing
	k.failing = true
	return first
}

// Revision returns the platform's revision up to which this VM knows the endpoints.
func (k *Knowledge) Revision() bbrevision.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Revision
}

// IsStale reports whether this VM should ask other VMs for the endpoints.
func (k *Knowledge) IsStale() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.listed || k.now()-k.platformAnsweredAt > staleAfter
}

// ApplyPeerDelta applies changes of endpoints and evacuations from the source, which the platform last answered
// storeAge ago. It returns false if this VM knows newer endpoints.
func (k *Knowledge) ApplyPeerDelta(d bbregistry.Delta, storeAge time.Duration, source string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.sourceFreshAt = max(k.sourceFreshAt, now-storeAge)
	if !k.table.Apply(now, now-storeAge, d, source) {
		return false
	}
	k.listed = true
	k.updateReady()
	return true
}

// NeedsWholeDelta reports whether the platform was read since the last delta of another VM, so that its next one
// has to be whole.
func (k *Knowledge) NeedsWholeDelta() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.HasReadStore()
}

// RecordSourceAnswer records that the source answered.
func (k *Knowledge) RecordSourceAnswer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sourceAnsweredAt = k.now()
}

// SourceHealth reports whether the source has stopped answering, and whether it has lost its connection to
// the platform.
func (k *Knowledge) SourceHealth() (silent, outdated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	return now-k.sourceAnsweredAt > sourceTimeout, now-k.sourceFreshAt > sourceTimeout
}

// Since returns the changes of endpoints after the given sequence number.
func (k *Knowledge) Since(sequence uint64) bbregistry.Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.table.Expire(now)
	return k.table.Since(now, sequence)
}

// HasListed reports whether a list of endpoints has been received.
func (k *Knowledge) HasListed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listed
}

// ReadsPlatform reports whether this VM reads the platform itself, rather than another VM for it.
func (k *Knowledge) ReadsPlatform() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.followsSource
}

// SetReadsPlatform sets whether this VM reads the platform itself.
func (k *Knowledge) SetReadsPlatform(reads bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.followsSource == reads {
		k.followsSource = !reads
		k.notifyChange()
	}
}

// lookupTTL is how long the usable endpoints of a service are cached. The cold times in the entries, which
// count down, are off by no more than this.
const lookupTTL = 50 * time.Millisecond

// cachedLookup holds the usable endpoints of a service as of a generation of the table.
type cachedLookup struct {
	entries    []*bbregistry.Entry
	generation uint64
	at         time.Duration
}

// Usable returns the endpoints of a service that may get new work. The result is shared: callers must not
// modify it.
func (k *Knowledge) Usable(service string) []*bbregistry.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	generation := k.table.Generation() + k.standing.DrainCount()
	if c, ok := k.lookups[service]; ok && c.generation == generation && now-c.at < lookupTTL {
		return c.entries
	}
	k.table.Expire(now)
	generation = k.table.Generation() + k.standing.DrainCount()
	if len(k.lookups) >= maxLookups {
		clear(k.lookups)
	}
	c := cachedLookup{
		entries:    slices.DeleteFunc(k.table.Of(now, service), func(e *bbregistry.Entry) bool { return k.standing.Leaving(process(e.Endpoint)) }),
		generation: generation,
		at:         now,
	}
	k.lookups[service] = c
	return c.entries
}

// Ready reports whether this VM can serve requests, and which versions of configuration and endpoints it has.
func (k *Knowledge) Ready() (ready bool, version uint64, revision bbrevision.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.index == nil {
		return false, 0, k.table.Revision
	}
	return k.listed, k.index.Catalog.Version, k.table.Revision
}

// ZoneOf returns the failure domain of a usable endpoint; empty if it is unknown.
func (k *Knowledge) ZoneOf(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.table.Usable(id); e != nil {
		return e.Zone
	}
	return ""
}

// VersionOf returns the version of the software of a usable endpoint, which is empty if its entry states none; false
// if the endpoint is unknown or not listed as usable.
func (k *Knowledge) VersionOf(id string) (version string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.table.Usable(id); e != nil {
		return e.Version, true
	}
	return "", false
}

// Versions returns the distinct versions of the software of all listed endpoints of a service, sorted. Endpoints that
// are leaving count, since they may have begun streams, and so does an empty version.
func (k *Knowledge) Versions(service string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Expire(k.now())
	return k.table.Versions(service)
}

// StoreAge returns the time since the platform last answered this VM or its source.
func (k *Knowledge) StoreAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now() - max(k.platformAnsweredAt, k.sourceFreshAt)
}

// Counts returns the number of endpoints by service.
func (k *Knowledge) Counts() map[string]bbregistry.Count {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Counts(k.now())
}
