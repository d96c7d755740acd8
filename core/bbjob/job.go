// Package bbjob defines the messages between the VM that holds a caller's connection and the VM that
// coordinates stages and engines: orders, grants, refusals and progress notes.
package bbjob

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbsuspect"
)

// Order describes to a coordinator what a request needs. Times are remaining durations at the time
// of sending, so that the clocks of two VMs are never compared.
type Order struct {
	// ID is the ID of the request, unique for each attempt of a caller.
	ID string `json:"id"`
	// Origin is the VM that holds the caller's connection.
	Origin string `json:"origin"`
	// Route is the name of the route of the request.
	Route string `json:"route"`
	// Service is the service whose engines may run the request.
	Service string `json:"service"`
	// Version is the version of the software that the engine must have to go on with a stream; empty allows any.
	// Builds without versions ignore it.
	Version string `json:"version,omitempty"`
	// Account is the name of the client account; empty if there is none.
	Account string `json:"account,omitempty"`
	// Stages are numbered from 0; each depends only on stages with lower numbers.
	Stages []Stage `json:"stages"`
	// Key identifies the input of stages that depend on no other stage.
	Key string `json:"key"`
	// Prompt describes the input and the output of the engine.
	Prompt Prompt `json:"prompt"`
	// Priority is the priority class; 0 is the most urgent.
	Priority int `json:"priority"`
	// Objective is the time left to the latency objective of the answer; it may be negative.
	Objective time.Duration `json:"objective"`
	// Elapsed is the estimated time since the caller's first attempt; the objective counts from
	// that attempt.
	Elapsed time.Duration `json:"elapsed"`
	// Limit is the time left until the caller times out.
	Limit time.Duration `json:"limit"`
	// Zone and Region are those of the origin.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// BodyBytes is the size of the request's body, which goes from the origin to the engine.
	BodyBytes int `json:"bodyBytes"`
	// Regions are those in which the request may be served; empty allows all. CatalogVersion is the version of the
	// configuration that says so; 0 in orders of builds that don't state it.
	Regions        []string `json:"regions"`
	CatalogVersion uint64   `json:"catalogVersion,omitempty"`
	// Resumable requests may need their inputs again after their answer has begun, when the
	// stream continues on another engine.
	Resumable bool `json:"resumable"`
	// Results are stage results that an earlier coordinator obtained for the request.
	Results []StageResult `json:"made"`
	// Avoid are endpoints at which an earlier attempt of this request failed.
	Avoid []string `json:"avoid"`
	// Repeat is true when the request was offered to an engine before.
	Repeat bool `json:"repeat"`
	// Spilled is true if the coordinator of another cell redirected the order to this one; it isn't
	// redirected again.
	Spilled bool `json:"spilled"`
	// Fingerprint is a hash of the content of the request, the same for each of its attempts; 0 if
	// unknown. It identifies content that crashes endpoints.
	Fingerprint uint64 `json:"fingerprint"`
	// Suspicion is the origin's verdict on that content.
	Suspicion bbsuspect.Verdict `json:"suspicion"`
	// InputsGone is true if the engine found that some of its inputs no longer exist.
	InputsGone bool `json:"inputsGone"`
}

const (
	// MaxStages bounds the stages of an order: many times the 4 of the deployment specifications.
	MaxStages = 64
	// MaxPieces bounds the pieces of a stage: many times the 25 of the deployment specifications.
	MaxPieces = 1000
	// MaxTokens bounds prompt and answer, each: a hundred times what fits into the memory of an engine.
	MaxTokens = 1 << 25
	// MaxVersionBytes bounds the length of a version.
	MaxVersionBytes = 200
)

