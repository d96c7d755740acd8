// Package bbcatalog holds the operators' configuration of routes, services and client
// accounts, with the lookups that requests need. A catalog never changes once it is made;
// a newer version replaces it whole.
package bbcatalog

import "time"

// Kind tells how often a request may run.
type Kind int

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindOnce requests run at most once.
	KindOnce
	// KindStream requests answer with events and run at most once unless they are resumable.
	KindStream
)

// Catalog is one version of the configuration.
type Catalog struct {
	// Version grows with every change.
	Version uint64 `json:"version"`
	// Routes are in the order of the operators' text.
	Routes []Route `json:"routes"`
	// Services has one entry for each name.
	Services []Service `json:"services"`
	// Accounts may be empty, in which case no request needs a key.
	Accounts []Account `json:"accounts"`
	// Limits bound what callers may send.
	Limits Limits `json:"limits"`
}

// Route tells which requests go where and how.
type Route struct {
	// Name is unique in a catalog.
	Name string `json:"name"`
	// Host is the host name of the requests, without a port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Kind tells how often a request may run.
	Kind Kind `json:"kind"`
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer is on time; for streams the first event.
	Objective time.Duration `json:"objective"`
	// Pause is the longest pause between events of a stream that is on time.
	Pause time.Duration `json:"pause"`
	// Priority is the rank; 0 is the most urgent.
	Priority int `json:"priority"`
	// Shares has at least one service; the weights add up to more than 0.
	Shares []Share `json:"shares"`
	// MaxAttempts bounds the endpoints on which one request may run; at least 1.
	MaxAttempts int `json:"maxAttempts"`
	// Stages come before the request itself, numbered from 0. Each names only earlier ones.
	Stages []Stage `json:"stages"`
	// Anonymous requests need no key.
	Anonymous bool `json:"anonymous"`
	// Engine is true when the service generates tokens from a prompt.
	Engine bool `json:"engine"`
	// Resumable streams may go on at another endpoint.
	Resumable bool `json:"resumable"`
	// Regions are those in which requests may be served; empty means everywhere.
	Regions []string `json:"regions"`
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stage is work that is done before a request runs.
type Stage struct {
	// Service makes the results of the stage.
	Service string `json:"service"`
	// After are the numbers of the stages whose results the stage needs.
	After []int `json:"after"`
	// ResultBytes is the approximate size of one result.
	ResultBytes float64 `json:"resultBytes"`
}

// Service is a group of endpoints that do the same.
type Service struct {
	// Name is unique in a catalog.
	Name string `json:"name"`
	// HealthPath answers health checks.
	HealthPath string `json:"healthPath"`
	// MaxConnections is what one endpoint accepts from all callers together.
	MaxConnections int `json:"maxConnections"`
	// ColdRate is what a cold endpoint carries from all VMs together; 0 means no limit.
	ColdRate float64 `json:"coldRate"`
	// Engine is set for services that generate tokens.
	Engine *Engine `json:"engine"`
	// Pool is set for services that work on stages.
	Pool *Pool `json:"pool"`
}

// Engine is the capacity of one endpoint that generates tokens.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// Tokens is the memory for running requests and kept prompts, in tokens.
	Tokens float64 `json:"tokens"`
}

// Pool is the capacity of one endpoint that works on stages.
type Pool struct {
	// Slots is the number of calls that are worked on at once.
	Slots int `json:"slots"`
	// Queue is the number of calls that may wait.
	Queue int `json:"queue"`
	// Batch is the most pieces of one call.
	Batch int `json:"batch"`
	// CallTime is the fixed part of a call's time.
	CallTime time.Duration `json:"callTime"`
	// PieceTime is what each piece adds, approximately.
	PieceTime time.Duration `json:"pieceTime"`
	// RoomBytes is the memory for results.
	ResultMemoryBytes float64 `json:"roomBytes"`
	// ResultLife is the time after a call for which its results are kept.
	ResultTTL time.Duration `json:"resultLife"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Keys name the account in requests.
	Keys []string `json:"keys"`
	// Priority goes before that of the route if it is set.
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
