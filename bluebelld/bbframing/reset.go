package bbframing

import (
	"net"
	"net/http"
)

// ResetIfUnframed resets the connection of a caller of HTTP/1.0, which takes an orderly close for the end of an
// answer without a length. It does nothing for later versions.
func ResetIfUnframed(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// The server closes the connection in order; the log has the request as cut.
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without lingering, closing resets the connection; if it is closed already, there is nothing to reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
