package bbwatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

func TestInvalidStatusIsNoValue(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999", "1000", "OK"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
			if data, err := new(Watch).poll(t.Context(), &http.Client{}, l.Addr().String(), "rules", 0, 0); err == nil {
				t.Errorf("value %q, want an error", data)
			}
		})
	}
}
