package bbconfig

import (
	"fmt"
	"slices"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// OfferRules offers a rules text from the platform or a peer, and returns true if it was adopted and is now
// in force. Events are returned by the next Tick.
func (c *Config) OfferRules(source string, offer bbmsg.RulesText) bool {
	v := version{
		revision: offer.Revision,
		digest:   bbrule.Digest(offer.Text),
	}
	c.recordRulesOffer(source, v)
	current := c.version()
	if v == current || c.isRefused(v) {
		return false
	}
	if v.revision < 1 || v.revision < current.revision {
		c.reportRules(bbevent.RulesStale, source, v, fmt.Sprintf("revision %d offered, %d is in force", v.revision, current.revision))
		return false
	}
	if v.revision == current.revision {
		c.reportRules(bbevent.RulesConflict, source, v,
			fmt.Sprintf("revision %d has digests %x and %x; the higher is kept if valid", v.revision, current.digest, v.digest))
	}
	if !v.supersedes(current) {
		return false
	}
	set, findings := bbrule.Parse(offer.Text)
	if len(findings) > 0 {
		c.refuse(source, v, findings)
		return false
	}
	c.adoptRules(source, &Rules{
		Revision: v.revision,
		Digest:   v.digest,
		Text:     offer.Text,
		Index:    bbrule.NewIndex(set),
	})
	return true
}

// recordRulesOffer records the highest version that a source has offered.
func (c *Config) recordRulesOffer(source string, v version) {
	c.newestOffered = max(c.newestOffered, v.revision)
	if source == SourcePlatform {
		c.platformRules = max(c.platformRules, v.revision)
		return
	}
	if p := c.peers[source]; p != nil && v.supersedes(p.rules) {
		p.rules = v
		p.hasReported = true
	}
}

// adoptRules puts rules in force.
func (c *Config) adoptRules(source string, rules *Rules) {
	former := c.rules
	c.rules = rules
	c.refused = slices.DeleteFunc(c.refused, func(r bbmsg.RefusedRules) bool {
		return !refusedVersion(r).supersedes(c.version())
	})
	c.event(bbevent.RulesInForce, source, fmt.Sprintf("revision %d, digest %x", rules.Revision, rules.Digest))
	c.reportDomains(source, former)
}

// reportDomains reports the failure domains that the new rules evacuate or bring back; former is nil for
// the first rules.
func (c *Config) reportDomains(source string, former *Rules) {
	for _, d := range c.rules.Index.Set.Domains {
		wasOut := former != nil && isEvacuated(former.Index, d.Name)
		if d.Out && !wasOut {
			c.event(bbevent.DomainOut, source, d.Name+": "+d.OutAskedBy)
		}
		if !d.Out && wasOut {
			c.event(bbevent.DomainBack, source, d.Name)
		}
	}
}

// refuse records an invalid text, so that it is parsed only once, and reports it. The lowest version is
// evicted if there are too many.
func (c *Config) refuse(source string, v version, findings []bbrule.Finding) {
	r := bbmsg.RefusedRules{
		Revision: v.revision,
		Digest:   v.digest,
		Source:   source,
		Findings: len(findings),
		First:    findings[0].String(),
	}
	at, _ := slices.BinarySearchFunc(c.refused, v, func(r bbmsg.RefusedRules, v version) int {
		if v.supersedes(refusedVersion(r)) {
			return -1
		}
		return 1
	})
	c.refused = slices.Insert(c.refused, at, r)
	if len(c.refused) > maxRefused {
		c.refused = slices.Delete(c.refused, 0, 1)
	}
	c.event(bbevent.RulesRefused, source, fmt.Sprintf("revision %d has %d findings; the first is %s", v.revision, r.Findings, r.First))
}

// isRefused returns true for a version that was refused before.
func (c *Config) isRefused(v version) bool {
	return slices.ContainsFunc(c.refused, func(r bbmsg.RefusedRules) bool {
		return refusedVersion(r) == v
	})
}

// reportRules queues an event unless it repeats the latest one.
func (c *Config) reportRules(number bbevent.Number, source string, v version, detail string) {
	r := report{
		version: v,
		source:  source,
	}
	if r == c.reportedRules {
		return
	}
	c.reportedRules = r
	c.event(number, source, detail)
}

func refusedVersion(r bbmsg.RefusedRules) version {
	return version{
		revision: r.Revision,
		digest:   r.Digest,
	}
}

// isEvacuated reports whether rules evacuate a failure domain.
func isEvacuated(x *bbrule.Index, domain string) bool {
	d := x.Domains[domain]
	return d != nil && d.Out
}
