// Package bbpreview shows how a change of the rules would affect the capacity of services
// and pipelines, before the rules are published.
package bbpreview

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// Preview is the difference in serving capacity between two rule sets.
type Preview struct {
	// Services lists the services whose endpoints change, those of the old set first, in file order.
	Services []ServiceChange `json:"services"`
	// Findings lists services and stages that would lose all endpoints, and services
	// that would have fewer slots than requests.
	Findings []string `json:"findings,omitempty"`
}

// ServiceChange is the difference for one service.
type ServiceChange struct {
	Service string `json:"service"`
	// Leaving and Joining list endpoints that stop or start getting new work, in file order.
	Leaving []string `json:"leaving,omitempty"`
	Joining []string `json:"joining,omitempty"`
	// EndpointsBefore and EndpointsAfter are the numbers of endpoints that get new work.
	EndpointsBefore int `json:"endpointsBefore"`
	EndpointsAfter  int `json:"endpointsAfter"`
	// SlotsBefore and SlotsAfter are the numbers of requests that they run at once when warm.
	SlotsBefore int `json:"slotsBefore"`
	SlotsAfter  int `json:"slotsAfter"`
	// ColdSlots is the number of requests that the joining endpoints run at once while cold.
	ColdSlots int `json:"coldSlots,omitempty"`
	// Busy is the number of requests running or queued at the service's endpoints, Moving
	// the part of them at leaving endpoints; both are -1 when no entry VM was asked.
	Busy   int `json:"busy"`
	Moving int `json:"moving"`
}

// WithDomainOut returns a copy of a rule set in which a failure domain is taken out of
// service (out is true) or brought back. It fails if the domain is not declared or is in that state already.
func WithDomainOut(set *bbrule.RuleSet, domain string, out bool) (*bbrule.RuleSet, error) {
	changed := *set
	changed.Domains = slices.Clone(set.Domains)
	for i := range changed.Domains {
		d := &changed.Domains[i]
		if d.Name != domain {
			continue
		}
		if d.Out == out {
			return nil, errors.Newf("failure domain %q is already %s", domain, serviceState(out))
		}
		d.Out = out
		return &changed, nil
	}
	return nil, errors.Newf("failure domain %q is not declared", domain)
}

// Compare returns what changes when one rule set replaces another. The statuses are the
// present reports of entry VMs; without any, the numbers of requests are unknown.
func Compare(before, after *bbrule.RuleSet, statuses []*bbmsg.Status) Preview {
	oldIndex, newIndex := bbrule.NewIndex(before), bbrule.NewIndex(after)
	digests := digestsByName(statuses)
	preview := Preview{
		Services: []ServiceChange{},
	}
	for _, name := range serviceNames(before, after) {
		change := compareService(name, oldIndex, newIndex)
		if len(change.Leaving)+len(change.Joining) == 0 {
			continue
		}
		change.countWork(oldIndex, digests)
		preview.Services = append(preview.Services, change)
		preview.Findings = append(preview.Findings, change.findings()...)
	}
	preview.Findings = append(preview.Findings, pipelineFindings(oldIndex, newIndex)...)
	return preview
}

// serviceNames returns the names of the services in either set, those of the first set first.
func serviceNames(before, after *bbrule.RuleSet) []string {
	var names []string
	for _, s := range slices.Concat(before.Services, after.Services) {
		if !slices.Contains(names, s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// compareService returns the change in endpoints and slots of one service.
func compareService(name string, before, after *bbrule.Index) ServiceChange {
	change := ServiceChange{
		Service: name,
		Busy:    -1,
		Moving:  -1,
	}
	for _, e := range before.ServiceEndpoints[name] {
		if before.IsOut(e) {
			continue
		}
		change.EndpointsBefore++
		change.SlotsBefore += e.WarmSlots
		if !acceptsNewWork(after, e.Name, name) {
			change.Leaving = append(change.Leaving, e.Name)
		}
	}
	for _, e := range after.ServiceEndpoints[name] {
		if after.IsOut(e) {
			continue
		}
		change.EndpointsAfter++
		change.SlotsAfter += e.WarmSlots
		if !acceptsNewWork(before, e.Name, name) {
			change.Joining = append(change.Joining, e.Name)
			change.ColdSlots += e.ColdSlots
		}
	}
	return change
}

// acceptsNewWork returns true when an endpoint belongs to the service and its failure domain is not out.
func acceptsNewWork(x *bbrule.Index, endpoint, service string) bool {
	e := x.Endpoints[endpoint]
	return e != nil && e.Service == service && !x.IsOut(e)
}

// countWork fills in the numbers of requests that are running or queued.
func (c *ServiceChange) countWork(before *bbrule.Index, digests map[string]bbmsg.EndpointDigest) {
	if len(digests) == 0 {
		return
	}
	c.Busy, c.Moving = 0, 0
	for _, e := range before.ServiceEndpoints[c.Service] {
		d := digests[e.Name]
		c.Busy += d.InFlight + d.Queued
		if slices.Contains(c.Leaving, e.Name) {
			c.Moving += d.InFlight + d.Queued
		}
	}
}

// findings reports a service that loses its last endpoint or has fewer slots than requests.
func (c *ServiceChange) findings() []string {
	if c.EndpointsAfter == 0 && c.EndpointsBefore > 0 {
		return []string{fmt.Sprintf("service %s has no endpoint left", c.Service)}
	}
	if c.Busy > c.SlotsAfter {
		return []string{fmt.Sprintf("service %s has %d requests and would have %d slots", c.Service, c.Busy, c.SlotsAfter)}
	}
	return nil
}

// pipelineFindings reports stages that have an endpoint before the change and none after it.
func pipelineFindings(before, after *bbrule.Index) []string {
	var findings []string
	for _, p := range after.Set.Pipelines {
		for i, s := range p.Stages {
			if !isServed(after, s) && isServed(before, s) {
				findings = append(findings, fmt.Sprintf("pipeline %s: stage %d has no endpoint left that is declared for it", p.Name, i+1))
			}
		}
	}
	return findings
}

// isServed returns true when an endpoint that gets new work has the model of the stage, if it names one.
func isServed(x *bbrule.Index, s bbrule.Stage) bool {
	return slices.ContainsFunc(x.ServiceEndpoints[s.Service], func(e *bbrule.Endpoint) bool {
		return !x.IsOut(e) && (s.Model == "" || e.Model == s.Model)
	})
}

// digestsByName returns the endpoint digests in the statuses, by endpoint name.
func digestsByName(statuses []*bbmsg.Status) map[string]bbmsg.EndpointDigest {
	digests := map[string]bbmsg.EndpointDigest{}
	for _, s := range statuses {
		for _, d := range s.Endpoints {
			digests[d.Name] = d
		}
	}
	return digests
}

func serviceState(out bool) string {
	if out {
		return "out of service"
	}
	return "in service"
}
