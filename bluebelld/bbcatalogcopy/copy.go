// Package bbcatalogcopy copies a configuration from one VM to another in small compressed parts. A part that is lost costs
// only itself, whichever VM sends the next one, so that a copy progresses however slow a link is and however many VMs share
// it.
package bbcatalogcopy

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhash"
)

const (
	// PartBytes is the size of a part. A hundred VMs that fetch one over the same link of 10 Mbit/s have it within the
	// time limit of a call.
	PartBytes = 8 << 10
	// maxPacked and maxCatalog bound a configuration, compressed and not: many times the megabyte that the platform
	// publishes at most.
	maxPacked  = 8 << 20
	maxCatalog = 32 << 20
)

// Part is a part of a compressed configuration.
type Part struct {
	// Version is the version of the configuration.
	Version uint64 `json:"version"`
	// Sum is a hash of the whole compressed configuration, and Size its length in bytes: builds may encode the same
	// version in different ways.
	Sum  uint64 `json:"sum"`
	Size int    `json:"size"`
	// Offset is where Data begins in it.
	Offset int    `json:"offset"`
	Data   []byte `json:"data"`
}

// Sender has the compressed form of the configuration that was requested last.
type Sender struct {
	mu    sync.Mutex
	index *bbcatalog.Index
	data  []byte
	sum   uint64
}

// Part returns the part of a configuration that begins at an offset.
func (s *Sender) Part(x *bbcatalog.Index, offset int) (Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index != x {
		data, err := pack(x.Catalog)
		if err != nil {
			return Part{}, err
		}
		s.index, s.data, s.sum = x, data, bbhash.Content(data)
	}
	begin := min(max(0, offset), len(s.data))
	return Part{
		Version: x.Catalog.Version,
		Sum:     s.sum,
		Size:    len(s.data),
		Offset:  begin,
		Data:    s.data[begin:min(begin+PartBytes, len(s.data))],
	}, nil
}

// pack encodes and compresses a configuration.
func pack(c bbcatalog.Catalog) ([]byte, error) {
	var b bytes.Buffer
	// The only error is an invalid level.
	w, _ := flate.NewWriter(&b, flate.DefaultCompression)
	if err := cbor.NewEncoder(w).Encode(&c); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

// unpack is the reverse of pack.
func unpack(data []byte) (bbcatalog.Catalog, error) {
	var c bbcatalog.Catalog
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, maxCatalog+1))
	if err != nil {
		return c, errors.Wrap(err, "decompress configuration")
	}
	if len(text) > maxCatalog {
		return c, errors.Newf("configuration is longer than %d bytes", maxCatalog)
	}
	return c, errors.Wrap(cbor.Unmarshal(text, &c), "decode configuration")
}

// Receiver collects the parts of a configuration. It may be used concurrently.
type Receiver struct {
	mu sync.Mutex
	// first has the version, sum and size of the configuration that data is the beginning of.
	first Part
	data  []byte
}

// Offset returns where the next part begins that the receiver lacks.
func (r *Receiver) Offset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

// DropLater drops what has arrived of a configuration that is later than a version: no VM is known any more that has it.
func (r *Receiver) DropLater(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first.Version > version {
		r.first, r.data = Part{}, nil
	}
}

// Add adds a part. It returns the configuration once that is complete, and nil before. A part of an earlier version than
// that in progress is ignored; one of another configuration begins it anew, and so does the caller, at the offset that the
// receiver then lacks. An error means that the parts are no configuration; the next part begins anew.
func (r *Receiver) Add(p Part) (*bbcatalog.Catalog, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Size < 0 || p.Size > maxPacked || len(p.Data) > p.Size {
		return nil, errors.Newf("part of %d bytes of a configuration of %d", len(p.Data), p.Size)
	}
	if len(r.data) > 0 && p.Version < r.first.Version {
		return nil, nil
	}
	if p.Version != r.first.Version || p.Sum != r.first.Sum || p.Size != r.first.Size {
		r.first = Part{
			Version: p.Version,
			Sum:     p.Sum,
			Size:    p.Size,
		}
		r.data = nil
	}
	if p.Offset != len(r.data) {
		return nil, nil
	}
	r.data = append(r.data, p.Data...)
	if len(r.data) < r.first.Size {
		return nil, nil
	}
	data, first := r.data, r.first
	r.data, r.first = nil, Part{}
	if len(data) != first.Size || bbhash.Content(data) != first.Sum {
		return nil, errors.Newf("parts of configuration %d don't match its sum", first.Version)
	}
	c, err := unpack(data)
	if err != nil {
		return nil, err
	}
	return &c, nil
}
