// Package bbpeer implements the calls between entry VMs that discover each other: they exchange the
// membership of the fleet, share what the platform published, notify each other of suspect contents
// and of leaving endpoints, copy records of begun streams, and send orders to coordinators.
package bbpeer

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/bluebelld/bbcatalogcopy"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbprovenance"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

// Exchange is the message of a gossip exchange, sent both as the request and as the answer.
type Exchange struct {
	// From is the sender's record, brief if the other side should have the full one.
	From bbgossip.Member `cbor:"1,keyasint"`
	// KnownBoot is the boot of the receiver's process that the sender knows; 0 if none.
	KnownBoot int64 `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the sender's table.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Members are the records that the request wants, in an answer.
	Members []bbgossip.Member `cbor:"4,keyasint,omitempty"`
	// Unknown is true in an answer when the sender of the request wasn't known.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// FromHub is true in an answer of a VM that considers itself a hub.
	FromHub bool `cbor:"6,keyasint,omitempty"`
	// States are the states of the processes that the sender sees running; only in an answer, where
	// the tables differ.
	States []uint64 `cbor:"7,keyasint,omitempty"`
	// Hints are the states of the processes that only others see running.
	Hints []uint64 `cbor:"11,keyasint,omitempty"`
	// Wants are the states of unknown processes whose records the sender requests, in a request.
	Wants []uint64 `cbor:"8,keyasint,omitempty"`
	// Hub is the address of the sender's hub, in an answer of a VM that isn't a hub itself.
	Hub string `cbor:"10,keyasint,omitempty"`
	// LoadEstimate is a coordinator's estimate of the load of its cell.
	LoadEstimate *bbcell.LoadEstimate `cbor:"9,keyasint,omitempty"`
	// Coordinator identifies the process that coordinates the sender's cell, see
	// [bbgossip.Member.Process], in the sender's view: in a request if that process is ready, in an
	// answer if that view is stable as well. It is 0 otherwise and in messages of earlier builds.
	Coordinator uint64 `cbor:"12,keyasint,omitempty"`
}

// PublishedRequest names the parts of what the platform published that a VM requests.
type PublishedRequest struct {
	Catalog bool `json:"catalog"`
	// Parts requests the part of the configuration that begins at Offset instead of all of it, and only if its version is
	// higher than Newer. Builds that don't know it send all.
	Parts  bool   `json:"parts,omitempty"`
	Offset int    `json:"offset,omitempty"`
	Newer  uint64 `json:"newer,omitempty"`
	// Endpoints requests the changes of endpoints after the given sequence number of the receiver's
	// process with the given boot, which the sender knows.
	Endpoints bool   `json:"endpoints"`
	Boot      int64  `json:"boot"`
	Sequence  uint64 `json:"sequence"`
}

// Published is what the platform published, as far as the sender knows it.
type Published struct {
	Catalog *bbcatalog.Catalog `json:"catalog"`
	// Part is a part of the configuration.
	Part *bbcatalogcopy.Part `json:"part,omitempty"`
	// Endpoints are changes of endpoints, numbered by the process with the given boot.
	Endpoints *bbregistry.Delta `json:"endpoints"`
	Boot      int64             `json:"boot"`
	// CatalogVersion is the configuration that the VM has in force.
	CatalogVersion uint64 `json:"catalogVersion"`
	// StoreAge is the time since the platform's store last answered the sender.
	StoreAge time.Duration `json:"storeAge"`
}

// Notes are reports of progress to a coordinator.
type Notes struct {
	Notes []bbjob.Note `json:"notes"`
}

// Suspects are contents that may crash endpoints, or parts of prompts that may crash engines.
type Suspects struct {
	Suspects []bbmsg.Suspect `json:"suspects"`
	// Relayed is true when the sender passes on a message that is for all VMs, and false when it
	// reports its own observation.
	Relayed bool `json:"relayed"`
}

// Leaving names processes of endpoints that have announced that they are leaving.
type Leaving struct {
	// From is the VM that reports it.
	From      string               `json:"from"`
	Processes []bbstanding.Process `json:"processes"`
}

// Limits reports limits that endpoints have named.
type Limits struct {
	// From is the VM that reports them.
	From   string          `json:"from"`
	Limits []EndpointLimit `json:"limits"`
	// Relayed is true when the sender passes on a message that is for all VMs.
	Relayed bool `json:"relayed"`
}

// EndpointLimit is the limit of one process of an endpoint; one that names none has ended.
type EndpointLimit struct {
	Process bbstanding.Process `json:"process"`
	Limit   bbstanding.Limit   `json:"limit"`
}

// Permit asks the VM that counts the requests to an endpoint with a limit whether one more may be sent.
type Permit struct {
	// Endpoint is the endpoint's ID.
	Endpoint string        `json:"endpoint"`
	Limit    EndpointLimit `json:"limit"`
}

// Permitted is the answer to a Permit.
type Permitted struct {
	Granted bool `json:"granted"`
	// Wait is how long to wait before asking again if it wasn't granted.
	Wait time.Duration `json:"wait"`
}

// StreamsBegun are records of begun streams, of which the receiver keeps copies.
type StreamsBegun struct {
	Records []bbprovenance.Record `cbor:"1,keyasint"`
}

// StreamBegan asks a VM which service and version began a stream.
type StreamBegan struct {
	// Attempt is the hash of the ID of the attempt that brought the first event.
	Attempt uint64 `cbor:"1,keyasint"`
	// Service is the only service that may have begun the stream; empty if there are several. Earlier builds neither
	// send nor read it.
	Service string `cbor:"2,keyasint,omitempty"`
}

// Empty is an empty answer.
type Empty struct{}

// Handlers answer the calls of other VMs. They may be called concurrently.
type Handlers struct {
	Exchange  func(e Exchange) Exchange
	Published func(r PublishedRequest) Published
	// Order passes on the updates of an order until its verdict.
	Order func(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error
	Notes func(n []bbjob.Note)
	// Suspects records what another VM reports of contents that may crash endpoints.
	Suspects func(s Suspects)
	// SuspectParts records the same of parts of prompts.
	SuspectParts func(s Suspects)
	// Leaving records which endpoints are leaving.
	Leaving func(l Leaving)
	// Limits records limits of endpoints, and Permit decides on one request to an endpoint with a limit.
	Limits func(l Limits)
	Permit func(p Permit) Permitted
	// StreamsBegun records copies of records of begun streams, and StreamBegan answers who began the stream of an
	// attempt, which can only be a service, or one of several if that is empty.
	StreamsBegun func(records []bbprovenance.Record)
	StreamBegan  func(attempt uint64, service string) bbprovenance.Answer
	// HandlerFailed is called when another handler has panicked, with an error that has the stack.
	// The call ends with an error and the process goes on.
	HandlerFailed func(method string, err error)
}

// The names of the gRPC service and its methods.
const (
	serviceName        = "bluebell.Entry"
	exchangeMethod     = "/bluebell.Entry/Exchange"
	publishedMethod    = "/bluebell.Entry/Published"
	orderMethod        = "/bluebell.Entry/Order"
	notesMethod        = "/bluebell.Entry/Notes"
	suspectsMethod     = "/bluebell.Entry/Suspects"
	partsMethod        = "/bluebell.Entry/SuspectParts"
	leavingMethod      = "/bluebell.Entry/Leaving"
	limitsMethod       = "/bluebell.Entry/Limits"
	permitMethod       = "/bluebell.Entry/Permit"
	streamsBegunMethod = "/bluebell.Entry/StreamsBegun"
	streamBeganMethod  = "/bluebell.Entry/StreamBegan"
)

// entryService is the interface that gRPC requires the server to implement.
type entryService interface {
	handlers() *Handlers
}

type server struct {
	h Handlers
}

func (s *server) handlers() *Handlers {
	return &s.h
}

// unary returns the description of a call with a request of type Q and an answer of type R.
func unary[Q, R any](name string, call func(ctx context.Context, h *Handlers, q *Q) (*R, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			q := new(Q)
			if err := decode(q); err != nil {
				return nil, err
			}
			h := srv.(entryService).handlers()
			var r *R
			err := guard(h, name, func() (err error) {
				r, err = call(ctx, h, q)
				return err
			})
			return r, err
		},
	}
}

// guard runs a handler and turns a panic into an error.
func guard(h *Handlers, method string, handle func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			failure := errors.Newf("%v\n%s", v, debug.Stack())
			h.HandlerFailed(method, failure)
			err = status.Error(codes.Internal, "unexpected error")
		}
	}()
	return handle()
}

// serviceDesc describes the service to gRPC. It is written by hand because the messages are plain
// structs that need no generated code.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*entryService)(nil),
	Methods: []grpc.MethodDesc{
		unary("Exchange", func(_ context.Context, h *Handlers, q *Exchange) (*Exchange, error) {
			answer := h.Exchange(*q)
			return &answer, nil
		}),
		unary("Published", func(_ context.Context, h *Handlers, q *PublishedRequest) (*Published, error) {
			answer := h.Published(*q)
			return &answer, nil
		}),
		unary("Notes", func(_ context.Context, h *Handlers, q *Notes) (*Empty, error) {
			h.Notes(q.Notes)
			return new(Empty), nil
		}),
		unary("Suspects", func(_ context.Context, h *Handlers, q *Suspects) (*Empty, error) {
			h.Suspects(*q)
			return new(Empty), nil
		}),
		unary("SuspectParts", func(_ context.Context, h *Handlers, q *Suspects) (*Empty, error) {
			h.SuspectParts(*q)
			return new(Empty), nil
		}),
		unary("Leaving", func(_ context.Context, h *Handlers, q *Leaving) (*Empty, error) {
			h.Leaving(*q)
			return new(Empty), nil
		}),
		unary("Limits", func(_ context.Context, h *Handlers, q *Limits) (*Empty, error) {
			h.Limits(*q)
			return new(Empty), nil
		}),
		unary("Permit", func(_ context.Context, h *Handlers, q *Permit) (*Permitted, error) {
			answer := h.Permit(*q)
			return &answer, nil
		}),
		unary("StreamsBegun", func(_ context.Context, h *Handlers, q *StreamsBegun) (*Empty, error) {
			h.StreamsBegun(q.Records)
			return new(Empty), nil
		}),
		unary("StreamBegan", func(_ context.Context, h *Handlers, q *StreamBegan) (*bbprovenance.Answer, error) {
			answer := h.StreamBegan(q.Attempt, q.Service)
			return &answer, nil
		}),
	},
	Streams: []grpc.StreamDesc{
		{
			StreamName:    "Order",
			ServerStreams: true,
			Handler: func(srv any, stream grpc.ServerStream) error {
				o := new(bbjob.Order)
				if err := stream.RecvMsg(o); err != nil {
					return err
				}
				h := srv.(entryService).handlers()
				return guard(h, "Order", func() error {
					return h.Order(stream.Context(), *o, func(u bbjob.Update) error { return stream.SendMsg(&u) })
				})
			},
		},
	},
}

// orderStream describes the stream of updates to an order.
var orderStream = grpc.StreamDesc{
	StreamName:    "Order",
	ServerStreams: true,
}
