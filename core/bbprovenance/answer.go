package bbprovenance

import "time"

// Answer is what a VM answers to the question who began the stream of an attempt.
type Answer struct {
	// Record is set if Found is true.
	Record Record `cbor:"1,keyasint"`
	Found  bool   `cbor:"2,keyasint"`
	// Contradicted is true if the VM has records that contradict each other. Earlier builds answer that they have none.
	Contradicted bool `cbor:"3,keyasint,omitempty"`
	// RunningMillis is how long the VM's process has run, in milliseconds; 0 in answers of earlier builds. A process
	// that is younger than the stream has the record only if another VM sent it.
	RunningMillis int64 `cbor:"4,keyasint,omitempty"`
	// Sole is the version of the service in the question if the VM has listed no other one for RecordTTL; empty
	// otherwise. Any stream of the service that may be taken up began at it.
	Sole string `cbor:"5,keyasint,omitempty"`
}

// Running returns how long the VM's process has run, 0 if that is unknown.
func (a Answer) Running() time.Duration {
	return time.Duration(a.RunningMillis) * time.Millisecond
}
