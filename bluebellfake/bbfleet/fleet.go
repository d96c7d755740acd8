package bbfleet

import (
	"strings"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/bluebellfake/bbengine"
	"bluebellhall/bluebellfake/bbplatform"
	"bluebellhall/bluebellfake/bbpool"
	"bluebellhall/core/bbjson"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
)

// Fleet is a running platform with the endpoints of its rules.
type Fleet struct {
	// Platform publishes the rules and the members.
	Platform *bbplatform.Platform
	// Rules has the addresses in use, and Text is what was published of them.
	Rules *bbrule.RuleSet
	Text  string
	// Endpoints has every endpoint by name; Engines and Pools have the same by kind.
	Endpoints map[string]*bbendpoint.Endpoint
	Engines   map[string]*bbengine.Engine
	Pools     map[string]*bbpool.Pool

	settings Settings
	store    *bbengine.WeightStore
	cleanups []func()
}

// Start starts a platform and all endpoints of a rules text, and publishes the text
// and the members. The clean-up function stops all. The error names all findings.
func Start(s Settings, text string) (*Fleet, func(), error) {
	rules, found := bbrule.Parse(text)
	if len(found) > 0 {
		return nil, nil, errors.Newf("rules: %d findings, the first at %d:%d: %s",
			len(found), found[0].Line, found[0].Column, found[0].Text)
	}
	if findings := Check(s, rules); len(findings) > 0 {
		return nil, nil, findingsError(findings)
	}
	f := &Fleet{
		Rules:     rules,
		Text:      text,
		Endpoints: map[string]*bbendpoint.Endpoint{},
		Engines:   map[string]*bbengine.Engine{},
		Pools:     map[string]*bbpool.Pool{},
		settings:  s,
		store:     &bbengine.WeightStore{BytesPerSecond: rules.Limits.WeightStoreRate},
	}
	if err := f.start(); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

func findingsError(findings []bbjson.Finding) error {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.String()
	}
	return errors.Newf("settings: %s", strings.Join(lines, "\n"))
}

func (f *Fleet) start() error {
	platform, cleanup, err := bbplatform.Start(bbplatform.Settings{
		Address:        f.settings.Platform.Address,
		CallsPerSecond: f.settings.Platform.CallsPerSecond,
		MemberLag:      millis(f.settings.Platform.MemberLagMillis),
	})
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	f.Platform = platform
	f.cleanups = append(f.cleanups, cleanup)
	kinds := map[string]bbrule.ServiceKind{}
	for _, s := range f.Rules.Services {
		kinds[s.Name] = s.Kind
	}
	for i := range f.Rules.Endpoints {
		e := &f.Rules.Endpoints[i]
		if err := f.startEndpoint(e, kinds[e.Service], uint64(i)); err != nil {
			return errors.Wrapf(err, "endpoint %s", e.Name)
		}
	}
	if f.settings.FreePorts {
		f.Text = bbrule.Format(f.Rules)
	}
	platform.PublishRules(f.Text)
	platform.PublishMembers(f.members())
	return nil
}

// stop stops all in the opposite order of their start.
func (f *Fleet) stop() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
	f.cleanups = nil
}

func (f *Fleet) startEndpoint(e *bbrule.Endpoint, kind bbrule.ServiceKind, number uint64) error {
	shared := f.sharedSettings(e, number)
	if kind == bbrule.KindEngine {
		return f.startEngine(e, shared)
	}
	pool, cleanup, err := bbpool.Start(bbpool.Settings{
		Endpoint:    shared,
		Kind:        kind,
		ServiceTime: millis(f.settings.Endpoints.ServiceMillis),
	})
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, cleanup)
	f.Pools[e.Name] = pool
	f.Endpoints[e.Name] = pool.Endpoint
	e.Address = pool.Address()
	return nil
}

