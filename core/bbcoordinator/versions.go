package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbplacement"
	"bluebellhall/core/bbprogress"
)

const (
	// noVersion is the reason of refusals for want of an engine of the version that began the stream.
	noVersion = "noVersion"
	// versionRetryAfter is the delay after such a refusal: an engine that has crashed needs a second or more to
	// register again.
	versionRetryAfter = time.Second
)

// lacksVersion reports whether a request needs an engine of a version that no engine has which it may use. Engines
// that are busy count: the request waits for them. Those at which it has failed don't: it is never sent there again.
func (c *Coordinator) lacksVersion(j *bbprogress.Job) bool {
	if j.Order.Version == "" {
		return false
	}
	need := bbplacement.Need{
		Version: j.Order.Version,
		Allowed: c.allowed(j),
		Avoid:   j.Excluded,
	}
	return !need.SuitsAny(c.supply.Engines(j.Order.Service))
}

// refuseLacking refuses a request in progress that lacks engines of its version. It reports whether it did.
func (c *Coordinator) refuseLacking(now time.Duration, j *bbprogress.Job) bool {
	if !c.lacksVersion(j) {
		return false
	}
	c.refuse(j.Order.ID, noVersion, versionRetryAfter, now-j.Arrived)
	c.drop(j)
	return true
}

// needsVersion reports whether a request needs engines of a version. The empty version stands for any request.
func needsVersion(j *bbprogress.Job, version string) bool {
	return version == "" || j.Order.Version == version
}

// countWaiting returns the number of requests that wait for an engine; with a version, of those that need an engine
// of that version.
func (c *Coordinator) countWaiting(version string) int {
	if version == "" {
		return len(c.waiting)
	}
	n := 0
	for _, j := range c.waiting {
		if needsVersion(j, version) {
			n++
		}
	}
	return n
}
