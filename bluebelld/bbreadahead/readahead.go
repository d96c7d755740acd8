// Package bbreadahead reads the beginning of a body before the body is used.
package bbreadahead

import (
	"bytes"
	"io"
)

// Read reads up to limit bytes of a body. It returns a reader of the whole body, which begins with these bytes, and the
// error that the body broke off with among them; the reader returns that error after them.
func Read(body io.Reader, limit int64) (io.Reader, error) {
	buffered, err := io.ReadAll(io.LimitReader(body, limit))
	beginning := bytes.NewReader(buffered)
	switch {
	case err != nil:
		return io.MultiReader(beginning, failedReader{err}), err
	case int64(len(buffered)) < limit:
		return beginning, nil
	}
	return io.MultiReader(beginning, body), nil
}

// failedReader is a body that has broken off.
type failedReader struct {
	err error
}

// Read returns the error that ended the body.
func (r failedReader) Read([]byte) (int, error) {
	return 0, r.err
}
