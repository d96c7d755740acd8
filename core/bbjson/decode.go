// Package bbjson decodes JSON settings strictly and reports the position of errors.
package bbjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Finding is one error in the settings.
type Finding struct {
	// Line and Column are the position of a decoding error, from 1; Line is 0 if there is none.
	Line   int
	Column int
	// Field is the JSON name of the field, if the error concerns one.
	Field string
	// Text is the message for the operator.
	Text string
}

// String returns the finding in the form position: text, or field: text.
func (f Finding) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text)
	}
	return f.Field + ": " + f.Text
}

// unknownField is the prefix of the decoder's error for a field that the target lacks.
const unknownField = "json: unknown field "

// Decode decodes settings into a pointer to a struct. It returns one finding for a text that
// can't be decoded or that has a field which the struct lacks.
func Decode(data []byte, target any) []Finding {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	return []Finding{locate(data, decoder.InputOffset(), err)}
}

// locate converts an error of the decoder to a finding with its position in the text.
func locate(data []byte, offset int64, err error) Finding {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.As(err, &kind) {
		offset = kind.Offset
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		offset = int64(bytes.Index(data, []byte(name)))
	}
	before := data[:min(int64(len(data)), offset)]
	return Finding{
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Text:   err.Error(),
	}
}
