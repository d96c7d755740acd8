// Package bbadmission admits requests of callers: it decodes their headers, finds the route and the client
// account, and reads the body, within the limits of the configuration in force.
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
	// defaultWait is the maximum wait of callers that specify none on routes without a timeout.
	defaultWait = 30 * time.Second
	// defaultMaxBody bounds bodies while no configuration sets a limit, in bytes.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the time to read a caller's body.
	bodyTimeout = 10 * time.Second
)

// Admitted is a caller's request. If it was refused, the fields determined before the refusal are set.
type Admitted struct {
	bbcodec.Request
	// Index is the configuration in force on arrival; nil if there was none.
	Index *bbcatalog.Index
	Route *bbcatalog.Route
	// Account is the client account; nil if the route needs none.
	Account *bbcatalog.Account
	Body    []byte
	// Content is the fingerprint of the request: a hash of method, target, caller and body without
	// anything that differs between attempts, such as the ID; 0 if the request wasn't admitted.
	Content uint64
}

// Admit decodes a request and reads its body. If the request is refused, it returns an HTTP status and a
// one-word cause; else the status is 0.
func Admit(w http.ResponseWriter, r *http.Request, index *bbcatalog.Index, decode func(r *http.Request) (bbcodec.Request, error)) (a Admitted, status int, cause string) {
	a.Index = index
	var err error
	a.Request, err = decode(r)
	if index == nil {
		return a, http.StatusServiceUnavailable, "noConfiguration"
	}
	if limit := index.Catalog.Limits.HeaderBytes; limit > 0 && headBytes(r) > limit {
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

// MaxWait returns how long the caller may be kept waiting.
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

// Regions returns the regions in which the request may be served by a configuration that may be later than that of its
// arrival; empty means all. Route and account stay those of its arrival, with the regions that they have in the later
// configuration, or had last.
func (a *Admitted) Regions(index *bbcatalog.Index) []string {
	if index != a.Index && index != nil {
		account := ""
		if a.Account != nil {
			account = a.Account.Name
		}
		if regions, ok := index.RegionsOf(a.Route.Name, account); ok {
			return regions
		}
	}
	return bbcatalog.Regions(a.Route, a.Account)
}

func (a *Admitted) hashContent(r *http.Request) uint64 {
	caller := a.Key
	if a.Account != nil {
		caller = a.Account.Name
	}
	return bbhash.Content([]byte(r.Method), []byte(r.Host), []byte(r.RequestURI), []byte(caller), a.Body)
}

// headBytes returns the size of a request's head as written without optional whitespace.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the caller's body completely, so that it can be sent again on a retry.
func (a *Admitted) readBody(w http.ResponseWriter, r *http.Request) (status int, cause string) {
	limit := a.Index.Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, "bodySize"
	}
	if r.Body == nil || r.Body == http.NoBody {
		return 0, ""
	}
	// A writer that doesn't support read deadlines keeps those of its connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
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
