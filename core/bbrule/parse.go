package bbrule

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the values.
const (
	minDeadline = time.Millisecond
	maxDeadline = time.Hour
	minAnswer   = time.Second
	maxAnswer   = 10 * time.Minute
	maxSlots    = 100_000
	maxWeight   = 1_000_000
	maxPriority = 3
	maxStages   = 8
	// maxBodyBytes bounds the limit on bodies, maxBytes all other sizes.
	maxBodyBytes = 64e6
	maxBytes     = 100e12
	// maxRetryUnits and maxCostUnits are in units of shareUnits and costUnits.
	maxRetryUnits = shareUnits / 2
	maxCostUnits  = 1_000_000 * costUnits
)

// parser collects the rules and findings of one text.
type parser struct {
	set      *RuleSet
	findings []Finding
	// count holds the number of lines of each kind.
	count map[string]int
	// declared holds the line of each declared name, by kind and name.
	declared map[subject]int
	// references are looked up when all lines are read.
	references []reference
	// places holds the stages of all pipelines.
	places []stagePlace
}

// subject names what a rule declares.
type subject struct {
	kind string
	name string
}

// reference is a place that names something declared elsewhere.
type reference struct {
	line int
	word word
	// wanted is what must be declared, check the finding when it isn't.
	wanted subject
	check  int
}

// Parse reads a rules text. The rule set is nil if there are findings, which are
// sorted by place. The result depends on the text alone.
func Parse(text string) (*RuleSet, []Finding) {
	p := &parser{
		set: &RuleSet{
			Limits: DefaultLimits(),
		},
		count:    map[string]int{},
		declared: map[subject]int{},
	}
	if len(text) > MaxTextBytes {
		p.find(1, 1, CheckTextSize, "the text has %d bytes, more than %d", len(text), MaxTextBytes)
		return nil, p.findings
	}
	lines := p.scan(text)
	for i := range lines {
		p.take(&lines[i])
	}
	p.resolve()
	p.checkUse(lines)
	if len(p.findings) > 0 {
		return nil, sortFindings(p.findings)
	}
	return p.set, nil
}

// Digest identifies a rules text, so that nodes can compare texts of one revision.
func Digest(text string) uint64 {
	return xxhash.Sum64String(text)
}

// DefaultLimits returns the limits of a text that sets none.
func DefaultLimits() Limits {
	return Limits{
		RetryShare:      0.1,
		CrossRegionCost: 0,
		WeightStoreRate: 1e9,
		AnswerTTL:       30 * time.Second,
		BodyBytes:       1e6,
	}
}

// take adds one line to the set.
func (p *parser) take(l *line) {
	p.count[l.kind.Name]++
	if count := p.count[l.kind.Name]; count > l.kind.Most {
		if count == l.kind.Most+1 {
			p.find(l.number, l.start.column, CheckTooMany, "more than %d lines of kind %s", l.kind.Most, l.kind.Name)
		}
		return
	}
	switch l.kind.Name {
	case "domain":
		p.takeDomain(l)
	case "service":
		p.takeService(l)
	case "call":
		p.takeCall(l)
	case "model":
		p.takeModel(l)
	case "endpoint":
		p.takeEndpoint(l)
	case "pipeline":
		p.takePipeline(l)
	case "account":
		p.takeAccount(l)
	case "out":
		p.declare(l, l.subject.text)
		p.refer(l, l.subject, "domain", CheckUnknownDomain)
	default:
		p.takeLimits(l)
	}
}

// declare records a name and reports it when it stands already.
func (p *parser) declare(l *line, name string) {
	s := subject{
		kind: l.kind.Name,
		name: name,
	}
	if first, ok := p.declared[s]; ok {
		p.find(l.number, l.subject.column, CheckDuplicate, "%s %s stands already on line %d", s.kind, s.name, first)
		return
	}
	p.declared[s] = l.number
}

// declareName is declare for subjects that must be plain names.
func (p *parser) declareName(l *line) string {
	if !isName(l.subject.text) {
		p.find(l.number, l.subject.column, CheckName, "%q is not a name", l.subject.text)
	}
	p.declare(l, l.subject.text)
	return l.subject.text
}

// refer records that a word names something of a kind.
func (p *parser) refer(l *line, w word, kind string, check int) {
	p.references = append(p.references, reference{
		line: l.number,
		word: w,
		wanted: subject{
			kind: kind,
			name: w.text,
		},
		check: check,
	})
}

func (p *parser) takeDomain(l *line) {
	p.set.Domains = append(p.set.Domains, Domain{
		Name:    p.declareName(l),
		Region:  p.name(l, "region").text,
		AskedBy: l.askedBy,
	})
}

