// Package bbcatalog holds the operators' configuration of routes, services and client accounts, with the
// lookups that requests need. A catalog is immutable; a newer version replaces it as a whole.
package bbcatalog

import "time"

// Kind says how often a request may run.
type Kind int

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindOnce requests run at most once.
	KindOnce
	// KindStream requests are answered with events and run at most once unless they are resumable.
	KindStream
)

// Catalog is one version of the configuration.
type Catalog struct {
	// Version grows with every change.
	Version uint64 `json:"version"`
	// Routes are in the order of the configuration.
	Routes []Route `json:"routes"`
	// Services has one entry for each name.
	Services []Service `json:"services"`
	// Accounts may be empty, in which case no request needs a key.
	Accounts []Account `json:"accounts"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits"`
}

// Route says which requests go to which services, and how they are handled.
type Route struct {
	// Name is unique in a catalog.
	Name string `json:"name"`
	// Host is the host name of the requests, without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Kind says how often a request may run.
	Kind Kind `json:"kind"`
	// Timeout is the longest time that a caller may have to wait.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer is on time; for streams it applies to the first event.
	Objective time.Duration `json:"objective"`
	// Pause is the longest pause between events of a stream that is on time.
	Pause time.Duration `json:"pause"`
	// Priority is the priority class; 0 is the most urgent.
	Priority int `json:"priority"`
	// Shares has at least one service; the weights sum up to more than 0.
	Shares []Share `json:"shares"`
	// MaxAttempts bounds the endpoints on which one request may run; at least 1.
	MaxAttempts int `json:"maxAttempts"`
	// Stages run before the request itself, numbered from 0. Each depends only on earlier ones.
	Stages []Stage `json:"stages"`
	// Anonymous requests need no key.
	Anonymous bool `json:"anonymous"`
	// Engine is true when the service generates tokens from a prompt.
	Engine bool `json:"engine"`
	// Resumable streams may continue on another endpoint.
	Resumable bool `json:"resumable"`
	// Regions are those in which requests may be served; empty means everywhere.
	Regions []string `json:"regions"`
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stage is work that is done before the request itself runs.
type Stage struct {
	// Service computes the results of the stage.
	Service string `json:"service"`
	// After has the numbers of the stages whose results are inputs of this one.
	After []int `json:"after"`
	// ResultBytes is the approximate size of one result.
	ResultBytes float64 `json:"resultBytes"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is unique in a catalog.
	Name string `json:"name"`
	// HealthPath is the path of the health check.
	HealthPath string `json:"healthPath"`
	// MaxConnections is the number of connections that one endpoint accepts from all callers together.
	MaxConnections int `json:"maxConnections"`
	// ColdRate is the rate of requests per second that a cold endpoint can take from all VMs together; 0
	// means no limit.
	ColdRate float64 `json:"coldRate"`
	// Engine is set for services that generate tokens, Pool for services that run stages.
	Engine *Engine `json:"engine"`
	Pool   *Pool   `json:"pool"`
}

// Engine is the capacity of one endpoint that generates tokens.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// Tokens is the memory for running requests and cached prompts, in tokens.
	Tokens float64 `json:"tokens"`
}

// Pool is the capacity of one endpoint that runs stages.
type Pool struct {
	// Slots is the number of calls that run at once.
	Slots int `json:"slots"`
	// Queue is the number of calls that may be queued.
	Queue int `json:"queue"`
	// Batch is the maximum number of pieces in a call.
	Batch int `json:"batch"`
	// CallTime is the fixed part of a call's time.
	CallTime time.Duration `json:"callTime"`
	// PieceTime is the approximate time that each piece adds.
	PieceTime time.Duration `json:"pieceTime"`
	// ResultMemoryBytes is the memory for results.
	ResultMemoryBytes float64 `json:"roomBytes"`
	// ResultTTL is how long after a call its results are kept.
	ResultTTL time.Duration `json:"resultLife"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Keys identify the account in requests.
	Keys []string `json:"keys"`
	// Priority overrides that of the route if it is set.
	Priority *int `json:"priority"`
	// Regions are those in which its requests may be served; empty means everywhere.
	Regions []string `json:"regions"`
}

// Limits bound what callers may send; 0 means no limit.
type Limits struct {
	HeaderBytes int           `json:"headerBytes"`
	BodyBytes   int64         `json:"bodyBytes"`
	HeaderTime  time.Duration `json:"headerTime"`
	IdleTime    time.Duration `json:"idleTime"`
}
