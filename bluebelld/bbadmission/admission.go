// Package bbadmission admits requests of callers: it finds route and client account and reads the
// body, within the bounds of the configuration in force.
package bbadmission

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhash"
)

const (
	// defaultWait is the wait of callers that name none on routes without a timeout.
	defaultWait = 30 * time.Second
	// defaultBody bounds bodies while no configuration sets a limit, in bytes.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the reading of a caller's body.
	bodyTimeout = 10 * time.Second
)

// Admitted is a request of a caller. What is known of one that wasn't admitted is filled in.
type Admitted struct {
	bbcodec.Request
	// Index is the configuration that was in force on arrival, nil if there was none.
	Index *bbcatalog.Index
	Route *bbcatalog.Route
	// Account is nil where none is needed.
	Account *bbcatalog.Account
	Body    []byte
	// Content is a hash of what is asked and by whom, without what is new for each attempt; 0 if
	// the request wasn't admitted.
	Content uint64
}

// Admit reads a request. It returns a status and a cause if the request ends here.
func Admit(w http.ResponseWriter, r *http.Request, index *bbcatalog.Index, decode func(r *http.Request) (bbcodec.Request, error)) (a Admitted, status int, cause string) {
	a.Index = index
	var err error
	a.Request, err = decode(r)
	if index == nil {
		return a, http.StatusServiceUnavailable, "noConfiguration"
	}
	if most := index.Catalog.Limits.HeaderBytes; most > 0 && headBytes(r) > most {
		return a, http.StatusRequestHeaderFieldsTooLarge, "headSize"
	}
	if err != nil {
		return a, http.StatusBadRequest, "headers"
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return a, http.StatusBadRequest, "target"
	}
	a.Route = index.Route(hostName(r.Host), path)
	if a.Route == nil {
		return a, http.StatusNotFound, "noRoute"
	}
	if index.NeedsKey(a.Route) {
		a.Account = index.Account(a.Key)
		if a.Account == nil {
			return a, http.StatusUnauthorized, "unknownKey"
		}
	}
	if status, cause := a.readBody(w, r); status != 0 {
		return a, status, cause
	}
	a.Content = a.hashContent(r)
	return a, 0, ""
}

// MostWait returns the time that the caller may be kept waiting.
func (a *Admitted) MaxWait() time.Duration {
	wait := a.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if a.Route.Timeout > 0 {
		wait = min(wait, a.Route.Timeout)
	}
	return wait
}

func (a *Admitted) hashContent(r *http.Request) uint64 {
	caller := a.Key
	if a.Account != nil {
		caller = a.Account.Name
	}
	return bbhash.Content([]byte(r.Method), []byte(r.Host), []byte(r.RequestURI), []byte(caller), a.Body)
}

// headBytes returns the size of a request's head, as it would be written without spaces that
// mean nothing.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the caller's body whole, so that it can be sent again.
func (a *Admitted) readBody(w http.ResponseWriter, r *http.Request) (status int, cause string) {
	most := a.Index.Catalog.Limits.BodyBytes
	if most <= 0 {
		most = defaultMaxBody
	}
	if r.ContentLength > most {
		return http.StatusRequestEntityTooLarge, "bodySize"
	}
	if r.Body == nil || r.Body == http.NoBody {
		return 0, ""
	}
	// A reader that can't have a deadline has its connection's.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, "bodySize"
	}
	if err != nil {
		return http.StatusBadRequest, "bodyBroken"
	}
	a.Body = body
	return 0, ""
}

// hostName returns a host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
