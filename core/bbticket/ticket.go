// Package bbticket creates and verifies request ids, which name the home of their request. An
// entry VM gives a caller a ticket, the text
//
//	b1.<home>.<incarnation>.<expiry>.<mac>
//
// with the incarnation in hexadecimal, the expiry in milliseconds of the home's
// monotonic clock and the message authentication code in base64url. The caller makes the id
// of each request by appending a dot and a nonce of its own. A node that receives a
// request takes the home from the verified id and can rely on it, because only nodes with
// the fleet's key can sign tickets.
//
// A request with a plain idempotency key has the id k1.<hash> instead, which the
// receiver derives from account and key.
package bbticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbhash"
)

const (
	ticketPrefix = "b1."
	keyPrefix    = "k1."
	// macBytes is the length of the authentication code, a truncated HMAC-SHA256.
	macBytes = 16
	// keyHashBytes is the length of the hash in a key id.
	keyHashBytes = 16
	// MaxNonce is the maximum length of a nonce in bytes.
	MaxNonce = 64
	// MaxHome is the maximum length of the name of a home in bytes.
	MaxHome = 128
	// ticketFields is the number of fields of a ticket after the prefix.
	ticketFields = 4
)

// The kinds of error returned by Split; test with errors.Is.
var (
	// ErrMalformed means that the text is not a request id.
	ErrMalformed = errors.New("malformed request id")
	// ErrForged means that the ticket's authentication code matches no key of the fleet.
	ErrForged = errors.New("ticket was not signed by this fleet")
)

// Ticket is the signed prefix of request ids and names their home.
type Ticket struct {
	// Home is the name of an entry VM: 1 to MaxHome of the characters A-Z a-z 0-9 . _ -.
	Home string
	// Incarnation is the random number that the home drew at its start.
	Incarnation uint64
	// ExpiryMillis is a time of that incarnation's monotonic clock, not negative.
	ExpiryMillis int64
}

// Keys signs and verifies tickets. During a key rotation both keys are accepted.
type Keys struct {
	// Current is used for signing and is accepted. It is not empty.
	Current []byte
	// Previous is accepted too; empty when no rotation is in progress.
	Previous []byte
}

// Sign returns the text of a ticket.
func (k Keys) Sign(t Ticket) string {
	payload := ticketPrefix + t.Home +
		"." + strconv.FormatUint(t.Incarnation, 16) +
		"." + strconv.FormatInt(t.ExpiryMillis, 10)
	return payload + "." + mac(k.Current, payload)
}

// Split verifies a request id and returns its ticket and its nonce. The error is
// ErrMalformed or ErrForged, with details.
func (k Keys) Split(id string) (Ticket, string, error) {
	payload, code, nonce, err := fields(id)
	if err != nil {
		return Ticket{}, "", err
	}
	ticket, err := parsePayload(payload)
	if err != nil {
		return Ticket{}, "", err
	}
	if !k.accepts(payload, code) {
		return Ticket{}, "", errors.Wrapf(ErrForged, "ticket of home %q", ticket.Home)
	}
	return ticket, nonce, nil
}

// accepts compares the code with that of each key in constant time.
func (k Keys) accepts(payload, code string) bool {
	current := subtle.ConstantTimeCompare([]byte(code), []byte(mac(k.Current, payload)))
	if len(k.Previous) == 0 {
		return current == 1
	}
	previous := subtle.ConstantTimeCompare([]byte(code), []byte(mac(k.Previous, payload)))
	return current|previous == 1
}

func mac(key []byte, payload string) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// fields splits an id into the signed part, the authentication code and the nonce.
func fields(id string) (payload, code, nonce string, err error) {
	if !strings.HasPrefix(id, ticketPrefix) {
		return "", "", "", errors.Wrapf(ErrMalformed, "it does not start with %q", ticketPrefix)
	}
	dot := strings.LastIndexByte(id, '.')
	ticket, nonce := id[:dot], id[dot+1:]
	if !isNonce(nonce) {
		return "", "", "", errors.Wrapf(ErrMalformed, "the nonce has to be 1 to %d of A-Z a-z 0-9 _ -", MaxNonce)
	}
	dot = strings.LastIndexByte(ticket, '.')
	if dot < len(ticketPrefix) {
		return "", "", "", errors.Wrapf(ErrMalformed, "a ticket has %d fields after %q", ticketFields, ticketPrefix)
	}
	return ticket[:dot], ticket[dot+1:], nonce, nil
}

