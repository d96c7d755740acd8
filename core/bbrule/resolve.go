package bbrule

import "strings"

// resolve reports references to what isn't declared and takes domains out.
func (p *parser) resolve() {
	for _, r := range p.references {
		if _, ok := p.declared[r.wanted]; !ok {
			p.find(r.line, r.word.column, r.check, "%s %q is not declared", r.wanted.kind, r.wanted.name)
		}
	}
	if len(p.set.Domains) == 0 {
		p.find(1, 1, CheckNoDomain, "no failure domain is declared")
	}
}

// checkUse reports rules that don't fit the kind of service that they name.
func (p *parser) checkUse(lines []line) {
	kinds := map[string]ServiceKind{}
	for _, s := range p.set.Services {
		kinds[s.Name] = s.Kind
	}
	for i := range lines {
		p.checkLineUse(&lines[i], kinds)
	}
	for _, place := range p.places {
		if kind, ok := kinds[place.stage.Service]; ok {
			p.checkStage(place, kind)
		}
	}
}

// checkLineUse takes domains out and checks calls and endpoints against their service.
func (p *parser) checkLineUse(l *line, kinds map[string]ServiceKind) {
	switch l.kind.Name {
	case "out":
		for i := range p.set.Domains {
			if d := &p.set.Domains[i]; d.Name == l.subject.text {
				d.Out = true
				d.OutAskedBy = l.askedBy
			}
		}
	case "call":
		service, _, _ := strings.Cut(l.subject.text, "/")
		if kind, ok := kinds[service]; ok && kind != KindPlain {
			p.find(l.number, l.subject.column, CheckUnknownService, "service %s is no plain service and has no calls", service)
		}
	case "endpoint":
		model, given := l.given("model")
		service, _ := l.given("service")
		kind, ok := kinds[service.text]
		if given && ok && kind != KindEngine {
			p.find(l.number, model.column, CheckModelMisplaced, "service %s is no engine and has no model", service.text)
		}
	}
}
