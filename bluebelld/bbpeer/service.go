// Package bbpeer is how entry VMs that find each other by themselves talk: they exchange
// what they know of each other, hand on what the platform published, and ask the VM that
// coordinates shared work for engines.
package bbpeer

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

// Exchange is what one VM tells another of itself and of the rest.
type Exchange struct {
	// From is the sender, brief if the other side should know it.
	From bbgossip.Member `cbor:"1,keyasint"`
	// KnownBoot is the process of the receiver that the sender knows; 0 if none.
	KnownBoot int64 `cbor:"2,keyasint,omitempty"`
	// Digest is that of the sender's table.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Members are those that the question wants, in an answer.
	Members []bbgossip.Member `cbor:"4,keyasint,omitempty"`
	// Unknown is true in an answer when the sender of the question wasn't known.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Vouches is true in an answer of a hub, as it sees itself.
	FromHub bool `cbor:"6,keyasint,omitempty"`
	// States are those of the processes that the sender sees running; only in an answer, where
	// the tables differ.
	States []uint64 `cbor:"7,keyasint,omitempty"`
	// Hints are those of the processes that only others see running.
	Hints []uint64 `cbor:"11,keyasint,omitempty"`
	// Wants are states of processes that the sender doesn't know, in a question.
	Wants []uint64 `cbor:"8,keyasint,omitempty"`
	// Hub is the address of the VM that vouches for others to the sender, in an answer of a VM
	// that isn't a hub itself.
	Hub string `cbor:"10,keyasint,omitempty"`
	// Outlook is what a coordinator expects of its cell.
	LoadEstimate *bbcell.LoadEstimate `cbor:"9,keyasint,omitempty"`
}

// Wanted names what a VM lacks of what the platform published.
type PublishedRequest struct {
	Catalog bool `json:"catalog"`
	// Endpoints is true for changes of endpoints after those that the sender knows of the
	// process with the given boot.
	Endpoints bool   `json:"endpoints"`
	Boot      int64  `json:"boot"`
	Sequence  uint64 `json:"sequence"`
}

// Published is what the platform published, as another VM knows it.
type Published struct {
	Catalog *bbcatalog.Catalog `json:"catalog"`
	// Endpoints are changes of the process with the given boot.
	Endpoints *bbregistry.Delta `json:"endpoints"`
	Boot      int64             `json:"boot"`
	// CatalogVersion is the configuration that the VM has in force.
	CatalogVersion uint64 `json:"catalogVersion"`
	// StoreAge is the time since the platform last answered it.
	StoreAge time.Duration `json:"storeAge"`
}

// Notes are notes of progress for a coordinator.
type Notes struct {
	Notes []bbjob.Note `json:"notes"`
}

// Suspects are contents that may crash endpoints.
type Suspects struct {
	Suspects []bbmsg.Suspect `json:"suspects"`
	// Relayed is true when the sender passes on what is for all VMs, rather than reports what it
	// saw itself.
	Relayed bool `json:"relayed"`
}

// Leaving names processes of endpoints that have said that they leave.
type Leaving struct {
	// From is the VM that tells it.
	From      string               `json:"from"`
	Processes []bbstanding.Process `json:"processes"`
}

// Nothing is an empty answer.
type Empty struct{}

// Handlers answer the calls of other VMs. They may be called at the same time.
type Handlers struct {
	Exchange  func(e Exchange) Exchange
	Published func(w PublishedRequest) Published
	// Order passes on what becomes of an order until its verdict.
	Order func(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error
	Notes func(n []bbjob.Note)
	// Suspects takes in what another VM knows of contents that may crash endpoints.
	Suspects func(s Suspects)
	// Leaving takes in which endpoints leave.
	Leaving func(l Leaving)
	// Failed is told of an unexpected error in one of the others, with its place; the call
	// ends with an error and the process goes on.
	HandlerFailed func(method string, err error)
}

// The full names of the calls.
const (
	serviceName     = "bluebell.Entry"
	exchangeMethod  = "/bluebell.Entry/Exchange"
	publishedMethod = "/bluebell.Entry/Published"
	orderMethod     = "/bluebell.Entry/Order"
	notesMethod     = "/bluebell.Entry/Notes"
	suspectsMethod  = "/bluebell.Entry/Suspects"
	leavingMethod   = "/bluebell.Entry/Leaving"
)

// entryService is what grpc requires a server to implement.
type entryService interface {
	handlers() *Handlers
}

type server struct {
	h Handlers
}

func (s *server) handlers() *Handlers {
	return &s.h
}

// unary returns the description of a call that decodes into Q and answers with R.
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

// serviceDesc describes the service to grpc. It is written by hand because the messages
// are plain structs and need no generator.
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
		unary("Leaving", func(_ context.Context, h *Handlers, q *Leaving) (*Empty, error) {
			h.Leaving(*q)
			return new(Empty), nil
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
