package bbrule

import "strings"

// stagePlace is where a stage stands in the text.
type stagePlace struct {
	line  int
	word  word
	stage Stage
}

func (p *parser) takePipeline(l *line) {
	stages, places := p.stages(l)
	p.set.Pipelines = append(p.set.Pipelines, Pipeline{
		Name:     p.declareName(l),
		Stages:   stages,
		Deadline: p.duration(l, "deadline", minDeadline, maxDeadline),
		AskedBy:  l.askedBy,
	})
	for _, s := range places {
		p.refer(l, word{column: s.word.column, text: s.stage.Service}, "service", CheckUnknownService)
		if s.stage.Model != "" {
			column := s.word.column + strings.LastIndex(s.word.text, "@") + 1
			p.refer(l, word{column: column, text: s.stage.Model}, "model", CheckUnknownModel)
		}
	}
}

// stages reads the list of stages. Stages that can't be read are left out of the places.
func (p *parser) stages(l *line) ([]Stage, []stagePlace) {
	list, given := l.given("stages")
	if !given {
		return nil, nil
	}
	var stages []Stage
	var places []stagePlace
	column := list.column
	for text := range strings.SplitSeq(list.text, ",") {
		w := word{
			column: column,
			text:   text,
		}
		column += len(text) + 1
		stage, ok := parseStage(text)
		if !ok {
			p.find(l.number, w.column, CheckValue, "stage %q is not service[/path][@model]", text)
			continue
		}
		stages = append(stages, stage)
		places = append(places, stagePlace{
			line:  l.number,
			word:  w,
			stage: stage,
		})
	}
	if len(stages) > maxStages {
		p.find(l.number, list.column, CheckRange, "a pipeline has %d stages, more than %d", len(stages), maxStages)
	}
	p.places = append(p.places, places...)
	return stages, places
}

// parseStage reads service[/path][@model].
func parseStage(text string) (Stage, bool) {
	target, model, hasModel := strings.Cut(text, "@")
	service, path, hasPath := strings.Cut(target, "/")
	ok := isName(service) && (!hasPath || isPath(path)) && (!hasModel || isName(model))
	return Stage{
		Service: service,
		Model:   model,
		Path:    path,
	}, ok
}

// String returns service[/path][@model], as the stage stands in the rules.
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
func (p *parser) checkStage(place stagePlace, kind ServiceKind) {
	stage := place.stage
	report := func(check int, format string, arguments ...any) {
		p.find(place.line, place.word.column, check, format, arguments...)
	}
	if kind == KindEngine && stage.Model == "" {
		report(CheckModelMisplaced, "stage %s of an engine needs @model", place.word.text)
	}
	if kind != KindEngine && stage.Model != "" {
		report(CheckModelMisplaced, "stage %s is no engine and has no model", place.word.text)
	}
	if kind == KindEngine && stage.Path != "" {
		report(CheckPathMisplaced, "stage %s is an engine and has no path", place.word.text)
	}
	if kind == KindPool && stage.Path == "" {
		report(CheckPathMisplaced, "stage %s of a pool needs /path", place.word.text)
	}
	call := subject{
		kind: "call",
		name: stage.Service + "/" + stage.Path,
	}
	if _, ok := p.declared[call]; kind == KindPlain && !ok {
		report(CheckUnknownCall, "call %s is not declared", call.name)
	}
}
