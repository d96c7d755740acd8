package bbrule

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhall/core/bbline"
)

// Bounds of the values in rules.
const (
	minDeadline = time.Millisecond
	maxDeadline = time.Hour
	minAnswer   = time.Second
	maxAnswer   = 10 * time.Minute
	maxSlots    = 100_000
	maxWeight   = 1_000_000
	maxPriority = 3
	maxStages   = 8
	// maxBodyBytes is the upper bound of the limit on bodies, maxBytes that of all other sizes.
	maxBodyBytes = 64e6
	maxBytes     = 100e12
	// maxRetryUnits is in units of 1/bbline.ShareUnits, maxCostUnits of 1/bbline.CostUnits.
	maxRetryUnits = bbline.ShareUnits / 2
	maxCostUnits  = 1_000_000 * bbline.CostUnits
)

// parser collects the rules and findings of one text.
type parser struct {
	bbline.Reader
	set *RuleSet
	// count holds the number of lines of each kind.
	count map[string]int
	// declared holds the line number of each declaration, by kind and name.
	declared map[symbol]int
	// references are checked when all lines have been parsed.
	references []reference
	// stagePositions holds the stages of all pipelines with their positions.
	stagePositions []stagePosition
}

// symbol is the kind and name of a declaration.
type symbol struct {
	kind string
	name string
}

// reference is a word that refers to a declaration.
type reference struct {
	line int
	word bbline.Word
	// target is what has to be declared, check the number of the finding when it isn't.
	target symbol
	check  int
}

// Parse parses and validates a rules text. The rule set is nil if there are findings, which
// are sorted by position. The result depends only on the text.
func Parse(text string) (*RuleSet, []Finding) {
	p := &parser{
		set: &RuleSet{
			Limits: DefaultLimits(),
		},
		count:    map[string]int{},
		declared: map[symbol]int{},
	}
	if len(text) > bbline.MaxTextBytes {
		p.AddFinding(1, 1, bbline.CheckTextSize, "the text has %d bytes, more than %d", len(text), bbline.MaxTextBytes)
		return nil, p.Findings
	}
	lines := p.Scan(text)
	for i := range lines {
		p.addLine(&lines[i])
	}
	p.checkReferences()
	p.checkServiceKinds(lines)
	if len(p.Findings) > 0 {
		return nil, bbline.SortFindings(p.Findings)
	}
	return p.set, nil
}

// Digest returns a hash of a rules text, by which nodes compare texts of the same revision.
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

// addLine adds one line to the set.
func (p *parser) addLine(l *bbline.Line) {
	p.count[l.Kind.Name]++
	if count := p.count[l.Kind.Name]; count > l.Kind.MaxLines {
		if count == l.Kind.MaxLines+1 {
			p.AddFinding(l.Number, l.Start.Column, bbline.CheckTooMany, "more than %d lines of kind %s", l.Kind.MaxLines, l.Kind.Name)
		}
		return
	}
	switch l.Kind.Name {
	case "domain":
		p.addDomain(l)
	case "service":
		p.addService(l)
	case "call":
		p.addCall(l)
	case "model":
		p.addModel(l)
	case "endpoint":
		p.addEndpoint(l)
	case "pipeline":
		p.addPipeline(l)
	case "account":
		p.addAccount(l)
	case "out":
		p.declare(l, l.Subject.Text)
		p.addReference(l, l.Subject, "domain", bbline.CheckUnknownDomain)
	default:
		p.addLimits(l)
	}
}

// declare records a declaration and reports a name that is already declared.
func (p *parser) declare(l *bbline.Line, name string) {
	s := symbol{
		kind: l.Kind.Name,
		name: name,
	}
	if first, ok := p.declared[s]; ok {
		p.AddFinding(l.Number, l.Subject.Column, bbline.CheckDuplicate, "%s %s is already declared on line %d", s.kind, s.name, first)
		return
	}
	p.declared[s] = l.Number
}

// declareName is like declare, for subjects that must be names. It returns the name.
func (p *parser) declareName(l *bbline.Line) string {
	if !bbline.IsName(l.Subject.Text) {
		p.AddFinding(l.Number, l.Subject.Column, bbline.CheckName, "%q is not a name", l.Subject.Text)
	}
	p.declare(l, l.Subject.Text)
	return l.Subject.Text
}

// addReference records that a word refers to a declaration of a kind.
func (p *parser) addReference(l *bbline.Line, w bbline.Word, kind string, check int) {
	p.references = append(p.references, reference{
		line: l.Number,
		word: w,
		target: symbol{
			kind: kind,
			name: w.Text,
		},
		check: check,
	})
}

func (p *parser) addDomain(l *bbline.Line) {
	p.set.Domains = append(p.set.Domains, Domain{
		Name:    p.declareName(l),
		Region:  p.Name(l, "region").Text,
		AskedBy: l.AskedBy,
	})
}

func (p *parser) addService(l *bbline.Line) {
	w, given := l.Value("kind")
	kind := ServiceKind(w.Text)
	if given && kind != KindEngine && kind != KindPool && kind != KindPlain {
		p.ReportBadValue(l, "kind", w)
	}
	p.set.Services = append(p.set.Services, Service{
		Name:        p.declareName(l),
		Kind:        kind,
		ReportsLoad: p.YesNo(l, "reports"),
		AskedBy:     l.AskedBy,
	})
}

