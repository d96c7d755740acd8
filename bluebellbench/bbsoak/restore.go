package bbsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/platform/bbfakestore"
)

// rewriteTime is the time within which endpoints and operators write again what a copy lacks.
const rewriteTime = 2 * time.Second

// restore brings the store back from one of the copies; age counts back from the last one. Then a new version of the
// configuration is written, and what the copy lacks: by each endpoint after the delay drawn for it, by the operators
// after the last of the delays. Entries of endpoints that are gone expire.
func (f *Fleet) restore(age int, delays []time.Duration) error {
	f.copies.Restore(age)
	if err := f.Configure(); err != nil {
		return err
	}
	for i, b := range f.backEnds {
		time.AfterFunc(delays[i], func() { f.rewrite(b) })
	}
	time.AfterFunc(delays[len(f.backEnds)], f.rewriteEvacuations)
	for _, id := range f.store.EndpointIDs() {
		time.AfterFunc(entryExpiry, func() { f.expire(id) })
	}
	return nil
}

// rewriteEvacuations writes the evacuations again, and the ends of those that have ended.
func (f *Fleet) rewriteEvacuations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, zone := range bbdeployment.Zones {
		intervals := f.evacuated[zone]
		f.store.Evacuate(zone, len(intervals) > 0 && intervals[len(intervals)-1].Until.IsZero())
	}
}

// rewrite writes the entry of an endpoint again if it runs.
func (f *Fleet) rewrite(b *backEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleanup == nil {
		return
	}
	entry := b.current.Entry
	entry.Leaving = b.leaving
	// The entry was encoded before; it can't fail now.
	_ = f.store.PutEndpoint(entry, b.current.Version)
}

// expire removes the entry of an endpoint unless it runs.
func (f *Fleet) expire(id string) {
	runs := slices.ContainsFunc(f.backEnds, func(b *backEnd) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.cleanup != nil && b.current.Entry.ID == id
	})
	if !runs {
		f.store.RemoveEndpoint(id)
	}
}

// restoreStore takes the store down and brings it back from an older copy.
func restoreStore(f *Fleet, random *rand.Rand) Fault {
	age := random.IntN(bbfakestore.MaxCopies)
	delays := make([]time.Duration, len(f.backEnds)+1)
	for i := range delays {
		delays[i] = time.Duration(random.Int64N(int64(rewriteTime)))
	}
	fault := storeDown(f, random)
	fault.Name = fmt.Sprintf("the store comes back from a copy %v old", time.Duration(age)*bbfakestore.CopyGap)
	fault.end = func() error {
		defer f.store.SetDown(false)
		return f.restore(age, delays)
	}
	return fault
}
