// Package bbclient speaks the callers' HTTP interface of entry VMs as a careful caller
// does: it keeps addresses, makes request ids, repeats a request with unknown outcome
// under the same id, and resumes streams.
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
	// maxSends bounds the messages for one request.
	maxSends = 8
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
	// retryWait is the least time between two messages for one request.
	minRetryDelay = 20 * time.Millisecond
	// addressTimeout bounds the question for addresses.
	addressTimeout = 2 * time.Second
	// idleConnections bounds the idle connections to one entry VM.
	idleConnections = 256
)

// Node is an entry VM that can be asked for addresses.
type Node struct {
	// Address is host:port for callers.
	Address string
	// Region is where the entry VM is.
	Region string
}

// Client sends requests. Its methods may be called from any goroutine.
type Client struct {
	nodes  []Node
	http   *http.Client
	nonce  atomic.Uint64
	prefix string

	mu sync.Mutex
	// known has the addresses by account and region.
	addressCache map[addressKey]addresses
}

type addressKey struct {
	account string
	region  string
}

// addresses is an answer to the question which addresses to use.
type addresses struct {
	bbmsg.AddressAnswer
	// until is when the answer is too old.
	expiresAt time.Time
}

// New returns a client that starts from the given entry VMs. The clean-up function
// closes its connections.
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

// address returns addresses for a request, kept ones if they are young enough.
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

// forget drops the kept addresses of a request.
func (c *Client) evictAddresses(q bbload.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addressCache, addressKey{
		account: q.Account,
		region:  q.Region,
	})
}

// ask asks the entry VMs in turn, those of the caller's region first.
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
	return addresses{}, errors.Wrap(last, "no entry VM answers")
}

func (c *Client) fetchAddressesFrom(ctx context.Context, n Node, account string) (addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	asked := time.Now()
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
		return addresses{}, errors.New("addresses: none")
	}
	found.expiresAt = asked.Add(time.Duration(found.KeepMillis) * time.Millisecond)
	return found, nil
}

// newID makes the id of a request.
func (c *Client) newID(a addresses) string {
	return fmt.Sprintf("%s.%s%x", a.Ticket, c.prefix, c.nonce.Add(1))
}
