package bbproxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo answers each line with the same line.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// exchange sends a text over an open connection and tells whether it came back.
func exchange(c net.Conn) bool {
	c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := io.WriteString(c, "hello"); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 5))
	return err == nil
}

func TestProxy(t *testing.T) {
	p, cleanup, err := NewProxy("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	dial := func(t *testing.T) net.Conn {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	// A connection that is reset at once may be so before it counts as open.
	answeredAnew := func() bool {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return false
		}
		defer c.Close()
		return exchange(c)
	}
	for _, test := range []struct {
		name    string
		trouble Impairment
		want    bool
	}{
		{"none", Impairment{}, true},
		{"short delay", Impairment{Delay: 20 * time.Millisecond}, true},
		{"silence", Impairment{Stall: true}, false},
		{"one way", Impairment{StallReplies: true}, false},
		{"reset", Impairment{Reset: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p.SetImpairment(Impairment{})
			open := dial(t)
			if !exchange(open) {
				t.Fatal("nothing came back before the trouble")
			}
			p.SetImpairment(test.trouble)
			if got := [2]bool{exchange(open), answeredAnew()}; got != [2]bool{test.want, test.want} {
				t.Errorf("open and new connection answered: %v, want %t for both", got, test.want)
			}
		})
	}
}
