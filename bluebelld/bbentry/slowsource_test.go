package bbentry

import (
	"testing"
	"testing/synctest"
	"time"
)

// slowZone is the failure domain whose relay has a slow link in the test below.
const slowZone = "z1"

// startSlowRelay starts all VMs and slows the link of the relay of slowZone down to a rate in bytes per second.
func (s *site) startSlowRelay(rate float64) *siteVM {
	s.t.Helper()
	s.startAll()
	time.Sleep(4 * time.Second)
	var relay *siteVM
	s.each(func(v *siteVM) {
		m, ok := v.fleet.CatalogRelay()
		if ok && m.Name == v.settings.Self.Name && m.Zone == slowZone {
			relay = v
		}
	})
	if relay == nil {
		s.t.Fatalf("no VM passes configurations on in %s", slowZone)
	}
	s.useLinks(func(vm string) float64 {
		if vm == relay.settings.Self.Name {
			return rate
		}
		return largeLink
	})
	return relay
}

// lateVMs returns the VMs other than one that lack the store's configuration.
func (s *site) lateVMs(except *siteVM) []string {
	synctest.Wait()
	var late []string
	s.each(func(v *siteVM) {
		if _, version, _ := v.Knowledge.Ready(); version != s.catalog && v != except {
			late = append(late, v.settings.Self.Name)
		}
	})
	return late
}

// Guards against a configuration that comes into force late in a whole failure domain, because the VM that passes it on
// there has a slow link and the others stay with it, though VMs of other failure domains have the configuration too.
func TestSlowRelayDelaysNoOtherVM(t *testing.T) {
	for name, c := range map[string]struct {
		rate float64
		// reads is true if the relay has the configuration from the store, over another link.
		reads bool
	}{
		"relay that fetches it":                   {0.5e6 / 8, false},
		"relay that reads the store":              {1e6 / 8, true},
		"relay that reads the store, slower link": {0.3e6 / 8, true},
	} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 3, 12*time.Millisecond, func(s *site) {
				relay := s.startSlowRelay(c.rate)
				catalog := largeCatalog(s.catalog+1, largeCatalogRoutes)
				s.publish(catalog)
				began := time.Now()
				if c.reads {
					relay.Knowledge.OfferCatalog(catalog, "store")
				}
				late := s.lateVMs(relay)
				for len(late) > 0 && time.Since(began) < catalogBound {
					time.Sleep(10 * time.Millisecond)
					late = s.lateVMs(relay)
				}
				if len(late) > 0 {
					t.Errorf("VMs with large links that lack the configuration after %v: %v", catalogBound, late)
				}
			})
		})
	}
}
