package bbendpoint

import "regexp"

// tagPattern matches the tag by which a caller recognizes the response to its own request.
var tagPattern = regexp.MustCompile(`tag-[0-9a-z]+`)

// Tag returns the first tag in a text, empty if there is none.
func Tag(text []byte) string {
	return string(tagPattern.Find(text))
}
