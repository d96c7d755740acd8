package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbprogress"
)

// CatalogChanged handles a new configuration: requests in progress go on in the regions that it allows.
func (c *Coordinator) CatalogChanged(now time.Duration) bbdecision.Output {
	for _, j := range c.jobs {
		c.updateRegions(j)
	}
	return c.decide(now)
}

// updateRegions takes over the regions of a request from the configuration of this VM, unless those that are known are of
// a later one.
func (c *Coordinator) updateRegions(j *bbprogress.Job) {
	if regions, version, ok := c.env.Regions(j.Order.Route, j.Order.Account); ok {
		setRegions(j, regions, version)
	}
}

// setRegions sets the regions of a request unless those that are known are of a later configuration.
func setRegions(j *bbprogress.Job, regions []string, version uint64) {
	if version >= j.Order.CatalogVersion {
		j.Order.Regions, j.Order.CatalogVersion = regions, version
	}
}

// allowed returns a predicate for the failure domains in which a request may be served. It follows changes of the
// request's regions.
func (c *Coordinator) allowed(j *bbprogress.Job) func(zone string) bool {
	return func(zone string) bool { return bbcatalog.InRegions(j.Order.Regions, c.env.Region(zone)) }
}
