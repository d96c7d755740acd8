// Package bbserver runs an entry VM: the core in its loop, the links to peers, the
// callers' interface, the calls to endpoints and the watch of the platform.
package bbserver

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bbbackend"
	"bluebellhall/bluebelld/bbcaller"
	"bluebellhall/bluebelld/bblink"
	"bluebellhall/bluebelld/bbsettings"
	"bluebellhall/bluebelld/bbwatch"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
	"bluebellhall/core/bbticket"
)

// Seams replace parts of the surroundings. The zero value is the usual daemon.
type Hooks struct {
	// Log takes the log; nil drops it.
	Log io.Writer
	// Blocked tells whether a peer, or the platform under its name, is cut off. It
	// serves tests of partitions.
	Blocked func(name string) bool
	// Paused returns a channel to wait for while the process is to stand still, or
	// nil. It serves tests of paused processes.
	Paused func() <-chan struct{}
	// Times and Bounds replace the defaults when they are set.
	Times  *bbnode.Times
	Bounds *bbnode.Bounds
}

// PlatformName is the name under which Seams.Blocked is asked about the platform.
const PlatformName = "platform"

// Server is a running entry VM.
type Server struct {
	// Name is the VM's name.
	Name string
	// Incarnation is the random number of the process.
	Incarnation uint64
	// Stopped is closed when a graceful stop is done.
	Stopped chan struct{}

	loop     *loop
	events   *timeline
	peers    *peers
	backend  *bbbackend.Client
	api      *bbcaller.API
	links    *bblink.Server
	handler  http.Handler
	registry metrics.Registry
	ticks    metrics.Histogram
	inputs   metrics.Meter
}

const (
	// answerTimeout bounds the wait for the core's answer to a caller.
	answerTimeout = 90 * time.Second
	// maxBodyBytes bounds the body of a request before the rules are asked.
	maxBodyBytes = 8 << 20
	// headerTimeout bounds the time in which a caller must send its headers.
	headerTimeout = 5 * time.Second
	// reservoirSize is the number of ticks that metrics are computed from.
	reservoirSize = 1028
	// reservoirAlpha weighs recent ticks.
	reservoirAlpha = 0.015
)

// Start runs an entry VM. The clean-up function ends it at once, as a crash would;
// use Drain for a graceful stop.
func Start(s bbsettings.Settings, seams Hooks) (*Server, func(), error) {
	v := newServer(s, seams)
	if s.TestFaults {
		seams, v.handler = withPeerBlocking(seams, v.handler)
	}
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	links, closeLinks, err := bblink.Listen(s.PeerAddress, v.Incarnation, v.receiver(seams))
	if err != nil {
		return nil, nil, err
	}
	v.links = links
	cleanups = append(cleanups, closeLinks)
	backend, closeBackend := bbbackend.New(v.handlers())
	v.backend = backend
	cleanups = append(cleanups, closeBackend)
	v.peers = newPeers(v, s, seams)
	cleanups = append(cleanups, v.peers.close)
	go v.loop.run()
	cleanups = append(cleanups, v.loop.close)
	closeCallers, err := v.serveCallers(s.CallerAddress)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	cleanups = append(cleanups, closeCallers)
	cleanups = append(cleanups, bbwatch.Start(v.watch(s, seams)))
	return v, cleanup, nil
}

