package bbendpoint

import "regexp"

// tagPattern finds the mark by which a caller can tell that an answer is its own.
var tagPattern = regexp.MustCompile(`tag-[0-9a-z]+`)

// Tag returns the mark in a text, empty if there is none.
func Tag(text []byte) string {
	return string(tagPattern.Find(text))
}