// Check returns an error if an order is malformed, whatever endpoints exist.
func (o Order) Check() error {
	if len(o.Stages) > MaxStages {
		return errors.Newf("order has %d stages, more than %d", len(o.Stages), MaxStages)
	}
	for i, s := range o.Stages {
		if s.Pieces < 0 || s.Pieces > MaxPieces {
			return errors.Newf("stage %d has %d pieces, not 0 to %d", i, s.Pieces, MaxPieces)
		}
		for _, before := range s.After {
			if before < 0 || before >= len(o.Stages) || before == i {
				return errors.Newf("stage %d depends on stage %d, which is itself or not in the order", i, before)
			}
		}
	}
	for _, m := range o.Results {
		if m.Stage < 0 || m.Piece < 0 {
			return errors.Newf("result has stage %d and piece %d, want both at least 0", m.Stage, m.Piece)
		}
	}
	if o.Suspicion > bbsuspect.Refused {
		return errors.Newf("suspicion is %d, more than %d", o.Suspicion, bbsuspect.Refused)
	}
	if len(o.Version) > MaxVersionBytes {
		return errors.Newf("version has %d bytes, more than %d", len(o.Version), MaxVersionBytes)
	}
	for _, n := range []int{o.Prompt.Tokens, o.Prompt.Output} {
		if n < 0 || n > MaxTokens {
			return errors.Newf("prompt or answer of %d tokens, not 0 to %d", n, MaxTokens)
		}
	}
	return nil
}

// Content returns a hash of the content of a request, the same for each attempt of its caller.
func (o Order) Content() uint64 {
	var b strings.Builder
	b.WriteString(o.Route)
	b.WriteByte(0)
	b.WriteString(o.Key)
	for _, n := range []int{o.Prompt.Tokens, o.Prompt.Output} {
		b.WriteByte(0)
		b.WriteString(strconv.Itoa(n))
	}
	for _, p := range o.Prompt.Parts {
		b.WriteByte(0)
		b.WriteString(p.ID)
	}
	return bbhash.Name(b.String())
}

// Stage describes one stage of a request.
type Stage struct {
	Service string `json:"service"`
	// After are the numbers of the stages whose results each piece needs.
	After []int `json:"after"`
	// ResultBytes is the approximate size of one result.
	ResultBytes float64 `json:"resultBytes"`
	// Pieces is the number of results to compute; 0 skips the stage.
	Pieces int `json:"pieces"`
}

// Stages returns the stages of a request on a route, each with its number of pieces; those that the request doesn't
// name have one.
func Stages(r *bbcatalog.Route, pieces []int) []Stage {
	var stages []Stage
	for i, s := range r.Stages {
		count := 1
		if i < len(pieces) {
			count = pieces[i]
		}
		stages = append(stages, Stage{
			Service:     s.Service,
			After:       s.After,
			ResultBytes: s.ResultBytes,
			Pieces:      count,
		})
	}
	return stages
}

