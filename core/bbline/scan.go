package bbline

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Size limits of a rules text.
const (
	// MaxTextBytes is the maximum size of a text.
	MaxTextBytes = 1 << 20
	// MaxLineBytes is the maximum length of a line.
	MaxLineBytes = 4096
	// MaxFindings is the maximum number of findings listed.
	MaxFindings = 1000
	// MaxNameBytes is the maximum length of a name.
	MaxNameBytes = 64
	// maxPathBytes is the maximum length of a path.
	maxPathBytes = 256
)

// Word is one word of a line with its position.
type Word struct {
	// Column is where the word starts, from 1, in bytes.
	Column int
	// Text is the word itself.
	Text string
}

// Line is a parsed rule line.
type Line struct {
	// Number is the line number, from 1.
	Number int
	// Kind is never nil.
	Kind *Kind
	// Start is the first word of the line.
	Start Word
	// Subject is the word after the kind, if the kind has one.
	Subject Word
	// Choice is the chosen one of the kind's choices, if it has any.
	Choice string
	// AskedBy is the comment without the number sign and surrounding spaces.
	AskedBy string
	// values holds the keys in the line, each at most once and only keys of the kind.
	values []keyValue
}

// keyValue is a key of a line with its value.
type keyValue struct {
	key   string
	value Word
}

// Reader parses lines and values and collects the findings.
type Reader struct {
	// Findings are in the order in which they were found.
	Findings []Finding
}

// Given returns the value of a key, and false when the line doesn't have it.
func (l *Line) Given(key string) (Word, bool) {
	for _, v := range l.values {
		if v.key == key {
			return v.value, true
		}
	}
	return Word{}, false
}

// Scan splits the text into lines and the lines into words. Lines that can't be parsed
// get findings and are left out.
func (r *Reader) Scan(text string) []Line {
	var lines []Line
	number := 0
	for raw := range strings.Lines(text) {
		number++
		if l, ok := r.scanLine(number, strings.TrimRight(raw, "\r\n")); ok {
			lines = append(lines, l)
		}
	}
	return lines
}

// scanLine parses one line. It returns false for lines without a rule.
func (r *Reader) scanLine(number int, raw string) (Line, bool) {
	if !r.checkCharacters(number, raw) {
		return Line{}, false
	}
	body, comment, hasComment := strings.Cut(raw, "#")
	words := splitWords(body)
	if len(words) == 0 {
		return Line{}, false
	}
	l := Line{
		Number:  number,
		Kind:    LookupKind(words[0].Text),
		Start:   words[0],
		AskedBy: strings.TrimSpace(comment),
	}
	if !hasComment || l.AskedBy == "" {
		r.AddFinding(number, len(body)+1, CheckNoComment, "no comment says who asked for the rule")
	}
	if l.Kind == nil {
		r.AddFinding(number, l.Start.Column, CheckUnknownKind, "unknown kind of rule %q", l.Start.Text)
		return Line{}, false
	}
	return l, r.scanWords(&l, words[1:], len(body)+1)
}

// checkCharacters reports lines that are too long or contain forbidden characters.
func (r *Reader) checkCharacters(number int, raw string) bool {
	if len(raw) > MaxLineBytes {
		r.AddFinding(number, MaxLineBytes+1, CheckLineSize, "the line has %d bytes, more than %d", len(raw), MaxLineBytes)
		return false
	}
	for i, c := range raw {
		if c == utf8.RuneError || unicode.IsControl(c) && c != '\t' {
			r.AddFinding(number, i+1, CheckCharacter, "forbidden character or malformed UTF-8")
			return false
		}
	}
	return true
}

// splitWords returns the words between spaces and tabs.
func splitWords(body string) []Word {
	var words []Word
	start := -1
	for i := 0; i <= len(body); i++ {
		isSpace := i == len(body) || body[i] == ' ' || body[i] == '\t'
		if isSpace && start >= 0 {
			words = append(words, Word{
				Column: start + 1,
				Text:   body[start:i],
			})
			start = -1
		}
		if !isSpace && start < 0 {
			start = i
		}
	}
	return words
}

// scanWords assigns the words after the kind to subject, choice and values.
// It returns false when the subject is missing; end is the column after the last word.
func (r *Reader) scanWords(l *Line, words []Word, end int) bool {
	if l.Kind.Subject != "" {
		if len(words) == 0 || strings.Contains(words[0].Text, "=") {
			r.AddFinding(l.Number, l.Start.Column, CheckNoSubject, "%s needs the name of a %s", l.Kind.Name, l.Kind.Subject)
			return false
		}
		l.Subject = words[0]
		words = words[1:]
	}
	var choices []Word
	for _, w := range words {
		if strings.Contains(w.Text, "=") {
			r.scanKey(l, w)
			continue
		}
		if len(l.Kind.Choices) == 0 {
			r.AddFinding(l.Number, w.Column, CheckExtraWord, "%q is not key=value", w.Text)
			continue
		}
		choices = append(choices, w)
	}
	r.scanChoice(l, choices, end)
	r.checkKeys(l)
	return true
}

// scanKey parses one key=value.
func (r *Reader) scanKey(l *Line, w Word) {
	key, value, _ := strings.Cut(w.Text, "=")
	if l.Kind.findKey(key) == nil {
		r.AddFinding(l.Number, w.Column, CheckUnknownKey, "%s has no key %q", l.Kind.Name, key)
		return
	}
	if _, ok := l.Given(key); ok {
		r.AddFinding(l.Number, w.Column, CheckRepeatedKey, "key %q is repeated in the line", key)
		return
	}
	l.values = append(l.values, keyValue{
		key: key,
		value: Word{
			Column: w.Column + len(key) + 1,
			Text:   value,
		},
	})
}

// scanChoice parses the word of the kind's choices; exactly one has to be given.
func (r *Reader) scanChoice(l *Line, choices []Word, end int) {
	if len(l.Kind.Choices) == 0 {
		return
	}
	wanted := strings.Join(l.Kind.Choices, " or ")
	if len(choices) == 0 {
		r.AddFinding(l.Number, end, CheckChoice, "%s needs the word %s", l.Kind.Name, wanted)
		return
	}
	for i, w := range choices {
		if i > 0 || !isChoice(l.Kind, w.Text) {
			r.AddFinding(l.Number, w.Column, CheckChoice, "unexpected word %q; exactly one of %s is required", w.Text, wanted)
		}
	}
	l.Choice = choices[0].Text
}

// isChoice reports whether the text is one of the kind's choices.
func isChoice(k *Kind, text string) bool {
	for _, c := range k.Choices {
		if c == text {
			return true
		}
	}
	return false
}

// checkKeys reports required keys that are missing.
func (r *Reader) checkKeys(l *Line) {
	for _, k := range l.Kind.Keys {
		if _, ok := l.Given(k.Name); !ok && k.Required {
			r.AddFinding(l.Number, l.Start.Column, CheckMissingKey, "%s needs %s=, %s", l.Kind.Name, k.Name, k.Form)
		}
	}
	if l.Kind.Subject == "" && len(l.values) == 0 {
		r.AddFinding(l.Number, l.Start.Column, CheckMissingKey, "%s sets no key", l.Kind.Name)
	}
}

// AddFinding adds a finding at a position, with the number of the failed check.
func (r *Reader) AddFinding(number, column, check int, format string, arguments ...any) {
	r.Findings = append(r.Findings, Finding{
		Line:   number,
		Column: column,
		Check:  check,
		Text:   fmt.Sprintf(format, arguments...),
	})
}
