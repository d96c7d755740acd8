// Package bbstartwait holds requests while a VM starts, so that their callers don't use up their retries.
package bbstartwait

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbreadahead"
)

const (
	// waitShare is the largest fraction of a caller's time that its request is held while this VM starts. What is
	// left is enough to be served here, or elsewhere after a refusal.
	waitShare = 0.5
	// MaxHeld bounds the requests that are held while this VM starts.
	MaxHeld = 1000
	// MaxHeldBody bounds the part of each body that is read meanwhile, in bytes. Callers give up on a request that
	// isn't read within a second.
	MaxHeldBody = 32 << 10
	// readTimeout bounds the time to read that part.
	readTimeout = time.Second
)

// Holder holds the requests of one VM. The zero value holds none yet.
type Holder struct {
	// held counts the requests that are held.
	held atomic.Int64
}

// Hold holds a request until await returns, which gets a context that ends with a part of the caller's time. It returns
// at once if too many are held, or if the request can't be decoded. The beginning of the body is read meanwhile.
func (h *Holder) Hold(w http.ResponseWriter, r *http.Request, decode func(*http.Request) (bbcodec.Request, error), await func(context.Context)) {
	defer h.held.Add(-1)
	if h.held.Add(1) > MaxHeld {
		return
	}
	request, err := decode(r)
	if err != nil {
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		// A writer that doesn't support read deadlines keeps those of its connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
		readAhead(r)
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	ctx := r.Context()
	if request.Wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(waitShare*float64(request.Wait)))
		defer cancel()
	}
	await(ctx)
}

// readAhead reads the beginning of a body. An error is met again by the next reader.
func readAhead(r *http.Request) {
	whole, _ := bbreadahead.Read(r.Body, MaxHeldBody)
	r.Body = struct {
		io.Reader
		io.Closer
	}{
		Reader: whole,
		Closer: r.Body,
	}
}
