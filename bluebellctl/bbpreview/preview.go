// Package bbpreview tells what a change of the rules would do to the capacity of
// services and pipelines before it is published.
package bbpreview

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// Preview is the difference between two rule sets in what can carry work.
type Preview struct {
	// Services lists the services of both sets that change, in file order.
	Services []ServiceChange `json:"services"`
	// Findings lists what could no longer be served or would be short.
	Findings []string `json:"findings,omitempty"`
}

// ServiceChange is the difference for one service.
type ServiceChange struct {
	Service string `json:"service"`
	// Leaving and Joining list endpoints that stop or start to get new work, in file order.
	Leaving []string `json:"leaving,omitempty"`
	Joining []string `json:"joining,omitempty"`
	// EndpointsBefore and EndpointsAfter count endpoints that get new work.
	EndpointsBefore int `json:"endpointsBefore"`
	EndpointsAfter  int `json:"endpointsAfter"`
	// SlotsBefore and SlotsAfter count what they carry when warm.
	SlotsBefore int `json:"slotsBefore"`
	SlotsAfter  int `json:"slotsAfter"`
	// ColdSlots counts what the joining endpoints carry at first.
	ColdSlots int `json:"coldSlots,omitempty"`
	// Busy counts the requests on or waiting for the service's endpoints, Moving
	// those of the leaving ones; -1 when no entry VM was asked.
	Busy   int `json:"busy"`
	Moving int `json:"moving"`
}

// WithDomain returns a copy of a set with a failure domain taken out or brought back.
func WithDomainOut(set *bbrule.RuleSet, domain string, out bool) (*bbrule.RuleSet, error) {
	changed := *set
	changed.Domains = slices.Clone(set.Domains)
	for i := range changed.Domains {
		d := &changed.Domains[i]
		if d.Name != domain {
			continue
		}
		if d.Out == out {
			return nil, errors.Newf("failure domain %q is %s already", domain, serviceState(out))
		}
		d.Out = out
		return &changed, nil
	}
	return nil, errors.Newf("failure domain %q is not declared", domain)
}

// Compare returns what the step from one set to another changes. statuses are what
// entry VMs say now; without any, nothing is told of running work.
func Compare(before, after *bbrule.RuleSet, statuses []*bbmsg.Status) Preview {
	old, young := bbrule.NewIndex(before), bbrule.NewIndex(after)
	digests := digestsByName(statuses)
	preview := Preview{
		Services: []ServiceChange{},
	}
	for _, name := range serviceNames(before, after) {
		change := compareService(name, old, young)
		if len(change.Leaving)+len(change.Joining) == 0 {
			continue
		}
		change.countWork(old, digests)
		preview.Services = append(preview.Services, change)
		preview.Findings = append(preview.Findings, change.findings()...)
	}
	preview.Findings = append(preview.Findings, pipelineFindings(old, young)...)
	return preview
}

// serviceNames returns the services of both sets, those of the first set first.
func serviceNames(before, after *bbrule.RuleSet) []string {
	var names []string
	for _, s := range slices.Concat(before.Services, after.Services) {
		if !slices.Contains(names, s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// compareService returns the difference for one service.
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

// carries returns true when an endpoint gets new work of a service.
func acceptsNewWork(x *bbrule.Index, endpoint, service string) bool {
	e := x.Endpoints[endpoint]
	return e != nil && e.Service == service && !x.IsOut(e)
}

// countWork fills in the requests that run or wait now.
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

// findings returns what the change leaves without endpoints or short of slots.
func (c *ServiceChange) findings() []string {
	if c.EndpointsAfter == 0 && c.EndpointsBefore > 0 {
		return []string{fmt.Sprintf("service %s has no endpoint left", c.Service)}
	}
	if c.Busy > c.SlotsAfter {
		return []string{fmt.Sprintf("service %s has %d requests and would have %d slots", c.Service, c.Busy, c.SlotsAfter)}
	}
	return nil
}

// pipelineFindings reports stages that only the former set could serve.
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

// isServed returns true when an endpoint that gets new work is declared for the stage.
func isServed(x *bbrule.Index, s bbrule.Stage) bool {
	return slices.ContainsFunc(x.ServiceEndpoints[s.Service], func(e *bbrule.Endpoint) bool {
		return !x.IsOut(e) && (s.Model == "" || e.Model == s.Model)
	})
}

// digestsByName returns the endpoints that the entry VMs tell of.
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
		return "out"
	}
	return "in"
}
