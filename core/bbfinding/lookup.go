package bbfinding

import (
	"bluebellhall/core/bbcatalog"
)

// Lookup is a catalog with the index of the first entry of each name, key, and pair of host and prefix.
type Lookup struct {
	Catalog                                          bbcatalog.Catalog
	FirstRoute, FirstService, FirstAccount, FirstKey map[string]int
	FirstAddress                                     map[Address]int
}

// Address is what selects a route.
type Address struct {
	Host, Prefix string
}

// AddressOf returns the address of a route.
func AddressOf(r bbcatalog.Route) Address {
	return Address{
		Host:   r.Host,
		Prefix: r.Prefix,
	}
}

// NewLookup returns the lookup of a catalog, which it keeps.
func NewLookup(c bbcatalog.Catalog) *Lookup {
	l := &Lookup{
		Catalog:      c,
		FirstRoute:   make(map[string]int),
		FirstService: make(map[string]int),
		FirstAccount: make(map[string]int),
		FirstKey:     make(map[string]int),
		FirstAddress: make(map[Address]int),
	}
	for i, r := range c.Routes {
		setFirst(l.FirstRoute, r.Name, i)
		setFirst(l.FirstAddress, AddressOf(r), i)
	}
	for i, s := range c.Services {
		setFirst(l.FirstService, s.Name, i)
	}
	for i, a := range c.Accounts {
		setFirst(l.FirstAccount, a.Name, i)
		for _, key := range a.Keys {
			setFirst(l.FirstKey, key, i)
		}
	}
	return l
}

func setFirst[K comparable](first map[K]int, key K, i int) {
	if _, ok := first[key]; !ok {
		first[key] = i
	}
}
