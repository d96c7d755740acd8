package bbrule

import (
	"strings"

	"bluebellhall/core/bbline"
)

// stagePosition is a stage with its position in the text.
type stagePosition struct {
	line  int
	word  bbline.Word
	stage Stage
}

func (p *parser) addPipeline(l *bbline.Line) {
	stages, positions := p.stages(l)
	p.set.Pipelines = append(p.set.Pipelines, Pipeline{
		Name:     p.declareName(l),
		Stages:   stages,
		Deadline: p.Duration(l, "deadline", minDeadline, maxDeadline),
		AskedBy:  l.AskedBy,
	})
	for _, s := range positions {
		p.addReference(l, bbline.Word{Column: s.word.Column, Text: s.stage.Service}, "service", bbline.CheckUnknownService)
		if s.stage.Model != "" {
			column := s.word.Column + strings.LastIndex(s.word.Text, "@") + 1
			p.addReference(l, bbline.Word{Column: column, Text: s.stage.Model}, "model", bbline.CheckUnknownModel)
		}
	}
}

// stages parses the list of stages. Stages that can't be parsed get findings and are left out.
func (p *parser) stages(l *bbline.Line) ([]Stage, []stagePosition) {
	list, given := l.Given("stages")
	if !given {
		return nil, nil
	}
	var stages []Stage
	var positions []stagePosition
	column := list.Column
	for text := range strings.SplitSeq(list.Text, ",") {
		w := bbline.Word{
			Column: column,
			Text:   text,
		}
		column += len(text) + 1
		stage, ok := parseStage(text)
		if !ok {
			p.AddFinding(l.Number, w.Column, bbline.CheckValue, "stage %q is not service[/path][@model]", text)
			continue
		}
		stages = append(stages, stage)
		positions = append(positions, stagePosition{
			line:  l.Number,
			word:  w,
			stage: stage,
		})
	}
	if len(stages) > maxStages {
		p.AddFinding(l.Number, list.Column, bbline.CheckRange, "a pipeline has %d stages, more than %d", len(stages), maxStages)
	}
	p.stagePositions = append(p.stagePositions, positions...)
	return stages, positions
}

// parseStage parses service[/path][@model].
func parseStage(text string) (Stage, bool) {
	target, model, hasModel := strings.Cut(text, "@")
	service, path, hasPath := strings.Cut(target, "/")
	ok := bbline.IsName(service) && (!hasPath || bbline.IsPath(path)) && (!hasModel || bbline.IsName(model))
	return Stage{
		Service: service,
		Model:   model,
		Path:    path,
	}, ok
}

// String returns service[/path][@model], the form of a stage in the rules.
func (s Stage) String() string {
	text := s.Service
	if s.Path != "" {
		text += "/" + s.Path
	}
	if s.Model != "" {
		text += "@" + s.Model
	}
	return text
}

// checkStage reports a stage that doesn't fit the kind of its service.
func (p *parser) checkStage(position stagePosition, kind ServiceKind) {
	stage := position.stage
	report := func(check int, format string, arguments ...any) {
		p.AddFinding(position.line, position.word.Column, check, format, arguments...)
	}
	if kind == KindEngine && stage.Model == "" {
		report(bbline.CheckModelMisplaced, "stage %s of an engine needs @model", position.word.Text)
	}
	if kind != KindEngine && stage.Model != "" {
		report(bbline.CheckModelMisplaced, "stage %s is not an engine and must not have a model", position.word.Text)
	}
	if kind == KindEngine && stage.Path != "" {
		report(bbline.CheckPathMisplaced, "stage %s is an engine and must not have a path", position.word.Text)
	}
	if kind == KindPool && stage.Path == "" {
		report(bbline.CheckPathMisplaced, "stage %s of a pool needs /path", position.word.Text)
	}
	call := symbol{
		kind: "call",
		name: stage.Service + "/" + stage.Path,
	}
	if _, ok := p.declared[call]; kind == KindPlain && !ok {
		report(bbline.CheckUnknownCall, "call %s is not declared", call.name)
	}
}
