package bbbackend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
)

// rawEndpoint starts an endpoint that reads each request and answers with a text. It returns its address.
func rawEndpoint(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				io.WriteString(conn, answer)
			}()
		}
	}()
	return l.Addr().String()
}

// Regression: a call whose answer had an invalid status counted as failed or, with the header for it, as not run.
func TestInvalidStatusBreaksTheCall(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999", "1000", "OK"} {
		for name, rest := range map[string]string{
			"plain":           "Content-Length: 2\r\n\r\nok",
			"cold":            coldHeader + ": 1\r\nContent-Length: 0\r\n\r\n",
			"up to the close": "\r\nok",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				e := bbmsg.EndpointCall{
					Call:          1,
					Address:       rawEndpoint(t, "HTTP/1.1 "+status+" X\r\n"+rest),
					Kind:          "plain",
					Path:          "v1/run",
					TimeoutMillis: testWait.Milliseconds(),
				}
				checkKind(t, run(t, e, time.Now()), bbmsg.UpdateBroken)
				e.Kind = kindEngine
				checkKind(t, run(t, e, time.Now()), bbmsg.UpdateBroken)
			})
		}
		t.Run(status+" to an order", func(t *testing.T) {
			results := make(chan bbmsg.OrderResult, 1)
			c, cleanup := New(Handlers{
				OrderResult: func(r bbmsg.OrderResult) { results <- r },
			})
			defer cleanup()
			c.Order(bbmsg.Order{
				Address: rawEndpoint(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n"),
			}, time.Now())
			if r := <-results; r.Accepted || r.Status != 0 {
				t.Errorf("result %+v, want no answer", r)
			}
		})
		t.Run(status+" to a poll", func(t *testing.T) {
			c, cleanup := New(Handlers{})
			defer cleanup()
			report, err := c.fetchReport(bbmsg.EndpointPoll{
				Address: rawEndpoint(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"),
			})
			if err == nil {
				t.Errorf("report %+v, want an error", report)
			}
		})
	}
}
