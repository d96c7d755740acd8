// Package bbline parses the lines of rules texts into kind, name and keys, and the keys
// into values. It holds the tables of kinds and checks, and collects findings with their
// position.
package bbline

// Kind describes one kind of rule. The table of kinds in docs/RULES.md is generated
// from the entries.
type Kind struct {
	// Name is the first word of the line, unique among the kinds.
	Name string
	// Subject is what the word after the kind names; empty if no such word follows.
	Subject string
	// Choices lists the words of which exactly one has to follow the subject; empty if none.
	Choices []string
	// Keys lists the keys of the line.
	Keys []Key
	// MaxLines is the maximum number of lines of the kind in a text.
	MaxLines int
	// Text describes what the rule does.
	Text string
	// Example is a complete line.
	Example string
}

// Key describes one key of a rule line.
type Key struct {
	// Name is the word before the equals sign, unique in the kind.
	Name string
	// Form describes the valid values.
	Form string
	// Default is the value when the key is left out; empty if the key is required
	// or has no value in that case.
	Default string
	// Required is true when a line without the key is refused.
	Required bool
}

// Forms of values that are shared by several keys.
const (
	formYesNo    = "yes or no"
	formDuration = "a duration from 1ms to 1h, such as 2s"
	formSlots    = "a number from 1 to 100000"
)

// Kinds lists every kind of rule.
var Kinds = []Kind{
	{
		Name:    "domain",
		Subject: "failure domain",
		Keys: []Key{
			{Name: "region", Form: "a name", Required: true},
		},
		MaxLines: 64,
		Text:     "Declares a failure domain and the region that it lies in.",
		Example:  "domain khovd region=west # Bat, operations",
	},
	{
		Name:    "service",
		Subject: "service",
		Keys: []Key{
			{Name: "kind", Form: "engine, pool or plain", Required: true},
			{Name: "reports", Form: formYesNo, Default: "no"},
		},
		MaxLines: 256,
		Text:     "Declares a set of endpoints that do the same work; reports=yes when they publish their load.",
		Example:  "service portal kind=plain reports=yes # Saraa, buyers",
	},
	{
		Name:    "call",
		Subject: "service/path",
		Choices: []string{"idempotent", "once"},
		Keys: []Key{
			{Name: "deadline", Form: formDuration, Default: "10s"},
		},
		MaxLines: 4096,
		Text:     "Declares a call of a plain service; a call marked once runs at most once.",
		Example:  "call ledger/confirm once deadline=2s # Oyuna, cooperatives",
	},
	{
		Name:    "model",
		Subject: "model",
		Keys: []Key{
			{Name: "weight", Form: "a size from 1B to 100TB, such as 14GB", Required: true},
		},
		MaxLines: 256,
		Text:     "Declares a model that engines may load, with the size of its weights.",
		Example:  "model wool-7b weight=14GB # Bat, operations",
	},
	{
		Name:    "endpoint",
		Subject: "endpoint",
		Keys: []Key{
			{Name: "service", Form: "a service", Required: true},
			{Name: "model", Form: "a model, for engines only"},
			{Name: "address", Form: "IP:port", Required: true},
			{Name: "domain", Form: "a failure domain", Required: true},
			{Name: "warm", Form: formSlots, Default: "8"},
			{Name: "cold", Form: formSlots + ", at most warm", Default: "1"},
			{Name: "fencing", Form: formYesNo, Default: "no"},
		},
		MaxLines: 8192,
		Text:     "Declares an endpoint: how many requests it gets at once when warm and when cold, and whether it refuses orders with an old fencing number.",
		Example:  "endpoint engine-1 service=generators model=wool-7b address=10.0.0.7:8000 domain=khovd warm=16 cold=1 fencing=yes # Bat",
	},
	{
		Name:    "pipeline",
		Subject: "pipeline",
		Keys: []Key{
			{Name: "stages", Form: "one to eight of service[/path][@model], separated by commas", Required: true},
			{Name: "deadline", Form: formDuration, Default: "6s"},
		},
		MaxLines: 256,
		Text:     "Declares a pipeline under one deadline. A pool's stage has a path, a plain service's a declared call, an engine's a model.",
		Example:  "pipeline quality stages=encoders/v1/embeddings,generators@wool-7b deadline=6s # Saraa, buyers",
	},
	{
		Name:    "account",
		Subject: "client account",
		Keys: []Key{
			{Name: "weight", Form: "a number from 1 to 1000000", Default: "1"},
			{Name: "priority", Form: "0 (highest) to 3", Default: "2"},
		},
		MaxLines: 65536,
		Text:     "Declares a client account with its weight in the fair queue and its priority.",
		Example:  "account altai-mills weight=4 priority=1 # Saraa, buyers",
	},
	{
		Name:     "out",
		Subject:  "failure domain",
		MaxLines: 64,
		Text:     "Takes a failure domain out of service: it gets no new work until the line is removed.",
		Example:  "out khovd # Bat: power work until Friday",
	},
	{
		Name: "limit",
		Keys: []Key{
			{Name: "body", Form: "a size from 1B to 64MB", Default: "1MB"},
			{Name: "answer", Form: "a duration from 1s to 10m", Default: "30s"},
		},
		MaxLines: 2,
		Text:     "Limits the size of a request's body, and how long callers may use the addresses that they were given.",
		Example:  "limit body=1MB answer=30s # Bat, operations",
	},
	{
		Name: "retry",
		Keys: []Key{
			{Name: "share", Form: "a percentage from 0% to 50%", Default: "10%"},
		},
		MaxLines: 1,
		Text:     "Limits the share of traffic that retries and hedges may add.",
		Example:  "retry share=10% # Bat, operations",
	},
	{
		Name: "cost",
		Keys: []Key{
			{Name: "crossRegion", Form: "a price per gigabyte from 0 to 1000000", Default: "0"},
		},
		MaxLines: 1,
		Text:     "Sets the price of traffic between regions, which the choice of endpoints takes into account.",
		Example:  "cost crossRegion=0.02 # Gerel, accounts office",
	},
	{
		Name: "store",
		Keys: []Key{
			{Name: "rate", Form: "a size per second from 1B to 100TB", Default: "1GB"},
		},
		MaxLines: 1,
		Text:     "Sets the transfer rate of the weight store, which limits how fast models are loaded.",
		Example:  "store rate=1GB # Bat, operations",
	},
}

// LookupKind returns the kind of a name, or nil.
func LookupKind(name string) *Kind {
	for i := range Kinds {
		if Kinds[i].Name == name {
			return &Kinds[i]
		}
	}
	return nil
}

// findKey returns the key of a name, or nil.
func (k *Kind) findKey(name string) *Key {
	for i := range k.Keys {
		if k.Keys[i].Name == name {
			return &k.Keys[i]
		}
	}
	return nil
}
