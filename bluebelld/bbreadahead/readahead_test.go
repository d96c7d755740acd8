package bbreadahead

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// Guards against a body that loses or repeats bytes, or ends as if complete, after its beginning was read.
func TestRead(t *testing.T) {
	cut := errors.New("cut")
	for name, c := range map[string]struct {
		body          io.Reader
		first, second error
	}{
		"shorter than the limit": {strings.NewReader("abc"), nil, nil},
		"longer":                 {strings.NewReader("abcdefghij"), nil, nil},
		"cut within the limit":   {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(cut)), cut, cut},
		"cut after it":           {io.MultiReader(strings.NewReader("abcdef"), iotest.ErrReader(cut)), nil, cut},
	} {
		t.Run(name, func(t *testing.T) {
			whole, err := Read(c.body, 5)
			if !errors.Is(err, c.first) {
				t.Errorf("error %v, want %v", err, c.first)
			}
			text, err := io.ReadAll(whole)
			if !errors.Is(err, c.second) || !strings.HasPrefix("abcdefghij", string(text)) || len(text) < 3 {
				t.Errorf("read %q, error %v; want error %v", text, err, c.second)
			}
		})
	}
}
