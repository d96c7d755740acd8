// Package bbbackend calls endpoints over HTTP: model engines with server-sent
// events, stage pools and plain services with JSON. Its reports distinguish calls
// that were never sent from those that may have run.
package bbbackend

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// Handlers receive what a client learns. They may be called concurrently.
type Handlers struct {
	// CallUpdate receives the updates of calls.
	CallUpdate func(n bbmsg.CallUpdate)
	// Report receives load reports.
	Report func(r bbmsg.LoadReport)
	// OrderResult receives the results of orders.
	OrderResult func(r bbmsg.OrderResult)
}

// Client makes the calls of one node.
type Client struct {
	handlers Handlers

	mu sync.Mutex
	// calls has the cancel functions of running calls.
	calls map[uint64]context.CancelFunc
	// pools has a connection pool for each endpoint address.
	pools map[string]*http.Transport
	// polls has the IDs of the endpoints whose load report is being fetched.
	polls map[string]bool
	// ctx is cancelled when the client is closed, which ends all calls.
	ctx context.Context
}

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 16 << 10
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// pollTimeout bounds the fetch of a load report.
	pollTimeout = time.Second
	// orderTimeout bounds the exchange of an order.
	orderTimeout = 5 * time.Second
	// idleTimeout closes connections that are not used.
	idleTimeout = 10 * time.Second
	// maxBodyBytes bounds the answer of an endpoint.
	maxBodyBytes = 8 << 20
	// maxIdleConns bounds idle connections per endpoint.
	maxIdleConns = 64
)

// New returns a client. The clean-up function cancels its calls.
func New(h Handlers) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		handlers: h,
		calls:    make(map[uint64]context.CancelFunc),
		pools:    make(map[string]*http.Transport),
		polls:    make(map[string]bool),
		ctx:      ctx,
	}
	return c, func() {
		cancel()
		c.closeIdle()
	}
}

// closeIdle closes all idle connections.
func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// pool returns the connection pool of an address.
func (c *Client) pool(address string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = newTransport()
		c.pools[address] = p
	}
	return p
}

// newTransport returns an empty connection pool.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return bbchannel.NewConn(conn), nil
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// replacePool drops the connection pool of an address after one of its connections went silent or failed.
func (c *Client) replacePool(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.CloseIdleConnections()
	}
}

// Start starts a call and returns at once. began is when the core decided on the call.
func (c *Client) Start(e bbmsg.EndpointCall, began time.Time) {
	ctx, cancel := context.WithTimeout(c.ctx, time.Duration(e.TimeoutMillis)*time.Millisecond)
	c.mu.Lock()
	c.calls[e.Call] = cancel
	c.mu.Unlock()
	go func() {
		defer c.finish(e.Call, cancel)
		c.run(ctx, cancel, e, sendDeadline(began, e.SendWithinMillis))
	}()
}

// finish releases the context of a call and removes the call.
func (c *Client) finish(call uint64, cancel context.CancelFunc) {
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, call)
}

// Stop cancels a call if it still runs.
func (c *Client) Stop(s bbmsg.EndpointStop) {
	c.mu.Lock()
	cancel := c.calls[s.Call]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Poll fetches a load report unless a fetch from the same endpoint is in progress.
func (c *Client) Poll(p bbmsg.EndpointPoll) {
	c.mu.Lock()
	busy := c.polls[p.Endpoint]
	c.polls[p.Endpoint] = true
	c.mu.Unlock()
	if busy {
		return
	}
	go func() {
		r, err := c.fetchReport(p)
		c.mu.Lock()
		delete(c.polls, p.Endpoint)
		c.mu.Unlock()
		if err == nil {
			c.handlers.Report(r)
		}
	}()
}

// fetchReport fetches one load report.
func (c *Client) fetchReport(p bbmsg.EndpointPoll) (bbmsg.LoadReport, error) {
	ctx, cancel := context.WithTimeout(c.ctx, pollTimeout)
	defer cancel()
	var r bbmsg.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+"/v1/load", nil)
	if err != nil {
		return r, errors.Wrap(err, "build load request")
	}
	response, err := c.pool(p.Address).RoundTrip(request)
	if err != nil {
		c.replacePool(p.Address)
		return r, errors.Wrap(err, "fetch load report")
	}
	defer func() { _ = response.Body.Close() }()
	err = decodeJSON(response, &r)
	r.Endpoint = p.Endpoint
	return r, err
}

// Order sends an order and reports its result. began is when the core decided on the order.
func (c *Client) Order(o bbmsg.Order, began time.Time) {
	go func() {
		status := c.sendOrder(o, sendDeadline(began, o.SendWithinMillis))
		c.handlers.OrderResult(bbmsg.OrderResult{
			Endpoint: o.Endpoint,
			Fence:    o.Fence,
			Accepted: status == http.StatusOK,
			Status:   status,
		})
	}()
}

// sendOrder sends an order and returns the status of the answer, 0 if none was received.
func (c *Client) sendOrder(o bbmsg.Order, by time.Time) int {
	ctx, cancel := context.WithTimeout(c.ctx, orderTimeout)
	defer cancel()
	body, err := encodeJSON(o)
	if err != nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if deadlinePassed(by) {
		return 0
	}
	response, err := c.pool(o.Address).RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	if !bbchannel.IsFinal(response.StatusCode) {
		return 0
	}
	return response.StatusCode
}

// sendDeadline returns the latest time to begin sending; the zero time means no bound.
func sendDeadline(began time.Time, withinMillis int64) time.Time {
	if withinMillis == 0 {
		return time.Time{}
	}
	return began.Add(time.Duration(withinMillis) * time.Millisecond)
}

// deadlinePassed reports whether it is too late to send. A process that was paused after the decision must
// not act on outdated state.
func deadlinePassed(by time.Time) bool {
	return !by.IsZero() && time.Now().After(by)
}

// setHeaders adds headers that match entries of the endpoint's log with those of this process. The request
// ID is sent without its authentication code, since anyone who has the code could read the answer.
func setHeaders(h http.Header, e bbmsg.EndpointCall) {
	h.Set("Content-Type", "application/json")
	h.Set("Bluebell-Request", bbticket.Redact(e.Attempt.ID))
	h.Set("Bluebell-Stage", strconv.Itoa(e.Attempt.Stage))
	h.Set("Bluebell-Attempt", strconv.Itoa(e.Attempt.Number))
	if e.Session != "" {
		h.Set("Bluebell-Session", e.Session)
	}
	if e.FromOffset > 0 {
		h.Set("Bluebell-From-Offset", strconv.Itoa(e.FromOffset))
	}
}
