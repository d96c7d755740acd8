// Package bbdeployment defines the deployment that soak tests run: its services, routes and failure domains.
package bbdeployment

import (
	"fmt"
	"time"

	"bluebellhall/core/bbcatalog"
)

// The services of a soak test.
const (
	PlainService  = "lookup"
	FirstStage    = "portal"
	SecondStage   = "board"
	EngineService = "llm"
)

// Host is the host name of all routes.
const Host = "soak.example"

// AccountKey is the key with which callers authenticate as the client account AccountName.
const (
	AccountKey  = "key-of-acme"
	AccountName = "acme"
)

// ColdRate is the rate that a cold engine can take, in requests per second.
const ColdRate = 9.4

// Zones are the failure domains, each in a region of its own.
var Zones = []string{"east", "west", "south"}

// Services returns all services. Calls of stages take only milliseconds, so that a short soak test makes many.
func Services() []bbcatalog.Service {
	pool := func(name string, batch int, resultMemory float64) bbcatalog.Service {
		return bbcatalog.Service{
			Name:           name,
			MaxConnections: 300,
			Pool: &bbcatalog.Pool{
				Slots:             1,
				Queue:             2,
				Batch:             batch,
				CallTime:          60 * time.Millisecond,
				PieceTime:         5 * time.Millisecond,
				ResultMemoryBytes: resultMemory,
				ResultTTL:         4 * time.Second,
			},
		}
	}
	return []bbcatalog.Service{
		{
			Name:           PlainService,
			MaxConnections: 300,
		},
		pool(FirstStage, 8, 18e6),
		pool(SecondStage, 16, 1e6),
		{
			Name:           EngineService,
			MaxConnections: 300,
			ColdRate:       ColdRate,
			Engine: &bbcatalog.Engine{
				Slots:  96,
				Tokens: 250e3,
			},
		},
	}
}

// Routes returns the routes that are part of every version of the configuration.
func Routes() []bbcatalog.Route {
	plain := func(name string, kind bbcatalog.Kind, attempts int) bbcatalog.Route {
		return bbcatalog.Route{
			Name:        name,
			Host:        Host,
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Timeout:     1500 * time.Millisecond,
			Objective:   300 * time.Millisecond,
			Priority:    1,
			Shares:      []bbcatalog.Share{{Service: PlainService, Weight: 1}},
			MaxAttempts: attempts,
		}
	}
	chat := func(name string, resumable bool, attempts int) bbcatalog.Route {
		return bbcatalog.Route{
			Name:        name,
			Host:        Host,
			Prefix:      "/" + name + "/",
			Kind:        bbcatalog.KindStream,
			Timeout:     6 * time.Second,
			Objective:   1500 * time.Millisecond,
			Pause:       300 * time.Millisecond,
			Shares:      []bbcatalog.Share{{Service: EngineService, Weight: 1}},
			MaxAttempts: attempts,
			Engine:      true,
			Resumable:   resumable,
			Stages: []bbcatalog.Stage{
				{Service: FirstStage, ResultBytes: 1.5e6},
				{Service: FirstStage, ResultBytes: 8e3},
				{Service: SecondStage, After: []int{1}, ResultBytes: 6e3},
			},
		}
	}
	return []bbcatalog.Route{
		plain("read", bbcatalog.KindIdempotent, 2),
		plain("once", bbcatalog.KindOnce, 2),
		chat("chat", true, 2),
		chat("draft", false, 1),
	}
}

// LongRoute returns a route with resumable streams that may last longer than a VM runs after it was asked to stop. It is
// part of every version of the configuration, but not of Routes.
func LongRoute() bbcatalog.Route {
	r := Routes()[2]
	r.Name = "story"
	r.Prefix = "/story/"
	r.Timeout = 20 * time.Second
	r.Pause = 600 * time.Millisecond
	return r
}

// ProbePrefix returns the path prefix of the route that a version of the configuration adds.
func ProbePrefix(version uint64) string {
	return fmt.Sprintf("/v%d/", version)
}

// Catalog returns a version of the configuration. Each version adds a probe route to those of the
// previous one.
func Catalog(version uint64) bbcatalog.Catalog {
	c := bbcatalog.Catalog{
		Version:  version,
		Routes:   append(Routes(), LongRoute()),
		Services: Services(),
		Accounts: []bbcatalog.Account{
			{
				Name: AccountName,
				Keys: []string{AccountKey},
			},
		},
		Limits: bbcatalog.Limits{
			HeaderBytes: 16 << 10,
			BodyBytes:   1 << 20,
		},
	}
	for v := range version {
		probe := c.Routes[0]
		probe.Name = fmt.Sprint("probe", v+1)
		probe.Prefix = ProbePrefix(v + 1)
		probe.Anonymous = true
		c.Routes = append(c.Routes, probe)
	}
	return c
}
