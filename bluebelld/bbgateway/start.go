package bbgateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

const (
	// startWaitShare is the largest fraction of a caller's time that its request is held while this VM starts. What is
	// left is enough to be served here, or elsewhere after a refusal.
	startWaitShare = 0.5
	// maxHeld bounds the requests that are held while this VM starts, and maxHeldBody the part of each body that is
	// read meanwhile, in bytes. Callers give up on a request that isn't read within a second.
	maxHeld     = 1000
	maxHeldBody = 32 << 10
)

// awaitStart holds a request while this VM, which has just started, has no configuration or no endpoints yet, so that
// its caller doesn't use up its retries. It returns at once in any other case.
func (g *Gateway) awaitStart(r *http.Request) {
	if g.hooks.AwaitReady == nil || g.hooks.Index() != nil {
		return
	}
	defer g.held.Add(-1)
	if g.held.Add(1) > maxHeld {
		return
	}
	request, err := g.codec.Decode(r)
	if err != nil {
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		g.readAhead(r)
	}
	ctx := r.Context()
	if request.Wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(startWaitShare*float64(request.Wait)))
		defer cancel()
	}
	g.hooks.AwaitReady(ctx)
}

// readAhead reads the beginning of a body and has the body begin with that again. An error is met again by the next
// reader.
func (g *Gateway) readAhead(r *http.Request) {
	rest := r.Body
	buffered, err := io.ReadAll(io.LimitReader(rest, maxHeldBody))
	var reader io.Reader = rest
	if err != nil {
		reader = failedReader{err}
	}
	r.Body = struct {
		io.Reader
		io.Closer
	}{
		Reader: io.MultiReader(bytes.NewReader(buffered), reader),
		Closer: rest,
	}
}
