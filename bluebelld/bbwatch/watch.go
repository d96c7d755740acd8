// Package bbwatch watches the platform's configuration service: it reads the rules and the
// list of VMs by long polls, from any of the service's addresses, and never writes.
package bbwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbmsg"
)

// Watch watches the platform. Set the exported fields, then call Start.
type Watch struct {
	// Addresses are the host:port of the configuration service's instances, at least one.
	Addresses []string
	// Rules and List receive each published revision that was fetched.
	Rules func(r bbmsg.RulesText)
	List  func(l bbmsg.MemberList)
	// State receives whether the platform answers: after the first poll and on each change.
	State func(up bool)
	// Blocked returns true while polls are blocked to simulate a partition; nil means never.
	Blocked func() bool

	mu sync.Mutex
	up bool
	// reported is true once State was called.
	reported bool
}

const (
	// maxPollHold is how long the platform may hold a long poll.
	maxPollHold = 5 * time.Second
	// pollTimeout bounds a whole poll.
	pollTimeout = maxPollHold + time.Second
	// shortestRetry and longestRetry bound the backoff after a failed poll.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 2 * time.Second
	// maxHeadBytes bounds the headers of a response.
	maxHeadBytes = 64 << 10
	// maxValueBytes bounds a published value, the body of a response.
	maxValueBytes = 4 << 20
)

// errUnchanged means that the platform has no newer revision.
var errUnchanged = errors.New("unchanged")

// Start watches the platform until the returned function is called, which waits for the end of
// the polls.
func Start(w *Watch) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { w.follow(ctx, "rules", w.deliverRules) })
	running.Go(func() { w.follow(ctx, "members", w.deliverList) })
	return func() {
		cancel()
		running.Wait()
	}
}

// deliverRules decodes a revision of the rules, passes it on and returns its number.
func (w *Watch) deliverRules(data []byte) (int64, error) {
	var r bbmsg.RulesText
	if err := json.Unmarshal(data, &r); err != nil {
		return 0, errors.Wrap(err, "decode rules")
	}
	w.Rules(r)
	return r.Revision, nil
}

// deliverList decodes a member list, passes it on and returns its revision.
func (w *Watch) deliverList(data []byte) (int64, error) {
	var l bbmsg.MemberList
	if err := json.Unmarshal(data, &l); err != nil {
		return 0, errors.Wrap(err, "decode members")
	}
	w.List(l)
	return l.Revision, nil
}

// follow polls one value until the context ends, at most once in shortestRetry, even when the
// platform answers without holding the polls. After a failure it backs off with jitter and
// tries the next address; the next poll asks the platform not to hold it, so that a platform
// that is up again is detected quickly.
func (w *Watch) follow(ctx context.Context, name string, deliver func([]byte) (int64, error)) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	var after int64
	backoff := shortestRetry
	hold := maxPollHold
	for turn := 0; ctx.Err() == nil; {
		began := time.Now()
		data, err := w.poll(ctx, client, w.Addresses[turn%len(w.Addresses)], name, after, hold)
		if err == nil {
			after, err = w.accept(after, data, deliver)
		}
		if err == nil || errors.Is(err, errUnchanged) {
			w.reportState(true)
			backoff = shortestRetry
			hold = maxPollHold
			pause(ctx, shortestRetry-time.Since(began))
			continue
		}
		w.reportState(false)
		hold = 0
		client.CloseIdleConnections()
		turn++
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, longestRetry)
	}
}

// accept delivers a value and returns the revision after which to poll next.
func (w *Watch) accept(after int64, data []byte, deliver func([]byte) (int64, error)) (int64, error) {
	revision, err := deliver(data)
	if err != nil {
		return after, err
	}
	return max(after, revision), nil
}

// poll requests a value newer than a revision once. The platform may hold the request for the
// given time until there is one.
func (w *Watch) poll(ctx context.Context, client *http.Client, address, name string, after int64, hold time.Duration) ([]byte, error) {
	if w.Blocked != nil && w.Blocked() {
		return nil, errors.New("platform blocked by a simulated partition")
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/%s?after=%d&waitMillis=%d", address, name, after, hold.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build poll request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "poll platform")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, errUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("platform answered with status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes))
	return data, errors.Wrap(err, "read poll response")
}

// reportState calls State when it was never called or the reachability has changed.
func (w *Watch) reportState(up bool) {
	w.mu.Lock()
	changed := !w.reported || w.up != up
	w.reported = true
	w.up = up
	w.mu.Unlock()
	if changed {
		w.State(up)
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
