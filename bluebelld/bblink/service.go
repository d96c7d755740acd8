package bblink

import (
	"context"

	"google.golang.org/grpc"

	"bluebellhall/core/bbmsg"
)

// The full names of the service and methods between entry VMs.
const (
	serviceName = "bluebell.Peer"
	probeMethod = "/bluebell.Peer/Probe"
	linkMethod  = "/bluebell.Peer/Link"
)

// linkStream describes the stream of batches and their acknowledgements for senders.
var linkStream = grpc.StreamDesc{
	StreamName:    "Link",
	ServerStreams: true,
	ClientStreams: true,
}

// peerService is the interface that grpc requires the server to implement.
type peerService interface {
	probe(ctx context.Context, p *bbmsg.Probe) (*bbmsg.ProbeReply, error)
	link(stream grpc.ServerStream) error
}

// serviceDesc describes the service to grpc. It is written by hand because the
// messages are plain structs and need no generator.
var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*peerService)(nil),
	Methods: []grpc.MethodDesc{
		{
			MethodName: "Probe",
			Handler: func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				p := new(bbmsg.Probe)
				if err := decode(p); err != nil {
					return nil, err
				}
				return server.(peerService).probe(ctx, p)
			},
		},
	},
	Streams: []grpc.StreamDesc{
		{
			StreamName:    "Link",
			Handler:       handleLink,
			ServerStreams: true,
			ClientStreams: true,
		},
	},
}

// handleLink passes a new stream to the server.
func handleLink(server any, stream grpc.ServerStream) error {
	return server.(peerService).link(stream)
}
