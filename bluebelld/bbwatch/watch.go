// Package bbwatch follows the platform: it reads and watches the rules and the list
// of VMs by long polls, from any of its addresses, and never writes.
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

// Watch follows the platform.
type Watch struct {
	// Addresses are host:port of the platform, at least one.
	Addresses []string
	// Rules and List take in what was published.
	Rules func(r bbmsg.RulesText)
	List  func(l bbmsg.MemberList)
	// State takes in whether the platform answers, when that changes.
	State func(up bool)
	// Blocked tells whether the platform is cut off; nil means never.
	Blocked func() bool

	mu sync.Mutex
	up bool
	// known is true once State was called.
	reported bool
}

const (
	// pollWait is how long the platform may hold a poll.
	maxPollHold = 5 * time.Second
	// pollTimeout bounds a poll as a whole.
	pollTimeout = maxPollHold + time.Second
	// shortestRetry and longestRetry bound the wait after a failed poll.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 2 * time.Second
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxValueBytes bounds a published value.
	maxValueBytes = 4 << 20
)

// errUnchanged says that there is nothing newer.
var errUnchanged = errors.New("unchanged")

// Start follows the platform until the clean-up function is called.
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

// takeRules decodes a revision of the rules and returns its number.
func (w *Watch) deliverRules(data []byte) (int64, error) {
	var r bbmsg.RulesText
	if err := json.Unmarshal(data, &r); err != nil {
		return 0, errors.Wrap(err, "decode rules")
	}
	w.Rules(r)
	return r.Revision, nil
}

// takeList decodes a list and returns its revision.
func (w *Watch) deliverList(data []byte) (int64, error) {
	var l bbmsg.MemberList
	if err := json.Unmarshal(data, &l); err != nil {
		return 0, errors.Wrap(err, "decode members")
	}
	w.List(l)
	return l.Revision, nil
}

// follow polls one value for ever, and no more often than each shortestRetry, also
// when the platform does not hold polls. After a failure it waits with jitter and turns to
// the next address.
func (w *Watch) follow(ctx context.Context, name string, take func([]byte) (int64, error)) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
	var after int64
	wait := shortestRetry
	hold := maxPollHold
	for turn := 0; ctx.Err() == nil; {
		began := time.Now()
		data, err := w.poll(ctx, client, w.Addresses[turn%len(w.Addresses)], name, after, hold)
		if err == nil {
			after, err = w.accept(after, data, take)
		}
		if err == nil || errors.Is(err, errUnchanged) {
			w.reportState(true)
			wait = shortestRetry
			hold = maxPollHold
			pause(ctx, shortestRetry-time.Since(began))
			continue
		}
		w.reportState(false)
		hold = 0
		client.CloseIdleConnections()
		turn++
		pause(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, longestRetry)
	}
}

// accept takes in a value and returns the revision to ask after.
func (w *Watch) accept(after int64, data []byte, take func([]byte) (int64, error)) (int64, error) {
	revision, err := take(data)
	if err != nil {
		return after, err
	}
	return max(after, revision), nil
}

// poll asks once for a value newer than a revision, for which the platform may hold it.
// After a failure it is not held, so that the platform is soon seen to be back.
func (w *Watch) poll(ctx context.Context, client *http.Client, address, name string, after int64, hold time.Duration) ([]byte, error) {
	if w.Blocked != nil && w.Blocked() {
		return nil, errors.New("cut off")
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/%s?after=%d&waitMillis=%d", address, name, after, hold.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build poll")
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
		return nil, errors.Newf("platform answered %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes))
	return data, errors.Wrap(err, "read value")
}

// note reports whether the platform answers, when that has changed.
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

// pause waits, or returns when the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
