package bbrule

import (
	"strings"

	"bluebellhall/core/bbline"
)

// checkReferences reports references without a declaration, and a set without failure domains.
func (p *parser) checkReferences() {
	for _, r := range p.references {
		if _, ok := p.declared[r.target]; !ok {
			p.AddFinding(r.line, r.word.Column, r.check, "%s %q is not declared", r.target.kind, r.target.name)
		}
	}
	if len(p.set.Domains) == 0 {
		p.AddFinding(1, 1, bbline.CheckNoDomain, "no failure domain is declared")
	}
}

// checkServiceKinds reports rules that don't fit the kind of the service that they refer to. It
// also marks the failure domains that are taken out of service.
func (p *parser) checkServiceKinds(lines []bbline.Line) {
	kinds := map[string]ServiceKind{}
	for _, s := range p.set.Services {
		kinds[s.Name] = s.Kind
	}
	for i := range lines {
		p.checkLine(&lines[i], kinds)
	}
	for _, position := range p.stagePositions {
		if kind, ok := kinds[position.stage.Service]; ok {
			p.checkStage(position, kind)
		}
	}
}

// checkLine marks a domain that is taken out, and checks calls and endpoints against their service.
func (p *parser) checkLine(l *bbline.Line, kinds map[string]ServiceKind) {
	switch l.Kind.Name {
	case "out":
		for i := range p.set.Domains {
			if d := &p.set.Domains[i]; d.Name == l.Subject.Text {
				d.Out = true
				d.OutAskedBy = l.AskedBy
			}
		}
	case "call":
		service, _, _ := strings.Cut(l.Subject.Text, "/")
		if kind, ok := kinds[service]; ok && kind != KindPlain {
			p.AddFinding(l.Number, l.Subject.Column, bbline.CheckUnknownService, "service %s is not of kind plain and has no calls", service)
		}
	case "endpoint":
		model, given := l.Given("model")
		service, _ := l.Given("service")
		kind, ok := kinds[service.Text]
		if given && ok && kind != KindEngine {
			p.AddFinding(l.Number, model.Column, bbline.CheckModelMisplaced, "service %s is not of kind engine and must not have a model", service.Text)
		}
	}
}
