// Package bbknowledge has what an entry VM knows of the platform: the configuration in force, the
// endpoints, and what these said of themselves.
package bbknowledge

import (
	"slices"
	"sync"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

const (
	// staleAfter is when a VM that hears nothing of the platform asks others for its
	// endpoints: a little more than the usual time between two readings.
	staleAfter = 1200 * time.Millisecond
	// unfollowedAfter is when a VM that follows another one's endpoints may read the platform
	// itself: some readings of the other one and calls to it, and half of the least bound for
	// leaving endpoints in fleets of that size.
	sourceTimeout = 2 * time.Second
	// maxLookups bounds the services whose endpoints are kept as looked up.
	maxLookups = 1000
	// outageMemory is how long after the end of an outage missing entries may return.
	outageGracePeriod = 2500 * time.Millisecond
)

// Knowledge is what the platform published, as far as this VM knows it.
type Knowledge struct {
	now func() time.Duration
	// Changed is called after a newer catalog came into force.
	OnCatalogChange func(c bbcatalog.Catalog, source string)

	mu    sync.Mutex
	index *bbcatalog.Index
	table *bbregistry.Table
	// standing has what endpoints said of themselves to this VM.
	standing *bbstanding.Table
	// lookups has the usable endpoints of services, as they were looked up last.
	lookups map[string]cachedLookup
	// listed is true once the endpoints were read.
	listed bool
	// heardAt is when the platform last answered; failing is true since a call failed.
	platformAnsweredAt time.Duration
	failing            bool
	// followedAt is when the platform last answered the VM that this one follows, and toldAt when
	// that VM last answered.
	sourceFreshAt, sourceAnsweredAt time.Duration
	// notReading is true while another VM reads the platform for this one.
	followsSource bool
	// outageEnd is when the platform answered again after an outage.
	outageEnd time.Duration
	outage    bool
}

// NewKnowledge returns the knowledge of a VM that has read nothing.
func NewKnowledge(now func() time.Duration) *Knowledge {
	return &Knowledge{
		now:             now,
		OnCatalogChange: func(bbcatalog.Catalog, string) {},
		table:           bbregistry.NewTable(),
		standing:        bbstanding.NewTable(),
		lookups:         make(map[string]cachedLookup),
	}
}

// Observe makes a function hear of each change of an endpoint.
func (k *Knowledge) OnEndpointChange(changed func(e bbregistry.Endpoint, c bbregistry.Change)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.OnChange = changed
}

// OfferCatalog brings a catalog into force if it is newer than the present one.
func (k *Knowledge) OfferCatalog(c bbcatalog.Catalog, source string) bool {
	k.mu.Lock()
	newer := k.index == nil || c.Version > k.index.Catalog.Version
	if newer {
		k.index = bbcatalog.NewIndex(c)
	}
	k.mu.Unlock()
	if newer {
		k.OnCatalogChange(c, source)
	}
	return newer
}

// Index returns the configuration in force, or nil.
func (k *Knowledge) Index() *bbcatalog.Index {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index
}

// Endpoints lets a function change the table of endpoints. Grace is true while entries
// may be missing because of an outage.
func (k *Knowledge) UpdateEndpoints(change func(t *bbregistry.Table, now time.Duration, grace bool)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	change(k.table, now, k.outage && now-k.outageEnd < outageGracePeriod)
	k.listed = true
}

// Operators lets a function change what operators said of failure domains.
func (k *Knowledge) UpdateOperatorState(change func(t *bbregistry.Table)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.table)
}

// Heard notes that the platform answered. It is true when it had not before.
func (k *Knowledge) RecordPlatformAnswer() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	back := k.failing
	if back {
		k.outage = true
		k.outageEnd = now
	}
	k.failing = false
	k.platformAnsweredAt = now
	return back
}

// Failed notes that a call to the platform failed. It is true when the last one had not.
func (k *Knowledge) RecordPlatformFailure() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := !k.failing
	k.failing = true
	return first
}

// Revision returns the platform's revision up to which this VM knows the endpoints.
func (k *Knowledge) Revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Revision
}

// IsStale tells whether this VM should ask others for the endpoints.
func (k *Knowledge) IsStale() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.listed || k.now()-k.platformAnsweredAt > staleAfter
}

// Follow takes in the endpoints of another VM, which heard of the platform some time ago. It
// is false if this VM knows newer ones. Turned are the failure domains that were taken out or
// brought back by it.
func (k *Knowledge) ApplyPeerDelta(d bbregistry.Delta, storeAge time.Duration, zones map[string]string) (turned map[string]bool, taken bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sourceFreshAt = max(k.sourceFreshAt, k.now()-storeAge)
	if k.listed && d.Revision < k.table.Revision {
		return nil, false
	}
	before := make(map[string]bool, len(zones))
	for zone := range zones {
		before[zone] = k.table.Evacuated(zone)
	}
	k.table.Apply(k.now(), d)
	k.listed = true
	turned = make(map[string]bool)
	for zone, out := range before {
		if now := k.table.Evacuated(zone); now != out {
			turned[zone] = now
		}
	}
	return turned, true
}

// Told notes that the VM that this one follows answered.
func (k *Knowledge) RecordSourceAnswer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sourceAnsweredAt = k.now()
}

// Unfollowed tells whether the VM that this one follows is silent, and whether it lost the
// platform.
func (k *Knowledge) SourceHealth() (silent, outdated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	return now-k.sourceAnsweredAt > sourceTimeout, now-k.sourceFreshAt > sourceTimeout
}

// Since returns the changes of endpoints after a number of them.
func (k *Knowledge) Since(sequence uint64) bbregistry.Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Since(k.now(), sequence)
}

// HasListed tells whether the endpoints were read.
func (k *Knowledge) HasListed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listed
}

// Reading tells whether this VM reads the platform itself, or another does it for it.
func (k *Knowledge) ReadsPlatform() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.followsSource
}

// SetReading notes whether this VM reads the platform itself.
func (k *Knowledge) SetReadsPlatform(reads bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followsSource = !reads
}

// cachedFor is how long the endpoints of a service are kept as they were looked up: cold
// times run off only a little in it.
const lookupTTL = 50 * time.Millisecond

// cached is the usable endpoints of a service as of a state of the table.
type cachedLookup struct {
	entries    []*bbregistry.Entry
	generation uint64
	at         time.Duration
}

// Usable returns the endpoints of a service that may get new work. Callers must not change
// them.
func (k *Knowledge) Usable(service string) []*bbregistry.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.table.Expire(now)
	state := k.table.Generation() + k.standing.DrainCount()
	if c, ok := k.lookups[service]; ok && c.generation == state && now-c.at < lookupTTL {
		return c.entries
	}
	if len(k.lookups) >= maxLookups {
		clear(k.lookups)
	}
	c := cachedLookup{
		entries:    slices.DeleteFunc(k.table.Of(now, service), func(e *bbregistry.Entry) bool { return k.standing.Leaving(process(e.Endpoint)) }),
		generation: state,
		at:         now,
	}
	k.lookups[service] = c
	return c.entries
}

// Ready tells whether this VM can serve, and what it knows.
func (k *Knowledge) Ready() (ready bool, version, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.index == nil {
		return false, 0, k.table.Revision
	}
	return k.listed, k.index.Catalog.Version, k.table.Revision
}

// ZoneOf returns the failure domain of an endpoint, empty if it is not known.
func (k *Knowledge) ZoneOf(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.table.Usable(id); e != nil {
		return e.Zone
	}
	return ""
}

// StoreAge returns the time since the platform last answered this VM or the one that it follows.
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
