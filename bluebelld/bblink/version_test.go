package bblink

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// recode decodes an encoded message as another type.
func recode[T any](t *testing.T, message any) T {
	t.Helper()
	var decoded T
	data, err := codec{}.Marshal(message)
	if err == nil {
		err = codec{}.Unmarshal(data, &decoded)
	}
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// wantRecoded checks what a message is decoded as.
func wantRecoded[T any](t *testing.T, message any, want T) {
	t.Helper()
	if diff := cmp.Diff(want, recode[T](t, message)); diff != "" {
		t.Errorf("decoded message (-want +got):\n%s", diff)
	}
}

// Guards against VMs of different builds that can't read each other's orders, grants and endpoints during an update.
func TestVersionsBetweenBuilds(t *testing.T) {
	// formerMessage has a field that orders, grants and endpoints had before they had versions.
	type formerMessage struct {
		ID string `json:"id"`
	}
	former := formerMessage{
		ID: "a",
	}
	order := bbjob.Order{
		ID:      "a",
		Version: "v1",
	}
	grant := bbjob.Grant{
		ID:      "a",
		Version: "v1",
	}
	endpoint := bbregistry.Endpoint{
		ID:      "a",
		Version: "v1",
	}
	wantRecoded(t, order, order)
	wantRecoded(t, grant, grant)
	wantRecoded(t, endpoint, endpoint)
	wantRecoded(t, order, former)
	wantRecoded(t, grant, former)
	wantRecoded(t, endpoint, former)
	wantRecoded(t, former, bbjob.Order{ID: "a"})
	wantRecoded(t, former, bbjob.Grant{ID: "a"})
	wantRecoded(t, former, bbregistry.Endpoint{ID: "a"})
}
