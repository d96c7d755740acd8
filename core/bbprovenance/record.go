// Package bbprovenance decides what a VM knows of who began a stream: the service, and the version of its endpoints'
// software that wrote the stream's first event. A stream may go on only there.
package bbprovenance

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// RecordTTL is how long a record is kept after the stream began. It has to exceed the time that a caller may
	// take over all attempts of a request; streams that are taken up later are refused.
	RecordTTL = 60 * time.Second
	// maxNameBytes bounds the names of services and versions in records.
	maxNameBytes = 200
)

// Record states which version of a service began a stream. The fields are encoded under numbers, since a record is
// sent for each stream.
type Record struct {
	// Attempt is the hash of the ID of the caller's attempt that brought the first event, see bbhash.Name.
	Attempt uint64 `cbor:"1,keyasint"`
	// Service and Version are those of the endpoint that wrote the first event.
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// AgeMillis is how long ago the stream began when the record was sent, in milliseconds. Earlier builds neither send
	// nor read it.
	AgeMillis int64 `cbor:"4,keyasint,omitempty"`
}

// SameOrigin reports whether two records state the same service and version.
func (r Record) SameOrigin(other Record) bool {
	return r.Service == other.Service && r.Version == other.Version
}

// Check returns an error if a record is incomplete or has a name that is too long.
func (r Record) Check() error {
	if r.Service == "" || r.Version == "" {
		return errors.New("record of a stream without a service or a version")
	}
	if len(r.Service) > maxNameBytes || len(r.Version) > maxNameBytes {
		return errors.Newf("record of a stream with a name of more than %d bytes", maxNameBytes)
	}
	if r.AgeMillis < 0 {
		return errors.New("record of a stream that has not begun yet")
	}
	return nil
}
