package bbpeer

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/core/bbjob"
)

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A handler that panics ends only its own call.
func TestPanicOfAHandler(t *testing.T) {
	addresses := []string{freeAddress(t)}
	failed := make(chan string, 2)
	stop, err := Listen(addresses[0], Handlers{
		Exchange:  func(Exchange) Exchange { return Exchange{} },
		Published: func(PublishedRequest) Published { panic("no table") },
		Order: func(context.Context, bbjob.Order, func(u bbjob.Update) error) error {
			var stages []int
			return errors.Newf("stage %d", stages[3])
		},
		Notes:         func([]bbjob.Note) {},
		HandlerFailed: func(method string, _ error) { failed <- method },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	conns, cleanup := NewConns()
	defer cleanup()
	if _, err := conns.Published(t.Context(), addresses[0], PublishedRequest{}); status.Code(errors.UnwrapAll(err)) != codes.Internal {
		t.Errorf("error %v, want code Internal", err)
	}
	if err := conns.Order(t.Context(), addresses[0], bbjob.Order{}, func() {}, func(bbjob.Update) error { return nil }); status.Code(errors.UnwrapAll(err)) != codes.Internal {
		t.Errorf("error %v, want code Internal", err)
	}
	if diff := cmp.Diff([]string{"Published", "Order"}, []string{<-failed, <-failed}); diff != "" {
		t.Errorf("handlers that failed (-want +got):\n%s", diff)
	}
	if _, err := conns.Exchange(t.Context(), addresses[0], Exchange{}); err != nil {
		t.Errorf("error %v of a call after the panics, want none", err)
	}
}
