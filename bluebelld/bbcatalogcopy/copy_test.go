package bbcatalogcopy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
)

// index returns a configuration whose copy takes several parts.
func index(version uint64) *bbcatalog.Index {
	c := bbcatalog.Catalog{
		Version: version,
	}
	luck := rand.New(rand.NewPCG(version, 1))
	for range 2000 {
		c.Routes = append(c.Routes, bbcatalog.Route{
			Name:    fmt.Sprintf("%x", luck.Uint64()),
			Regions: []string{"r"},
		})
	}
	return bbcatalog.NewIndex(c)
}

// part returns a part of a configuration.
func part(t *testing.T, x *bbcatalog.Index, offset int) Part {
	t.Helper()
	p, err := new(Sender).Part(x, offset)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// wantCopy fetches the missing parts of a configuration and checks the result and the number of parts.
func wantCopy(t *testing.T, r *Receiver, x *bbcatalog.Index, parts int) {
	t.Helper()
	for range parts - 1 {
		if c, err := r.Add(part(t, x, r.Offset())); c != nil || err != nil {
			t.Fatalf("the configuration is complete after %d of its bytes, error %v", r.Offset(), err)
		}
	}
	c, err := r.Add(part(t, x, r.Offset()))
	if err != nil || c == nil {
		t.Fatalf("configuration %v, error %v; want it to be complete", c, err)
	}
	if diff := cmp.Diff(x.Catalog, *c); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
}

// Guards against a copy that begins anew when a part is lost or another VM goes on, and against one that joins parts of
// two configurations.
func TestCopy(t *testing.T) {
	first, second := index(1), index(2)
	size := func(x *bbcatalog.Index) int { return (part(t, x, 0).Size + PartBytes - 1) / PartBytes }
	t.Run("whole", func(t *testing.T) {
		wantCopy(t, new(Receiver), first, size(first))
	})
	t.Run("a part that comes twice", func(t *testing.T) {
		r := new(Receiver)
		r.Add(part(t, first, 0))
		r.Add(part(t, first, 0))
		wantCopy(t, r, first, size(first)-1)
	})
	t.Run("a later configuration", func(t *testing.T) {
		r := new(Receiver)
		r.Add(part(t, first, 0))
		r.Add(part(t, second, r.Offset()))
		wantCopy(t, r, second, size(second))
	})
	t.Run("an earlier configuration of another VM", func(t *testing.T) {
		r := new(Receiver)
		r.Add(part(t, second, 0))
		r.Add(part(t, first, r.Offset()))
		wantCopy(t, r, second, size(second)-1)
	})
	t.Run("an earlier configuration, once no VM has the later one", func(t *testing.T) {
		r := new(Receiver)
		r.Add(part(t, second, 0))
		r.DropLater(2)
		if r.Offset() == 0 {
			t.Error("the configuration in progress was dropped, though VMs have it")
		}
		r.DropLater(1)
		wantCopy(t, r, first, size(first))
	})
	t.Run("another encoding of the same version", func(t *testing.T) {
		r := new(Receiver)
		other := part(t, first, 0)
		other.Sum++
		r.Add(other)
		r.Add(part(t, first, r.Offset()))
		wantCopy(t, r, first, size(first))
	})
}

// Parts of other VMs may hold anything: they take no more memory than the bounds allow and never end the process.
func FuzzAdd(f *testing.F) {
	good, err := new(Sender).Part(bbcatalog.NewIndex(bbcatalog.Catalog{Version: 3}), 0)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good.Version, good.Sum, good.Size, good.Offset, good.Data)
	f.Add(uint64(1), uint64(2), -1, 5, []byte("x"))
	f.Fuzz(func(t *testing.T, version, sum uint64, size, offset int, data []byte) {
		r := new(Receiver)
		for range 3 {
			c, err := r.Add(Part{
				Version: version,
				Sum:     sum,
				Size:    size,
				Offset:  offset,
				Data:    data,
			})
			if c != nil && err != nil {
				t.Errorf("a configuration and the error %v", err)
			}
			if n := r.Offset(); n > max(0, size) {
				t.Errorf("%d bytes of a configuration of %d are kept", n, size)
			}
		}
	})
}