// newServer builds a server that does not run yet.
func newServer(s bbsettings.Settings, seams Hooks) *Server {
	log := seams.Log
	if log == nil {
		log = io.Discard
	}
	level, _ := zerolog.ParseLevel(s.LogLevel)
	if s.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	clock := &sharedClock{}
	v := &Server{
		Name:        s.Name,
		Incarnation: rand.Uint64() | 1,
		Stopped:     make(chan struct{}),
		registry:    metrics.NewRegistry(),
	}
	v.ticks = metrics.GetOrRegisterHistogram("tickNanos", v.registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	v.inputs = metrics.GetOrRegisterMeter("inputs", v.registry)
	v.events = &timeline{
		node:  s.Name,
		clock: clock,
		log:   zerolog.New(log).Level(level).With().Timestamp().Logger(),
	}
	v.loop = &loop{
		node:       bbnode.New(nodeSettings(s, seams, v.Incarnation)),
		start:      time.Now(),
		inputs:     make(chan bbmsg.Input, inputQueueSize),
		perform:    v.perform,
		recordTick: v.recordTick,
		paused:     seams.Paused,
		clock:      clock,
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	var handler http.Handler
	v.api, handler = bbcaller.New(bbcaller.Settings{
		MaxBodyBytes:  maxBodyBytes,
		MaxCalls:      bbnode.DefaultBounds.Calls,
		AnswerTimeout: answerTimeout,
	}, bbcaller.Hooks{
		Input:   v.loop.input,
		Status:  v.Status,
		Events:  v.events.after,
		Metrics: v.registry,
	})
	v.handler = handler
	return v
}

// nodeSettings returns the settings of the core.
func nodeSettings(s bbsettings.Settings, seams Hooks, incarnation uint64) bbnode.Settings {
	r := bbnode.Settings{
		Self: bbmsg.Member{
			Name:        s.Name,
			Role:        bbmsg.RoleEntry,
			Address:     s.CallerAddress,
			PeerAddress: s.PeerAddress,
			Domain:      s.Domain,
			Region:      s.Region,
		},
		Incarnation: incarnation,
		Keys: bbticket.Keys{
			Current:  s.Key,
			Previous: s.PreviousKey,
		},
		Random: rand.New(rand.NewPCG(incarnation, rand.Uint64())),
		Times:  bbnode.DefaultTimes,
		Bounds: bbnode.DefaultBounds,
	}
	if s.ProbeIntervalMillis > 0 {
		r.Times = bbnode.TimesFor(time.Duration(s.ProbeIntervalMillis) * time.Millisecond)
	}
	if seams.Times != nil {
		r.Times = *seams.Times
	}
	if seams.Bounds != nil {
		r.Bounds = *seams.Bounds
	}
	return r
}

// Drain starts a graceful stop; Stopped is closed at its end.
func (v *Server) Drain() {
	v.loop.input(bbmsg.Input{
		Drain: true,
	})
}

// Status returns the node's status.
func (v *Server) Status() bbmsg.Status {
	return v.loop.getStatus()
}

// Events returns the kept events after a stamp.
func (v *Server) Events(after bbevent.Stamp) []bbevent.Event {
	return v.events.after(after)
}

// receiver takes in what peers send.
func (v *Server) receiver(seams Hooks) bblink.Receiver {
	return bblink.Receiver{
		Message: func(m bbmsg.FromPeer, stamp bbevent.Stamp) {
			v.loop.clock.observe(stamp)
			v.loop.input(bbmsg.Input{
				Peer: &m,
			})
		},
		Probe: func(p bbmsg.Probe) {
			v.loop.input(bbmsg.Input{
				Probe: &p,
			})
		},
		Stamp:   v.loop.clock.next,
		Blocked: seams.Blocked,
	}
}

// handlers take in what the calls to endpoints bring.
func (v *Server) handlers() bbbackend.Handlers {
	return bbbackend.Handlers{
		CallUpdate: func(n bbmsg.CallUpdate) {
			v.loop.input(bbmsg.Input{
				CallUpdate: &n,
			})
		},
		Report: func(r bbmsg.LoadReport) {
			v.loop.input(bbmsg.Input{
				Report: &r,
			})
		},
		OrderResult: func(r bbmsg.OrderResult) {
			v.loop.input(bbmsg.Input{
				OrderResult: &r,
			})
		},
	}
}

// watch describes how the platform is followed.
func (v *Server) watch(s bbsettings.Settings, seams Hooks) *bbwatch.Watch {
	return &bbwatch.Watch{
		Addresses: s.PlatformAddresses,
		Rules: func(r bbmsg.RulesText) {
			v.loop.input(bbmsg.Input{
				Rules: &r,
			})
		},
		List: func(l bbmsg.MemberList) {
			v.loop.input(bbmsg.Input{
				List: &l,
			})
		},
		State: func(up bool) {
			v.loop.input(bbmsg.Input{
				Platform: &bbmsg.PlatformState{
					Up: up,
				},
			})
		},
		Blocked: func() bool {
			return seams.Blocked != nil && seams.Blocked(PlatformName)
		},
	}
}

// serveCallers starts the callers' interface.
func (v *Server) serveCallers(address string) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           v.handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() { _ = server.Serve(listener) }()
	return func() {
		cancel()
		_ = server.Close()
	}, nil
}

// observed counts a tick.
func (v *Server) recordTick(took time.Duration, inputs int) {
	v.ticks.Update(took.Nanoseconds())
	v.inputs.Mark(int64(inputs))
}

// perform carries out an output of the core that was decided at a given time.
func (v *Server) perform(o bbmsg.Output, began time.Time) {
	switch {
	case o.Send != nil:
		v.peers.send(o.Send.To, o.Send.Envelope)
	case o.Call != nil:
		v.backend.Start(*o.Call, began)
	case o.Stop != nil:
		v.backend.Stop(*o.Stop)
	case o.Answer != nil:
		v.api.Answer(*o.Answer)
	case o.Event != nil:
		v.events.add(*o.Event)
	case o.Probe != nil:
		v.peers.probe(o.Probe.To, o.Probe.Probe)
	case o.Reply != nil:
		v.links.Reply(o.Reply.To, o.Reply.Incarnation, o.Reply.Reply)
	case o.Addresses != nil:
		v.api.Addresses(*o.Addresses)
	case o.Poll != nil:
		v.backend.Poll(*o.Poll)
	case o.Order != nil:
		v.backend.Order(*o.Order, began)
	case o.Links != nil:
		v.peers.setLinks(*o.Links)
	case o.Stopped:
		close(v.Stopped)
	}
}
