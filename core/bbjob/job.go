// Package bbjob has the messages between the VM that holds a caller and the VM that
// coordinates the stages and engines: orders, grants, refusals and notes of progress.
package bbjob

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbsuspect"
)

// Order tells a coordinator what a request needs. Times are durations that are left when
// the order is sent, so that no clocks are compared.
type Order struct {
	// ID is the request's, unique for each attempt of a caller.
	ID string `json:"id"`
	// Origin is the VM that holds the caller's connection.
	Origin string `json:"origin"`
	// Route is the name of the request's route.
	Route string `json:"route"`
	// Service has the engines that may run the request.
	Service string `json:"service"`
	// Stages are numbered from 0; each needs only earlier ones.
	Stages []Stage `json:"stages"`
	// Key names the input of stages that need no results.
	Key string `json:"key"`
	// Prompt is what the engine reads.
	Prompt Prompt `json:"prompt"`
	// Priority is the rank; 0 is the most urgent.
	Priority int `json:"priority"`
	// Objective is the time left until the answer is late; it may be negative.
	Objective time.Duration `json:"objective"`
	// Elapsed is how long ago the caller asked first, as far as that is known; the objective
	// counts from then.
	Elapsed time.Duration `json:"elapsed"`
	// Limit is the time left until the caller gives up.
	Limit time.Duration `json:"limit"`
	// Zone and Region are those of the origin.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// BodyBytes is the size of the request's body, which goes from the origin to the engine.
	BodyBytes int `json:"bodyBytes"`
	// Regions are those in which the request may be served; empty means everywhere.
	Regions []string `json:"regions"`
	// Resumable requests may need their inputs again after their answer has begun.
	Resumable bool `json:"resumable"`
	// Made are results that a former coordinator had made for the request.
	Results []StageResult `json:"made"`
	// Avoid are endpoints at which an earlier try of this request ended.
	Avoid []string `json:"avoid"`
	// Repeat is true when the request was offered to an engine before.
	Repeat bool `json:"repeat"`
	// Spilled is true when the coordinator of another cell named this one; it isn't sent on.
	Spilled bool `json:"spilled"`
	// Fingerprint is a hash of what the caller asks, the same for each of its attempts; 0 if it
	// isn't known. It tells contents that crash endpoints.
	Fingerprint uint64 `json:"fingerprint"`
	// Suspicion is how the origin would treat that content.
	Suspicion bbsuspect.Verdict `json:"suspicion"`
	// InputsGone is true when that engine found that some of its inputs no longer exist.
	InputsGone bool `json:"inputsGone"`
}

const (
	// MaxStages bounds the stages of an order: many times the 4 of the users' sheets.
	MaxStages = 64
	// MaxPieces bounds the pieces of a stage: many times the 25 of the users' sheets.
	MaxPieces = 1000
	// MaxTokens bounds a prompt and an answer, each: a hundred times the memory of an engine.
	MaxTokens = 1 << 25
)

// Check returns an error if an order can't be worked on, whatever the endpoints.
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
				return errors.Newf("stage %d needs the results of stage %d, which is none", i, before)
			}
		}
	}
	for _, m := range o.Results {
		if m.Stage < 0 || m.Piece < 0 {
			return errors.Newf("result of stage %d, piece %d", m.Stage, m.Piece)
		}
	}
	if o.Suspicion > bbsuspect.Refused {
		return errors.Newf("suspicion is %d, more than %d", o.Suspicion, bbsuspect.Refused)
	}
	for _, n := range []int{o.Prompt.Tokens, o.Prompt.Output} {
		if n < 0 || n > MaxTokens {
			return errors.Newf("prompt or answer of %d tokens, not 0 to %d", n, MaxTokens)
		}
	}
	return nil
}

// Allowed returns the test for failure domains in which the request may be served. Region
// returns the region of a failure domain.
func (o Order) Allowed(region func(zone string) string) func(zone string) bool {
	return func(zone string) bool {
		return len(o.Regions) == 0 || slices.Contains(o.Regions, region(zone))
	}
}

// Content returns a number for what a request asks, the same for each attempt of its caller.
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

// Stage is the work of one stage of a request.
type Stage struct {
	Service string `json:"service"`
	// After are the numbers of the stages whose results each piece needs.
	After []int `json:"after"`
	// ResultBytes is the approximate size of one result.
	ResultBytes float64 `json:"resultBytes"`
	// Pieces is the number of results to be made; 0 leaves the stage out.
	Pieces int `json:"pieces"`
}

// Made is the result of one piece of a stage.
type StageResult struct {
	Stage int `json:"stage"`
	Piece int `json:"piece"`
	// Handle names the result.
	Handle string `json:"handle"`
	// Maker, Address and Zone are those of the endpoint that keeps it.
	Producer string `json:"maker"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	// Freed is true once the result was given up because its readers had it.
	Freed bool `json:"freed"`
}

// Prompt is what an engine reads and makes.
type Prompt struct {
	Model string `json:"model"`
	// Tokens is the whole length of the prompt.
	Tokens int `json:"tokens"`
	// Output is the most tokens that are made.
	Output int `json:"output"`
	// Parts are the prompt's shared parts in order, the request's own at the end.
	Parts []Part `json:"parts"`
}

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Grant allows the origin to send the request to an engine, once.
type Grant struct {
	ID string `json:"id"`
	// Endpoint is the engine's ID.
	Endpoint string `json:"endpoint"`
	// Address is where the coordinator knows the engine.
	Address string `json:"address"`
	// Inputs are the handles of the results that the engine needs.
	Inputs []string `json:"inputs"`
}

// Refusal says that the request has not run. The origin tells the caller.
type Refusal struct {
	ID string `json:"id"`
	// Reason is a word for logs and metrics.
	Reason string `json:"reason"`
	// RetryAfter is when there should be room.
	RetryAfter time.Duration `json:"retryAfter"`
	// Expected is the time that the answer would have taken, as the coordinator saw it.
	Expected time.Duration `json:"expected"`
}

// Verdict is the answer to an order; one of the three is set.
type Verdict struct {
	Grant   *Grant   `json:"grant"`
	Refusal *Refusal `json:"refusal"`
	// Elsewhere is true when the order should go to another coordinator: the one named by Cell,
	// or the next one because this one is leaving.
	Elsewhere bool `json:"elsewhere"`
	// Cell is the name of the VM that coordinates another cell; empty if there is none.
	Cell string `json:"cell"`
}

// Update is what an origin hears of its order: results that were made, and at the end the
// verdict.
type Update struct {
	Results []StageResult `json:"made"`
	// Freed are the numbers of the stages whose results were given up.
	Freed   []int    `json:"freed"`
	Verdict *Verdict `json:"verdict"`
}

// Note tells a coordinator how a granted request goes on.
type Note struct {
	ID string `json:"id"`
	// Endpoint is the one that the note is about.
	Endpoint string `json:"endpoint"`
	// Started is true when the first part of the answer has arrived.
	Started bool `json:"started"`
	// Ended is true when nothing more will come of this try.
	Ended bool `json:"ended"`
	// Again is true when the origin will ask for another engine.
	Again bool `json:"again"`
	// Outcome tells how the try ended, if it did.
	Outcome bbhealth.Outcome `json:"outcome"`
}

// Apply brings the results that an origin knows of up to date.
func (u Update) Apply(made []StageResult) []StageResult {
	made = append(made, u.Results...)
	for _, stage := range u.Freed {
		for i := range made {
			if made[i].Stage == stage {
				made[i].Freed = true
			}
		}
	}
	return made
}
