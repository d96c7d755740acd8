// Package bblink carries messages between entry VMs over grpc-go: a stream of
// acknowledged batches for messages that must arrive once and in order, and a unary
// call for probes, which are never repeated.
package bblink

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// CodecName is the content subtype of the calls between entry VMs.
const CodecName = "cbor"

// codec encodes plain structs as CBOR. The field names are those of the json tags.
type codec struct{}

// Marshal encodes a message.
func (codec) Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode message")
}

// Unmarshal decodes a message. It ignores unknown fields, so that VMs of different versions
// can talk to each other.
func (codec) Unmarshal(data []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(data, v), "decode message")
}

// Name returns the content subtype.
func (codec) Name() string {
	return CodecName
}

// init registers the codec with grpc, once per process.
func init() {
	encoding.RegisterCodec(codec{})
}
