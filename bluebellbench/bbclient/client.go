// Package bbclient is a client of the HTTP interface that entry VMs offer to callers. It
// caches entry VM addresses, generates request ids, retries a request with unknown outcome
// under the same id, and resumes interrupted streams.
package bbclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/core/bbmsg"

	"github.com/cockroachdb/errors"
)

const (
	// maxSends bounds the messages sent for one request.
	maxSends = 8
	// maxAnswerBytes bounds the size of an answer.
	maxAnswerBytes = 8 << 20
	// minRetryDelay is the minimum delay between two messages for one request.
	minRetryDelay = 20 * time.Millisecond
	// addressTimeout bounds a request for addresses to one entry VM.
	addressTimeout = 2 * time.Second
	// idleConnections bounds the idle connections to one entry VM.
	idleConnections = 256
)

// Node is an entry VM that serves requests for addresses.
type Node struct {
	// Address is the host:port for callers.
	Address string
	// Region is the region of the entry VM.
	Region string
}

// Client sends requests. Its methods may be called from any goroutine.
type Client struct {
	nodes  []Node
	http   *http.Client
	nonce  atomic.Uint64
	prefix string

	mu sync.Mutex
	// addressCache has the addresses by client account and region.
	addressCache map[addressKey]addresses
}

type addressKey struct {
	account string
	region  string
}

// addresses is an entry VM's answer to a request for addresses.
type addresses struct {
	bbmsg.AddressAnswer
	// expiresAt is when the answer must no longer be used.
	expiresAt time.Time
}

// New returns a client that gets addresses from the given entry VMs. The clean-up function
// closes its idle connections.
func New(nodes []Node) (*Client, func()) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
	}
	c := &Client{
		nodes:        nodes,
		http:         &http.Client{Transport: transport},
		prefix:       fmt.Sprintf("%x", time.Now().UnixNano()),
		addressCache: map[addressKey]addresses{},
	}
	return c, transport.CloseIdleConnections
}

// cachedOrFetchedAddresses returns the addresses for a request, from the cache unless they have expired.
func (c *Client) cachedOrFetchedAddresses(ctx context.Context, q bbload.Request) (addresses, error) {
	key := addressKey{
		account: q.Account,
		region:  q.Region,
	}
	c.mu.Lock()
	found, ok := c.addressCache[key]
	c.mu.Unlock()
	if ok && time.Now().Before(found.expiresAt) {
		return found, nil
	}
	found, err := c.fetchAddresses(ctx, q)
	if err != nil {
		return addresses{}, err
	}
	c.mu.Lock()
	c.addressCache[key] = found
	c.mu.Unlock()
	return found, nil
}

// evictAddresses removes the addresses for a request from the cache.
func (c *Client) evictAddresses(q bbload.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addressCache, addressKey{
		account: q.Account,
		region:  q.Region,
	})
}

// fetchAddresses requests addresses from the entry VMs in turn, first from those in the caller's region.
func (c *Client) fetchAddresses(ctx context.Context, q bbload.Request) (addresses, error) {
	var last error
	for _, near := range []bool{true, false} {
		for _, n := range c.nodes {
			if (n.Region == q.Region) != near {
				continue
			}
			found, err := c.fetchAddressesFrom(ctx, n, q.Account)
			if err == nil {
				return found, nil
			}
			last = err
		}
	}
	return addresses{}, errors.Wrap(last, "no entry VM returned addresses")
}

func (c *Client) fetchAddressesFrom(ctx context.Context, n Node, account string) (addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	requestedAt := time.Now()
	path := "http://" + n.Address + "/v1/addresses?account=" + url.QueryEscape(account)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return addresses{}, errors.Wrap(err, "addresses")
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return addresses{}, errors.Wrap(err, "addresses")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return addresses{}, errors.Newf("addresses: status %d", answer.StatusCode)
	}
	var found addresses
	if err := json.NewDecoder(answer.Body).Decode(&found.AddressAnswer); err != nil {
		return addresses{}, errors.Wrap(err, "addresses")
	}
	if len(found.Addresses) == 0 {
		return addresses{}, errors.New("addresses: the answer has no addresses")
	}
	// The validity counts from the request, so that a slow answer doesn't extend it.
	found.expiresAt = requestedAt.Add(time.Duration(found.KeepMillis) * time.Millisecond)
	return found, nil
}

// newID generates a request id from the ticket, the client's start time and a counter.
func (c *Client) newID(a addresses) string {
	return fmt.Sprintf("%s.%s%x", a.Ticket, c.prefix, c.nonce.Add(1))
}
