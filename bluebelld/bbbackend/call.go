package bbbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/core/bbmsg"
)

// coldHeader is the response header of an endpoint that rejects a request because it is cold.
const coldHeader = "Bluebell-Cold"

// run makes one call and reports its final update exactly once.
func (c *Client) run(ctx context.Context, cancel context.CancelFunc, e bbmsg.EndpointCall, by time.Time) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	watch := newWatchdog(time.Duration(e.SilenceMillis)*time.Millisecond, cancel)
	defer watch.stop()
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), e)
	if err != nil || deadlinePassed(by) {
		c.reportEnd(e, bbmsg.UpdateUnsent, 0)
		return
	}
	response, err := c.transport(e).RoundTrip(request)
	if err != nil {
		c.reportFailure(e, connected.Load(), watch.expired())
		return
	}
	defer func() { _ = response.Body.Close() }()
	watch.reset()
	if !bbchannel.IsFinal(response.StatusCode) {
		c.reportFailure(e, true, false)
		return
	}
	if response.StatusCode != http.StatusOK {
		c.reportErrorStatus(e, response, watch)
		return
	}
	if e.Kind == kindEngine {
		c.readStream(e, response.Body, watch)
		return
	}
	c.readBody(e, response.Body, watch)
}

// kindEngine is the kind of calls that are answered with a token stream.
const kindEngine = "engine"

// transport returns the connection pool to use. A call that must not be repeated gets a new connection: a
// pooled one may be dead without any sign of it, which would leave the outcome unknown.
func (c *Client) transport(e bbmsg.EndpointCall) http.RoundTripper {
	if !e.Once {
		return c.pool(e.Address)
	}
	t := newTransport()
	t.DisableKeepAlives = true
	return t
}

// reportFailure reports a call without a complete answer: as unsent if no connection was made, else as
// broken.
func (c *Client) reportFailure(e bbmsg.EndpointCall, connected, silent bool) {
	if silent {
		c.replacePool(e.Address)
	}
	if !connected {
		c.reportEnd(e, bbmsg.UpdateUnsent, 0)
		return
	}
	c.reportEnd(e, bbmsg.UpdateBroken, 0)
}

// reportErrorStatus reports an answer with an error status. Only statuses by which the endpoint states that
// it did not accept the request count as a rejection, which needs no complete body.
func (c *Client) reportErrorStatus(e bbmsg.EndpointCall, response *http.Response, watch *watchdog) {
	cold := response.Header.Get(coldHeader) != ""
	n := bbmsg.CallUpdate{
		Call:   e.Call,
		Kind:   bbmsg.UpdateFailed,
		Status: response.StatusCode,
		Cold:   cold,
	}
	unloaded := e.Kind == kindEngine && response.StatusCode == http.StatusNotFound
	if cold || unloaded || response.StatusCode == http.StatusTooManyRequests {
		n.Kind = bbmsg.UpdateRejected
	}
	var err error
	n.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil && n.Kind != bbmsg.UpdateRejected {
		c.reportFailure(e, true, watch.expired())
		return
	}
	c.handlers.CallUpdate(n)
}

// readBody reads an answer that isn't a stream.
func (c *Client) readBody(e bbmsg.EndpointCall, body io.Reader, watch *watchdog) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	if err != nil || len(data) > maxBodyBytes {
		c.reportFailure(e, true, watch.expired())
		return
	}
	c.handlers.CallUpdate(bbmsg.CallUpdate{
		Call:   e.Call,
		Kind:   bbmsg.UpdateDone,
		Status: http.StatusOK,
		Body:   data,
	})
}

// reportEnd reports the end of a call without an answer.
func (c *Client) reportEnd(e bbmsg.EndpointCall, kind bbmsg.CallUpdateKind, status int) {
	c.handlers.CallUpdate(bbmsg.CallUpdate{
		Call:   e.Call,
		Kind:   kind,
		Status: status,
	})
}

// request builds the HTTP request of a call.
func (c *Client) request(ctx context.Context, e bbmsg.EndpointCall) (*http.Request, error) {
	url := "http://" + e.Address + "/" + e.Path
	body := e.Body
	if e.Kind == kindEngine {
		url = "http://" + e.Address + "/v1/completions"
		encoded, err := encodeJSON(completionOf(e))
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build endpoint request")
	}
	request.GetBody = nil
	setHeaders(request.Header, e)
	return request, nil
}

// watchdog cancels a call that makes no progress within a time limit.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// newWatchdog starts a watchdog; a limit of 0 disables it.
func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{
		limit: limit,
	}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() {
			w.fired.Store(true)
			cancel()
		})
	}
	return w
}

// reset restarts the time limit after progress.
func (w *watchdog) reset() {
	if w.timer != nil && !w.fired.Load() {
		w.timer.Reset(w.limit)
	}
}

// expired reports whether the call was cancelled for lack of progress.
func (w *watchdog) expired() bool {
	return w.fired.Load()
}

// stop stops the timer.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// encodeJSON encodes a message.
func encodeJSON(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, errors.Wrap(err, "encode JSON")
}

// decodeJSON decodes the body of an answer with status 200.
func decodeJSON(response *http.Response, v any) error {
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(v), "decode JSON")
}
