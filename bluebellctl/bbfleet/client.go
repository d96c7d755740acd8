// Package bbfleet queries the status and the events of all entry VMs over HTTP, merges
// them, and checks the statuses for problems.
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
	// maxParallel is the number of entry VMs that are queried at once.
	maxParallel = 16
	// maxBodyBytes is the maximum size of one answer; what is longer is cut off, so that it
	// can't be decoded.
	maxBodyBytes = 64 << 20
)

// Answer is the result of querying one entry VM for its status.
type Answer struct {
	// Address is the host:port that was asked.
	Address string `json:"address"`
	// Status is nil if there was no valid answer; Error is the reason then.
	Status *bbmsg.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// Statuses queries the status of the entry VM at each address. The answers are in the order
// of the addresses.
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

// forEachAddress calls a function for each address, up to maxParallel at once, and waits for all.
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

// getJSON decodes the JSON answer to a GET request into value.
func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
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