func (f *Fleet) startEngine(e *bbrule.Endpoint, shared bbendpoint.Settings) error {
	models := map[string]int64{}
	for _, m := range f.Rules.Models {
		models[m.Name] = m.WeightBytes
	}
	s := f.settings.Endpoints
	engine, cleanup, err := bbengine.Start(bbengine.Settings{
		Endpoint:        shared,
		Model:           e.Model,
		Models:          models,
		Store:           f.store,
		ChecksFencing:   e.ChecksFencing,
		BaseStep:        micros(s.BaseStepMicros),
		StreamStep:      micros(s.StreamStepMicros),
		PrefillKilobyte: micros(s.PrefillMicros),
		CacheBytes:      s.CacheBytes,
		EventLag:        millis(s.EventLagMillis),
	})
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, cleanup)
	f.Engines[e.Name] = engine
	f.Endpoints[e.Name] = engine.Endpoint
	e.Address = engine.Address()
	return nil
}

// shared returns the settings that all kinds of endpoint have.
func (f *Fleet) sharedSettings(e *bbrule.Endpoint, number uint64) bbendpoint.Settings {
	s := f.settings.Endpoints
	address := e.Address
	if f.settings.FreePorts {
		address = ""
	}
	return bbendpoint.Settings{
		Name:        e.Name,
		Address:     address,
		WarmSlots:   e.WarmSlots,
		ColdSlots:   e.ColdSlots,
		WarmAfter:   s.WarmAfter,
		WarmTime:    millis(s.WarmMillis),
		StartWarm:   s.StartWarm,
		LoadingTime: millis(s.LoadingMillis),
		RestartTime: millis(s.RestartMillis),
		ReportLag:   millis(s.ReportLagMillis),
		HidesLoad:   !f.reportsLoad(e.Service),
		Seed:        f.settings.Seed + number,
	}
}

func (f *Fleet) reportsLoad(service string) bool {
	for _, s := range f.Rules.Services {
		if s.Name == service {
			return s.ReportsLoad
		}
	}
	return false
}

// members returns the member list of the settings and the rules.
func (f *Fleet) members() []bbmsg.Member {
	regions := map[string]string{}
	for _, d := range f.Rules.Domains {
		regions[d.Name] = d.Region
	}
	var members []bbmsg.Member
	for _, v := range f.settings.EntryVMs {
		members = append(members, bbmsg.Member{
			Name:        v.Name,
			Role:        bbmsg.RoleEntry,
			Address:     v.Address,
			PeerAddress: v.PeerAddress,
			Domain:      v.Domain,
			Region:      regions[v.Domain],
		})
	}
	for _, e := range f.Rules.Endpoints {
		members = append(members, bbmsg.Member{
			Name:    e.Name,
			Role:    bbmsg.RoleEndpoint,
			Address: e.Address,
			Domain:  e.Domain,
			Region:  regions[e.Domain],
		})
	}
	return members
}

// SetLeaving publishes a list in which a member is leaving, or no longer.
func (f *Fleet) SetLeaving(name string, leaving bool) int64 {
	members := f.Platform.Members()
	for i := range members {
		if members[i].Name == name {
			members[i].Leaving = leaving
		}
	}
	return f.Platform.PublishMembers(members)
}

// RemoveMember publishes a list without a member.
func (f *Fleet) RemoveMember(name string) int64 {
	var kept []bbmsg.Member
	for _, m := range f.Platform.Members() {
		if m.Name != name {
			kept = append(kept, m)
		}
	}
	return f.Platform.PublishMembers(kept)
}

// SetOut publishes rules in which a failure domain is out, or no longer.
func (f *Fleet) SetOut(domain string, out bool) int64 {
	for i := range f.Rules.Domains {
		if f.Rules.Domains[i].Name == domain {
			f.Rules.Domains[i].Out = out
		}
	}
	f.Text = bbrule.Format(f.Rules)
	return f.Platform.PublishRules(f.Text)
}
