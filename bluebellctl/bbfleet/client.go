// Package bbfleet reads the status and the time line of all entry VMs over HTTP and
// puts them together.
package bbfleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"bluebellhall/core/bbmsg"
)

const (
	// maxParallel is how many entry VMs are asked at once.
	maxParallel = 16
	// maxBodyBytes bounds one answer.
	maxBodyBytes = 64 << 20
)

// Answer is what one entry VM said of itself.
type Answer struct {
	// Address is the host:port that was asked.
	Address string `json:"address"`
	// Status is nil if there was no valid answer; Error tells why.
	Status *bbmsg.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// Statuses asks every address for its status. The answers are in the order of the
// addresses.
func Statuses(ctx context.Context, client *http.Client, addresses []string) []Answer {
	answers := make([]Answer, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		answers[i].Address = address
		var s bbmsg.Status
		if err := getJSON(ctx, client, "http://"+address+"/v1/status", &s); err != nil {
			answers[i].Error = err.Error()
			return
		}
		answers[i].Status = &s
	})
	return answers
}

// each calls a function for every address, several at once.
func forEachAddress(addresses []string, call func(i int, address string)) {
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, address := range addresses {
		group.Go(func() error {
			call(i, address)
			return nil
		})
	}
	_ = group.Wait()
}

// get reads the JSON answer of a URL into value.
func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("answered %s", response.Status)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes))
	return errors.Wrap(decoder.Decode(value), "malformed answer")
}
