package bbentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/status"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbcatalog"
)

const (
	// catalogBound is within what time a configuration is in force on all VMs, by the deployment specifications.
	catalogBound = 4 * time.Second
	// largeCatalogRoutes is the number of routes of a configuration of the largest size that the platform publishes, a
	// megabyte.
	largeCatalogRoutes = 3400
	// smallLink and largeLink are the rates of the VMs' links in bytes per second: 10 and 200 Mbit/s.
	smallLink = 10e6 / 8
	largeLink = 200e6 / 8
	// linkStep is the time step of the transfers over links.
	linkStep = 5 * time.Millisecond
)

// largeCatalog returns a configuration with a number of routes with random names and prefixes.
func largeCatalog(version uint64, routes int) bbcatalog.Catalog {
	c := bbcatalog.Catalog{
		Version: version,
	}
	luck := rand.New(rand.NewPCG(version, 1))
	for range routes {
		c.Routes = append(c.Routes, bbcatalog.Route{
			Name:        "r-" + strconv.FormatUint(luck.Uint64N(1<<36), 36),
			Host:        "portal.example",
			Prefix:      "/" + strconv.FormatUint(luck.Uint64N(1<<41), 36) + "/",
			Timeout:     time.Second,
			Objective:   time.Second,
			Shares:      []bbcatalog.Share{{Service: "s", Weight: 1}},
			MaxAttempts: 2,
			Anonymous:   true,
		})
	}
	return c
}

// links are the links of VMs, which all transfers from and to a VM share evenly.
type links struct {
	mu sync.Mutex
	// transfers counts the transfers in progress by VM, rate is the rate of a VM's link in bytes per second.
	transfers map[string]int
	rate      func(vm string) float64
	// sizes caches the encoded sizes of answers with a configuration by its version.
	sizes map[uint64]float64
	// sent counts the bytes that have been sent.
	sent float64
}

// size returns the encoded size of an answer in bytes.
func (l *links) size(t *testing.T, p bbpeer.Published) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n, ok := l.sizes[p.CatalogVersion]; ok && p.Catalog != nil {
		return n
	}
	data, err := encoding.GetCodec(bblink.CodecName).Marshal(&p)
	if err != nil {
		t.Error(err)
	}
	if p.Catalog != nil {
		l.sizes[p.CatalogVersion] = float64(len(data))
	}
	return float64(len(data))
}

// transfer returns when a number of bytes have been sent from one VM to another, or with the error of the context.
func (l *links) transfer(ctx context.Context, from, to string, bytes float64) error {
	l.mu.Lock()
	l.transfers[from]++
	l.transfers[to]++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.transfers[from]--
		l.transfers[to]--
	}()
	for left := bytes; left > 0; {
		time.Sleep(linkStep)
		if err := ctx.Err(); err != nil {
			return status.FromContextError(err).Err()
		}
		l.mu.Lock()
		share := min(l.rate(from)/float64(l.transfers[from]), l.rate(to)/float64(l.transfers[to])) * linkStep.Seconds()
		l.sent += min(share, left)
		l.mu.Unlock()
		left -= share
	}
	return nil
}

// useLinks sends what VMs fetch from each other over links with a rate from now on.
func (s *site) useLinks(rate func(vm string) float64) *links {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = &links{
		transfers: make(map[string]int),
		rate:      rate,
		sizes:     make(map[uint64]float64),
	}
	return s.links
}

// currentLinks returns the links in use.
func (s *site) currentLinks() *links {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links
}

// Guards against a configuration that comes into force late, because all VMs fetch it from the same VM at the same time
// and none gets it whole before its call times out.
func TestLargeCatalogReachesAllVMsInTime(t *testing.T) {
	for name, c := range map[string]struct {
		routes int
		// small reports whether a VM has a small link, given those that read the store.
		small func(reader bool) bool
	}{
		"a usual configuration over large links": {52, func(bool) bool { return false }},
		"large links":                            {largeCatalogRoutes, func(bool) bool { return false }},
		"readers with large ones":                {largeCatalogRoutes, func(reader bool) bool { return !reader }},
		"small links":                            {largeCatalogRoutes, func(bool) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 3, 12*time.Millisecond, func(s *site) {
				s.startAll()
				time.Sleep(4 * time.Second)
				readers := make(map[string]bool)
				s.each(func(v *siteVM) {
					if v.Knowledge.ReadsPlatform() {
						readers[v.settings.Self.Name] = true
					}
				})
				l := s.useLinks(func(vm string) float64 {
					if c.small(readers[vm]) {
						return smallLink
					}
					return largeLink
				})
				s.publish(largeCatalog(s.catalog+1, c.routes))
				began := time.Now()
				last := s.awaitCatalog(30 * time.Second)
				synctest.Wait()
				l.mu.Lock()
				defer l.mu.Unlock()
				t.Logf("in force everywhere after %v, %.0f KB sent; %d VMs read the store", last, l.sent/1e3, len(readers))
				if last > catalogBound {
					t.Errorf("the configuration is in force everywhere after %v, want %v", time.Since(began), catalogBound)
				}
			})
		})
	}
}

// publish makes a configuration the store's.
func (s *site) publish(c bbcatalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog, s.published = c.Version, &c
}

// awaitCatalog returns how long it takes until all VMs have the store's configuration in force.
func (s *site) awaitCatalog(limit time.Duration) time.Duration {
	s.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		synctest.Wait()
		s.mu.Lock()
		want := s.catalog
		s.mu.Unlock()
		late := 0
		s.each(func(v *siteVM) {
			if _, version, _ := v.Knowledge.Ready(); version != want {
				late++
			}
		})
		if late == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}
