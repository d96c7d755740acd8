// Package bbplatform is the stand-in of the platform: a configuration service that
// can be read and watched under a quota, and a lagging list of VMs. It can be down
// or stale.
package bbplatform

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bluebellhall/core/bbmsg"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

const (
	// DefaultCallsPerSecond is the quota over all readers.
	DefaultCallsPerSecond = 2000
	// MaxValueBytes bounds the text of the rules.
	MaxValueBytes = 1 << 20
	// maxWait bounds a long poll.
	maxWait = 60 * time.Second
)

// Settings describe a platform.
type Settings struct {
	// Address is host:port on loopback; empty picks a free port of 127.0.0.1.
	Address string
	// CallsPerSecond is the quota over all readers; 0 means DefaultCallsPerSecond.
	CallsPerSecond int
	// MemberLag is how late changes of the member list show.
	MemberLag time.Duration
}

// Faults is the whole state of the platform's faults.
type Faults struct {
	// Down answers all readers with 503.
	Down bool `json:"down"`
	// Frozen keeps what readers see as it was.
	Frozen bool `json:"frozen"`
	// LagMillis is how late changes of the member list show.
	LagMillis int64 `json:"lagMillis"`
}

// Calls counts the readers' calls since Start.
type Calls struct {
	// Calls counts all calls, a waiting watch as one.
	Calls int64 `json:"calls"`
	// Rejected counts the calls over the quota.
	Rejected int64 `json:"rejected"`
}

// Platform is a running stand-in. Its methods may be called from any goroutine.
type Platform struct {
	address string
	limiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	calls  Calls
	// newest is what was published, live what may show after the lag, and shown
	// what readers see. They differ by lag and by being frozen.
	published snapshot
	afterLag  snapshot
	visible   snapshot
	// changed is closed and replaced with every change that readers can notice.
	changed chan struct{}
}

// snapshot is what the platform holds at a time. Its parts are never changed.
type snapshot struct {
	rules   bbmsg.RulesText
	members bbmsg.MemberList
}

// Start opens the platform's port. The clean-up function closes it with all
// connections.
func Start(s Settings) (*Platform, func(), error) {
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	if s.CallsPerSecond == 0 {
		s.CallsPerSecond = DefaultCallsPerSecond
	}
	listener, err := listenLoopback(s.Address)
	if err != nil {
		return nil, nil, err
	}
	p := &Platform{
		address: listener.Addr().String(),
		limiter: rate.NewLimiter(rate.Limit(s.CallsPerSecond), s.CallsPerSecond),
		faults:  Faults{LagMillis: s.MemberLag.Milliseconds()},
		changed: make(chan struct{}),
	}
	server := &http.Server{
		Handler:  p.routes(),
		ErrorLog: log.New(io.Discard, "", 0),
	}
	go server.Serve(listener)
	return p, func() { server.Close() }, nil
}

func listenLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.Newf("address %q is not on loopback", address)
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %q", address)
}

func (p *Platform) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/rules", p.serveRules).Methods(http.MethodGet)
	router.HandleFunc("/v1/members", p.serveMembers).Methods(http.MethodGet)
	router.HandleFunc("/admin/rules", p.servePublishRules).Methods(http.MethodPost)
	router.HandleFunc("/admin/members", p.servePublishMembers).Methods(http.MethodPost)
	router.HandleFunc("/admin/faults", p.serveFaults).Methods(http.MethodPost)
	router.HandleFunc("/admin/calls", p.serveCalls).Methods(http.MethodGet)
	return router
}

// Address returns host:port of the platform.
func (p *Platform) Address() string {
	return p.address
}

// PublishRules publishes the next revision of the rules and returns its number.
// The text is not checked.
func (p *Platform) PublishRules(text string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published.rules = bbmsg.RulesText{
		Revision: p.published.rules.Revision + 1,
		Text:     text,
	}
	p.afterLag.rules = p.published.rules
	p.updateVisible()
	return p.published.rules.Revision
}

// PublishMembers publishes the next revision of the member list, which shows after
// the lag, and returns its number.
func (p *Platform) PublishMembers(members []bbmsg.Member) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b bbmsg.Member) int { return strings.Compare(a.Name, b.Name) })
	list := bbmsg.MemberList{
		Revision: p.published.members.Revision + 1,
		Members:  sorted,
	}
	p.published.members = list
	lag := time.Duration(p.faults.LagMillis) * time.Millisecond
	if lag == 0 {
		p.endMemberLag(list)
		return list.Revision
	}
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endMemberLag(list)
	})
	return list.Revision
}

// Members returns the newest published members, shown or not.
func (p *Platform) Members() []bbmsg.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.published.members.Members)
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.updateVisible()
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// reveal ends the lag of a list. The caller holds the lock.
func (p *Platform) endMemberLag(list bbmsg.MemberList) {
	if list.Revision <= p.afterLag.members.Revision {
		return
	}
	p.afterLag.members = list
	p.updateVisible()
}

// show lets readers see what is live, and wakes them. The caller holds the lock.
func (p *Platform) updateVisible() {
	if !p.faults.Frozen {
		p.visible = p.afterLag
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// view is what a reader finds.
type view struct {
	visible snapshot
	down    bool
	changed <-chan struct{}
}

func (p *Platform) currentView() view {
	p.mu.Lock()
	defer p.mu.Unlock()
	return view{
		visible: p.visible,
		down:    p.faults.Down,
		changed: p.changed,
	}
}

// admit counts a call and tells whether it is within the quota.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Calls++
	if p.limiter.Allow() {
		return true
	}
	p.calls.Rejected++
	return false
}

// watch waits until ready holds or the time is over, and returns an HTTP status:
// 200 with the snapshot, 304 without, 503 when down.
func (p *Platform) watch(ctx context.Context, wait time.Duration, ready func(snapshot) bool) (snapshot, int) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v := p.currentView()
		if v.down {
			return snapshot{}, http.StatusServiceUnavailable
		}
		if ready(v.visible) {
			return v.visible, http.StatusOK
		}
		select {
		case <-v.changed:
		case <-timer.C:
			return snapshot{}, http.StatusNotModified
		case <-ctx.Done():
			return snapshot{}, http.StatusNotModified
		}
	}
}