func (p *parser) addCall(l *bbline.Line) {
	service, path, _ := strings.Cut(l.Subject.Text, "/")
	if !bbline.IsName(service) || !bbline.IsPath(path) {
		p.AddFinding(l.Number, l.Subject.Column, bbline.CheckName, "%q is not service/path", l.Subject.Text)
	}
	p.declare(l, l.Subject.Text)
	p.addReference(l, bbline.Word{Column: l.Subject.Column, Text: service}, "service", bbline.CheckUnknownService)
	p.set.Calls = append(p.set.Calls, Call{
		Service:    service,
		Path:       path,
		Idempotent: l.Choice == "idempotent",
		Deadline:   p.Duration(l, "deadline", minDeadline, maxDeadline),
		AskedBy:    l.AskedBy,
	})
}

func (p *parser) addModel(l *bbline.Line) {
	p.set.Models = append(p.set.Models, Model{
		Name:        p.declareName(l),
		WeightBytes: p.Size(l, "weight", 1, maxBytes),
		AskedBy:     l.AskedBy,
	})
}

func (p *parser) addEndpoint(l *bbline.Line) {
	service := p.Name(l, "service")
	domain := p.Name(l, "domain")
	model := p.Name(l, "model")
	address := p.endpointAddress(l)
	e := Endpoint{
		Name:          p.declareName(l),
		Service:       service.Text,
		Model:         model.Text,
		Address:       address,
		Domain:        domain.Text,
		WarmSlots:     p.Number(l, "warm", 1, maxSlots),
		ColdSlots:     p.Number(l, "cold", 1, maxSlots),
		ChecksFencing: p.YesNo(l, "fencing"),
		AskedBy:       l.AskedBy,
	}
	if e.ColdSlots > e.WarmSlots {
		p.AddFinding(l.Number, l.Start.Column, bbline.CheckColdSlots, "cold=%d is more than warm=%d", e.ColdSlots, e.WarmSlots)
	}
	p.addReferenceIfGiven(l, "service", service, "service", bbline.CheckUnknownService)
	p.addReferenceIfGiven(l, "domain", domain, "domain", bbline.CheckUnknownDomain)
	p.addReferenceIfGiven(l, "model", model, "model", bbline.CheckUnknownModel)
	p.set.Endpoints = append(p.set.Endpoints, e)
}

// addReferenceIfGiven is like addReference, for a key that the line may lack.
func (p *parser) addReferenceIfGiven(l *bbline.Line, key string, w bbline.Word, kind string, check int) {
	if _, ok := l.Given(key); ok {
		p.addReference(l, w, kind, check)
	}
}

// endpointAddress returns the address of an endpoint and reports one that is already used.
func (p *parser) endpointAddress(l *bbline.Line) string {
	w, ok := p.Address(l, "address")
	if !ok {
		return ""
	}
	s := symbol{
		kind: "address",
		name: w.Text,
	}
	if first, ok := p.declared[s]; ok {
		p.AddFinding(l.Number, w.Column, bbline.CheckAddress, "address %s is already used on line %d", w.Text, first)
		return w.Text
	}
	p.declared[s] = l.Number
	return w.Text
}

func (p *parser) addAccount(l *bbline.Line) {
	p.set.Accounts = append(p.set.Accounts, Account{
		Name:     p.declareName(l),
		Weight:   p.Number(l, "weight", 1, maxWeight),
		Priority: p.Number(l, "priority", 0, maxPriority),
		AskedBy:  l.AskedBy,
	})
}

// addLimits adds the settings of a limit, retry, cost or store line.
func (p *parser) addLimits(l *bbline.Line) {
	limits := &p.set.Limits
	if p.declareSetting(l, "body") {
		limits.BodyBytes = p.Size(l, "body", 1, maxBodyBytes)
		limits.AskedBy.BodyBytes = l.AskedBy
	}
	if p.declareSetting(l, "answer") {
		limits.AnswerTTL = p.Duration(l, "answer", minAnswer, maxAnswer)
		limits.AskedBy.AnswerTTL = l.AskedBy
	}
	if p.declareSetting(l, "share") {
		limits.RetryShare = p.Share(l, "share", maxRetryUnits)
		limits.AskedBy.RetryShare = l.AskedBy
	}
	if p.declareSetting(l, "crossRegion") {
		limits.CrossRegionCost = p.Price(l, "crossRegion", maxCostUnits)
		limits.AskedBy.CrossRegionCost = l.AskedBy
	}
	if p.declareSetting(l, "rate") {
		limits.WeightStoreRate = p.Size(l, "rate", 1, maxBytes)
		limits.AskedBy.WeightStoreRate = l.AskedBy
	}
}

// declareSetting reports whether the line sets a key, and adds a finding if the key is already set.
func (p *parser) declareSetting(l *bbline.Line, key string) bool {
	w, ok := l.Given(key)
	if !ok {
		return false
	}
	s := symbol{
		kind: l.Kind.Name,
		name: key,
	}
	if first, ok := p.declared[s]; ok {
		p.AddFinding(l.Number, w.Column, bbline.CheckRepeatedKey, "%s is already set on line %d", key, first)
	}
	p.declared[s] = l.Number
	return true
}
