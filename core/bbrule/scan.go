package bbrule

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a rules text.
const (
	// MaxTextBytes is the largest text that is read.
	MaxTextBytes = 1 << 20
	// maxLineBytes is the longest line.
	maxLineBytes = 4096
	// maxFindings is how many findings are listed.
	maxFindings = 1000
	// maxNameBytes is the longest name.
	maxNameBytes = 64
	// maxPathBytes is the longest path.
	maxPathBytes = 256
)

// word is a piece of a line.
type word struct {
	// column is where it starts, from 1, in bytes.
	column int
	text   string
}

// line is a rule line taken apart.
type line struct {
	// number is the line's, from 1.
	number int
	// kind is never nil.
	kind *Kind
	// start is the first word.
	start word
	// subject is the word after the kind, if the kind has one.
	subject word
	// choice is one of the kind's choices, if it has any.
	choice string
	// values holds the keys given, each once and only keys of the kind.
	values []keyValue
	// askedBy is the comment without the number sign and outer spaces.
	askedBy string
}

// keyValue is a key of a line with its value.
type keyValue struct {
	key   string
	value word
}

// given returns the value of a key, and false when the line doesn't have it.
func (l *line) given(key string) (word, bool) {
	for _, v := range l.values {
		if v.key == key {
			return v.value, true
		}
	}
	return word{}, false
}

// scan splits the text into lines and the lines into words. Lines that can't be
// taken apart have findings and are left out.
func (p *parser) scan(text string) []line {
	var lines []line
	number := 0
	for raw := range strings.Lines(text) {
		number++
		if l, ok := p.scanLine(number, strings.TrimRight(raw, "\r\n")); ok {
			lines = append(lines, l)
		}
	}
	return lines
}

// scanLine takes one line apart. It returns false for lines without a rule.
func (p *parser) scanLine(number int, raw string) (line, bool) {
	if !p.checkCharacters(number, raw) {
		return line{}, false
	}
	body, comment, hasComment := strings.Cut(raw, "#")
	words := splitWords(body)
	if len(words) == 0 {
		return line{}, false
	}
	l := line{
		number:  number,
		kind:    LookupKind(words[0].text),
		start:   words[0],
		askedBy: strings.TrimSpace(comment),
	}
	if !hasComment || l.askedBy == "" {
		p.find(number, len(body)+1, CheckNoComment, "no comment says who asked for the rule")
	}
	if l.kind == nil {
		p.find(number, l.start.column, CheckUnknownKind, "unknown kind of rule %q", l.start.text)
		return line{}, false
	}
	return l, p.scanWords(&l, words[1:], len(body)+1)
}

// checkCharacters reports lines that are too long or hold forbidden characters.
func (p *parser) checkCharacters(number int, raw string) bool {
	if len(raw) > maxLineBytes {
		p.find(number, maxLineBytes+1, CheckLineSize, "the line has %d bytes, more than %d", len(raw), maxLineBytes)
		return false
	}
	for i, r := range raw {
		if r == utf8.RuneError || unicode.IsControl(r) && r != '\t' {
			p.find(number, i+1, CheckCharacter, "forbidden character or malformed UTF-8")
			return false
		}
	}
	return true
}

// splitWords returns the words between spaces and tabs.
func splitWords(body string) []word {
	var words []word
	start := -1
	for i := 0; i <= len(body); i++ {
		isSpace := i == len(body) || body[i] == ' ' || body[i] == '\t'
		if isSpace && start >= 0 {
			words = append(words, word{
				column: start + 1,
				text:   body[start:i],
			})
			start = -1
		}
		if !isSpace && start < 0 {
			start = i
		}
	}
	return words
}

// scanWords sorts the words after the kind into subject, choice and values.
// It returns false when the subject is missing; end is the column after the last word.
func (p *parser) scanWords(l *line, words []word, end int) bool {
	if l.kind.Subject != "" {
		if len(words) == 0 || strings.Contains(words[0].text, "=") {
			p.find(l.number, l.start.column, CheckNoSubject, "%s needs the name of a %s", l.kind.Name, l.kind.Subject)
			return false
		}
		l.subject = words[0]
		words = words[1:]
	}
	var choices []word
	for _, w := range words {
		if strings.Contains(w.text, "=") {
			p.scanKey(l, w)
			continue
		}
		if len(l.kind.Choices) == 0 {
			p.find(l.number, w.column, CheckExtraWord, "%q is not key=value", w.text)
			continue
		}
		choices = append(choices, w)
	}
	p.scanChoice(l, choices, end)
	p.checkKeys(l)
	return true
}

// scanKey takes in one key=value.
func (p *parser) scanKey(l *line, w word) {
	key, value, _ := strings.Cut(w.text, "=")
	if l.kind.key(key) == nil {
		p.find(l.number, w.column, CheckUnknownKey, "%s has no key %q", l.kind.Name, key)
		return
	}
	if _, ok := l.given(key); ok {
		p.find(l.number, w.column, CheckRepeatedKey, "key %q stands twice", key)
		return
	}
	l.values = append(l.values, keyValue{
		key: key,
		value: word{
			column: w.column + len(key) + 1,
			text:   value,
		},
	})
}

// scanChoice takes in the word that the kind asks for.
func (p *parser) scanChoice(l *line, choices []word, end int) {
	if len(l.kind.Choices) == 0 {
		return
	}
	wanted := strings.Join(l.kind.Choices, " or ")
	if len(choices) == 0 {
		p.find(l.number, end, CheckChoice, "%s needs the word %s", l.kind.Name, wanted)
		return
	}
	for i, w := range choices {
		if i > 0 || !isChoice(l.kind, w.text) {
			p.find(l.number, w.column, CheckChoice, "%q is not the one word %s", w.text, wanted)
		}
	}
	l.choice = choices[0].text
}

// isChoice tells whether the text is one of the kind's choices.
func isChoice(k *Kind, text string) bool {
	for _, c := range k.Choices {
		if c == text {
			return true
		}
	}
	return false
}

// checkKeys reports required keys that are missing.
func (p *parser) checkKeys(l *line) {
	for _, k := range l.kind.Keys {
		if _, ok := l.given(k.Name); !ok && k.Required {
			p.find(l.number, l.start.column, CheckMissingKey, "%s needs %s=, %s", l.kind.Name, k.Name, k.Form)
		}
	}
	if l.kind.Subject == "" && len(l.values) == 0 {
		p.find(l.number, l.start.column, CheckMissingKey, "%s sets nothing", l.kind.Name)
	}
}

// find adds a finding.
func (p *parser) find(number, column, check int, format string, arguments ...any) {
	p.findings = append(p.findings, Finding{
		Line:   number,
		Column: column,
		Check:  check,
		Text:   fmt.Sprintf(format, arguments...),
	})
}