// StageResult is the result of one piece of a stage.
type StageResult struct {
	Stage int `json:"stage"`
	Piece int `json:"piece"`
	// Handle identifies the result at its producer.
	Handle string `json:"handle"`
	// Producer, Address and Zone are those of the endpoint that stores the result.
	Producer string `json:"maker"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// Freed is true once the result was released because all its consumers had fetched it.
	Freed bool `json:"freed"`
}

// Prompt describes the input of an engine and the length of its output.
type Prompt struct {
	Model string `json:"model"`
	// Tokens is the total length of the prompt.
	Tokens int `json:"tokens"`
	// Output is the maximum number of generated tokens.
	Output int `json:"output"`
	// Parts are the shared parts of the prompt in order, followed by the request's own part.
	Parts []Part `json:"parts"`
}

// Prefix returns the number of tokens in the first parts of the prompt.
func (p Prompt) Prefix(parts int) float64 {
	tokens := 0
	for _, part := range p.Parts[:parts] {
		tokens += part.Tokens
	}
	return float64(min(tokens, p.Tokens))
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Grant allows the origin to send the request to an engine, once.
type Grant struct {
	ID string `json:"id"`
	// Endpoint is the engine's ID.
	Endpoint string `json:"endpoint"`
	// Address is the address at which the coordinator knows the engine.
	Address string `json:"address"`
	// Version is the version of the engine's software as the coordinator knows it; empty if unknown.
	Version string `json:"version,omitempty"`
	// Inputs are the handles of the results that the engine needs.
	Inputs []string `json:"inputs"`
	// CatalogVersion is the version of the configuration that allows the engine's region; 0 in grants of builds that don't
	// state it.
	CatalogVersion uint64 `json:"catalogVersion,omitempty"`
	// Paced is true if the grant was counted against a limit that the engine has named.
	Paced bool `json:"paced,omitempty"`
	// ValidFor is how long after it was made the grant may be used; 0 if the coordinator states no end.
	ValidFor time.Duration `json:"validFor,omitempty"`
	// Waited is the time from the order's arrival at the coordinator to the grant, on the coordinator's clock.
	Waited time.Duration `json:"waited,omitempty"`
	// GrantedAt is the earliest time on the origin's clock at which the grant can have been made: the sending of
	// the order plus Waited. The origin sets it.
	GrantedAt time.Duration `json:"-"`
}

// HoldsAt reports whether the origin may use the grant. The age that it judges by includes all of the time that the order
// and the grant were in transit, so that it is never too low.
func (g Grant) HoldsAt(now time.Duration) bool {
	return g.ValidFor <= 0 || now-g.GrantedAt <= g.ValidFor
}

// Refusal says that the request has not run. The origin reports it to the caller.
type Refusal struct {
	ID string `json:"id"`
	// Reason is a one-word cause for logs and metrics.
	Reason string `json:"reason"`
	// RetryAfter is the estimated time until capacity is available.
	RetryAfter time.Duration `json:"retryAfter"`
	// Expected is the time until the answer as estimated by the coordinator.
	Expected time.Duration `json:"expected"`
}

// Verdict is the response to an order; exactly one of Grant, Refusal and Elsewhere is set.
type Verdict struct {
	Grant   *Grant   `json:"grant"`
	Refusal *Refusal `json:"refusal"`
	// Elsewhere is true if the order should go to another coordinator: the one named by Cell,
	// or the next one because this one is draining.
	Elsewhere bool `json:"elsewhere"`
	// Cell is the name of the VM that coordinates another cell; empty if the order stays in this cell.
	Cell string `json:"cell"`
	// SharedMachines is true if endpoints of the deployment have reported the speed of their machines, which
	// turns on the parts with [bbfeature.ModeAuto] at the origin.
	SharedMachines bool `json:"sharedMachines,omitempty"`
}

// Update reports progress of an order to its origin: results that became available, and at the end
// the verdict.
type Update struct {
	Results []StageResult `json:"made"`
	// Freed are the numbers of the stages whose earlier results were released.
	Freed   []int    `json:"freed"`
	Verdict *Verdict `json:"verdict"`
}

// Note reports the progress of a granted request to its coordinator.
type Note struct {
	ID string `json:"id"`
	// Endpoint is the endpoint that the note refers to.
	Endpoint string `json:"endpoint"`
	// Started is true when the first part of the answer has arrived.
	Started bool `json:"started"`
	// Ended is true when this attempt has ended.
	Ended bool `json:"ended"`
	// Again is true if the origin will request another engine.
	Again bool `json:"again"`
	// Outcome is the outcome of the attempt, if it has ended.
	Outcome bbhealth.Outcome `json:"outcome"`
}

// Apply merges an update into the results that an origin knows.
func (u Update) Apply(results []StageResult) []StageResult {
	for i := range results {
		if slices.Contains(u.Freed, results[i].Stage) {
			results[i].Freed = true
		}
	}
	for _, r := range u.Results {
		same := func(k StageResult) bool { return k.Stage == r.Stage && k.Piece == r.Piece }
		if i := slices.IndexFunc(results, same); i >= 0 {
			results[i] = r
			continue
		}
		results = append(results, r)
	}
	return results
}