// parsePayload parses the signed part from its end, because the name of a home may
// contain dots.
func parsePayload(payload string) (Ticket, error) {
	rest := payload[len(ticketPrefix):]
	rest, expiry, ok := cutLast(rest)
	home, incarnation, ok2 := cutLast(rest)
	if !ok || !ok2 {
		return Ticket{}, errors.Wrapf(ErrMalformed, "a ticket has %d fields after %q", ticketFields, ticketPrefix)
	}
	if !isHome(home) {
		return Ticket{}, errors.Wrapf(ErrMalformed, "the home has to be 1 to %d of A-Z a-z 0-9 . _ -", MaxHome)
	}
	number, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil || strconv.FormatUint(number, 16) != incarnation {
		return Ticket{}, errors.Wrap(ErrMalformed, "the incarnation has to be lower-case hexadecimal")
	}
	millis, err := strconv.ParseInt(expiry, 10, 64)
	if err != nil || millis < 0 || strconv.FormatInt(millis, 10) != expiry {
		return Ticket{}, errors.Wrap(ErrMalformed, "the expiry has to be milliseconds")
	}
	return Ticket{
		Home:         home,
		Incarnation:  number,
		ExpiryMillis: millis,
	}, nil
}

// cutLast splits a text at its last dot.
func cutLast(text string) (before, after string, ok bool) {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return "", "", false
	}
	return text[:dot], text[dot+1:], true
}

func isNonce(text string) bool {
	return len(text) >= 1 && len(text) <= MaxNonce && isWord(text, "_-")
}

func isHome(text string) bool {
	return len(text) >= 1 && len(text) <= MaxHome && isWord(text, "._-")
}

// isWord reports whether a text consists of ASCII letters, digits and the extra characters.
func isWord(text, extra string) bool {
	for i := range len(text) {
		c := text[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && strings.IndexByte(extra, c) < 0 {
			return false
		}
	}
	return true
}

// KeyID returns the request id of an account's plain idempotency key.
func KeyID(account, key string) string {
	h := sha256.New()
	// The length prefix makes the hashed text unambiguous, whatever account and key contain.
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(account))))
	h.Write([]byte(account))
	h.Write([]byte(key))
	return keyPrefix + hex.EncodeToString(h.Sum(nil)[:keyHashBytes])
}

// IsKeyID reports whether an id has the form of those returned by KeyID.
func IsKeyID(id string) bool {
	hash, ok := strings.CutPrefix(id, keyPrefix)
	if !ok || len(hash) != hex.EncodedLen(keyHashBytes) {
		return false
	}
	for i := range len(hash) {
		c := hash[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f') {
			return false
		}
	}
	return true
}

// KeyHome returns the home of a key id among the entry VMs that may be homes, and
// false when there are none. Every node with the same list of names gets the same home.
func KeyHome(id string, homes []string) (string, bool) {
	return bbhash.Pick(homes, id)
}

// Redact returns an id without its authentication code, for logs and the timeline. For a
// text that is not an id it returns the word malformed, so that its content is not logged.
func Redact(id string) string {
	if IsKeyID(id) {
		return id
	}
	payload, _, nonce, err := fields(id)
	if err != nil {
		return "malformed"
	}
	if _, err := parsePayload(payload); err != nil {
		return "malformed"
	}
	return payload + "." + nonce
}

// KeyPlacementName returns the name under which the home of a plain idempotency key is looked
// up among the owners, with an empty failure domain, so that nodes with the same list agree on
// it even when their rules differ. The prefix keeps keys apart from names of endpoints.
func KeyPlacementName(id string) string { return "key:" + id }