func (p *parser) takeService(l *line) {
	w, given := l.value("kind")
	kind := ServiceKind(w.text)
	if given && kind != KindEngine && kind != KindPool && kind != KindPlain {
		p.badValue(l, "kind", w)
	}
	p.set.Services = append(p.set.Services, Service{
		Name:        p.declareName(l),
		Kind:        kind,
		ReportsLoad: p.yesNo(l, "reports"),
		AskedBy:     l.askedBy,
	})
}

func (p *parser) takeCall(l *line) {
	service, path, _ := strings.Cut(l.subject.text, "/")
	if !isName(service) || !isPath(path) {
		p.find(l.number, l.subject.column, CheckName, "%q is not service/path", l.subject.text)
	}
	p.declare(l, l.subject.text)
	p.refer(l, word{column: l.subject.column, text: service}, "service", CheckUnknownService)
	p.set.Calls = append(p.set.Calls, Call{
		Service:    service,
		Path:       path,
		Idempotent: l.choice == "idempotent",
		Deadline:   p.duration(l, "deadline", minDeadline, maxDeadline),
		AskedBy:    l.askedBy,
	})
}

func (p *parser) takeModel(l *line) {
	p.set.Models = append(p.set.Models, Model{
		Name:        p.declareName(l),
		WeightBytes: p.size(l, "weight", 1, maxBytes),
		AskedBy:     l.askedBy,
	})
}

func (p *parser) takeEndpoint(l *line) {
	service := p.name(l, "service")
	domain := p.name(l, "domain")
	model := p.name(l, "model")
	address := p.endpointAddress(l)
	e := Endpoint{
		Name:          p.declareName(l),
		Service:       service.text,
		Model:         model.text,
		Address:       address,
		Domain:        domain.text,
		WarmSlots:     p.number(l, "warm", 1, maxSlots),
		ColdSlots:     p.number(l, "cold", 1, maxSlots),
		ChecksFencing: p.yesNo(l, "fencing"),
		AskedBy:       l.askedBy,
	}
	if e.ColdSlots > e.WarmSlots {
		p.find(l.number, l.start.column, CheckColdSlots, "cold=%d is more than warm=%d", e.ColdSlots, e.WarmSlots)
	}
	p.referIfGiven(l, "service", service, "service", CheckUnknownService)
	p.referIfGiven(l, "domain", domain, "domain", CheckUnknownDomain)
	p.referIfGiven(l, "model", model, "model", CheckUnknownModel)
	p.set.Endpoints = append(p.set.Endpoints, e)
}

// referIfGiven is refer for a key that stands in the line.
func (p *parser) referIfGiven(l *line, key string, w word, kind string, check int) {
	if _, ok := l.given(key); ok {
		p.refer(l, w, kind, check)
	}
}

// endpointAddress returns the address and reports one that stands already.
func (p *parser) endpointAddress(l *line) string {
	w, ok := p.address(l, "address")
	if !ok {
		return ""
	}
	s := subject{
		kind: "address",
		name: w.text,
	}
	if first, ok := p.declared[s]; ok {
		p.find(l.number, w.column, CheckAddress, "address %s stands already on line %d", w.text, first)
		return w.text
	}
	p.declared[s] = l.number
	return w.text
}

func (p *parser) takeAccount(l *line) {
	p.set.Accounts = append(p.set.Accounts, Account{
		Name:     p.declareName(l),
		Weight:   p.number(l, "weight", 1, maxWeight),
		Priority: p.number(l, "priority", 0, maxPriority),
		AskedBy:  l.askedBy,
	})
}

// takeLimits adds the settings of a limit, retry, cost or store line.
func (p *parser) takeLimits(l *line) {
	limits := &p.set.Limits
	if p.sets(l, "body") {
		limits.BodyBytes = p.size(l, "body", 1, maxBodyBytes)
		limits.AskedBy.BodyBytes = l.askedBy
	}
	if p.sets(l, "answer") {
		limits.AnswerTTL = p.duration(l, "answer", minAnswer, maxAnswer)
		limits.AskedBy.AnswerTTL = l.askedBy
	}
	if p.sets(l, "share") {
		limits.RetryShare = p.share(l, "share", maxRetryUnits)
		limits.AskedBy.RetryShare = l.askedBy
	}
	if p.sets(l, "crossRegion") {
		limits.CrossRegionCost = p.price(l, "crossRegion", maxCostUnits)
		limits.AskedBy.CrossRegionCost = l.askedBy
	}
	if p.sets(l, "rate") {
		limits.WeightStoreRate = p.size(l, "rate", 1, maxBytes)
		limits.AskedBy.WeightStoreRate = l.askedBy
	}
}

// sets tells whether the line sets a key, and reports a setting that stands already.
func (p *parser) sets(l *line, key string) bool {
	w, ok := l.given(key)
	if !ok {
		return false
	}
	s := subject{
		kind: l.kind.Name,
		name: key,
	}
	if first, ok := p.declared[s]; ok {
		p.find(l.number, w.column, CheckRepeatedKey, "%s is set already on line %d", key, first)
	}
	p.declared[s] = l.number
	return true
}
