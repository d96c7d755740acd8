package bbfeature

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Finding is an error in a settings file.
type Finding struct {
	// Line is the number of the line, counted from 1.
	Line int
	// Field is the path of the field, such as extraSends.share; empty if the text isn't JSON.
	Field string
	Text  string
}

// String formats the finding for operators.
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// value is a JSON value of the file.
type value struct {
	// field is the path of the value, line the number of the line on which it begins.
	field string
	line  int
	raw   []byte
	// offset is the position of raw in the file.
	offset int
}

// parser collects the findings of a file.
type parser struct {
	data     []byte
	findings []Finding
}

// Parse parses and checks the JSON text of a settings file. Fields that are absent have their defaults. The
// findings are in the order of their lines; the settings may be used only if there are none.
func Parse(data []byte) (Settings, []Finding) {
	p := &parser{
		data: data,
	}
	s := Default()
	if root, ok := p.root(); ok {
		p.object(root, map[string]func(value){
			"waiting":       func(v value) { p.mode(v, &s.Waiting) },
			"endpointSpeed": func(v value) { p.mode(v, &s.EndpointSpeed) },
			"extraSends": func(v value) {
				p.object(v, map[string]func(value){
					"mode":     func(v value) { p.mode(v, &s.ExtraSends.Mode) },
					"share":    func(v value) { p.share(v, &s.ExtraSends.Share) },
					"services": func(v value) { p.services(v, &s.ExtraSends.Services) },
				})
			},
		})
	}
	slices.SortStableFunc(p.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return s, p.findings
}

func (p *parser) addFinding(line int, field, text string) {
	p.findings = append(p.findings, Finding{
		Line:  line,
		Field: field,
		Text:  text,
	})
}

// lineAt returns the number of the line at an offset of the file.
func (p *parser) lineAt(offset int) int {
	return 1 + bytes.Count(p.data[:min(max(offset, 0), len(p.data))], []byte("\n"))
}

// root returns the only value of the file; false if the text isn't a single JSON value.
func (p *parser) root() (value, bool) {
	decoder := json.NewDecoder(bytes.NewReader(p.data))
	root, err := p.next(decoder, "", 0)
	if err != nil {
		p.addSyntaxFinding(err)
		return value{}, false
	}
	end := int(decoder.InputOffset())
	if rest := bytes.TrimSpace(p.data[end:]); len(rest) > 0 {
		p.addFinding(p.lineAt(bytes.LastIndex(p.data, rest)), "", "text after the end of the settings")
		return value{}, false
	}
	return root, true
}

// addSyntaxFinding adds the error of a text that isn't JSON.
func (p *parser) addSyntaxFinding(err error) {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		// The offset is that after the character in error, which may be the end of a line.
		p.addFinding(p.lineAt(int(syntax.Offset)-1), "", syntax.Error())
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF):
		p.addFinding(p.lineAt(len(bytes.TrimSpace(p.data))), "", "the text ends before the settings are complete")
	default:
		p.addFinding(1, "", err.Error())
	}
}

// next reads the next value of a decoder whose text begins at an offset of the file.
func (p *parser) next(decoder *json.Decoder, field string, offset int) (value, error) {
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		return value{}, err
	}
	begin := offset + int(decoder.InputOffset()) - len(raw)
	return value{
		field:  field,
		line:   p.lineAt(begin),
		raw:    raw,
		offset: begin,
	}, nil
}

// object reads the fields of an object, each with its function. Unknown and repeated fields are findings.
func (p *parser) object(v value, fields map[string]func(value)) {
	p.each(v, func(name string, v value) {
		if read := fields[name]; read != nil {
			read(v)
			return
		}
		p.addFinding(v.line, v.field, "is not a known field")
	})
}

// each calls a function for each field of an object.
func (p *parser) each(v value, read func(name string, v value)) {
	decoder := json.NewDecoder(bytes.NewReader(v.raw))
	if begin, err := decoder.Token(); err != nil || begin != json.Delim('{') {
		p.addFinding(v.line, v.field, "is not an object")
		return
	}
	seen := make(map[string]bool)
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			p.addSyntaxFinding(err)
			return
		}
		text := fmt.Sprint(name)
		path := text
		if v.field != "" {
			path = v.field + "." + text
		}
		element, err := p.next(decoder, path, v.offset)
		if err != nil {
			p.addSyntaxFinding(err)
			return
		}
		if seen[text] {
			p.addFinding(element.line, path, "is set more than once")
		}
		seen[text] = true
		read(text, element)
	}
}

// mode reads a mode.
func (p *parser) mode(v value, m *Mode) {
	var text string
	if err := json.Unmarshal(v.raw, &text); err == nil {
		switch mode := Mode(text); mode {
		case ModeAuto, ModeOn, ModeOff:
			*m = mode
			return
		}
	}
	p.addFinding(v.line, v.field, "is not auto, on or off: "+string(v.raw))
}

// share reads a share from 0 to MaxShare.
func (p *parser) share(v value, share *float64) {
	n, err := strconv.ParseFloat(string(v.raw), 64)
	if err != nil || !(n >= 0 && n <= MaxShare) {
		p.addFinding(v.line, v.field, fmt.Sprintf("is not a number from 0 to %v: %s", MaxShare, v.raw))
		return
	}
	*share = n
}

// services reads the shares of single services.
func (p *parser) services(v value, all *map[string]float64) {
	shares := make(map[string]float64)
	p.each(v, func(name string, v value) {
		if name == "" {
			p.addFinding(v.line, v.field, "has no name of a service")
			return
		}
		var share float64
		p.share(v, &share)
		shares[name] = share
	})
	*all = shares
}
