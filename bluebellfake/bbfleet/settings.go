// Package bbfleet starts a fake platform and all endpoints of a rules text in one process,
// for tests, the demo and the command bluebellfake.
package bbfleet

import (
	"fmt"
	"net"
	"time"

	"bluebellhall/core/bbjson"
	"bluebellhall/core/bbrule"
)

// Settings configure the fake platform and endpoints.
type Settings struct {
	// Rules is the path of the rules file, relative to the settings file.
	Rules string `json:"rules"`
	// Platform configures the platform.
	Platform PlatformSettings `json:"platform"`
	// EntryVMs are added to the member list beside the endpoints.
	EntryVMs []EntryVM `json:"entryVMs"`
	// Endpoints configures the behaviour of all endpoints.
	Endpoints EndpointSettings `json:"endpoints"`
	// FreePorts starts all endpoints on free ports and publishes the rules with these ports.
	FreePorts bool `json:"freePorts,omitempty"`
	// Seed seeds the random number generators of the endpoints.
	Seed uint64 `json:"seed,omitempty"`
}

// PlatformSettings configure the platform.
type PlatformSettings struct {
	// Address is host:port on loopback; empty picks a free port.
	Address string `json:"address"`
	// CallsPerSecond is the quota, shared by all readers; 0 means the platform's default.
	CallsPerSecond int `json:"callsPerSecond,omitempty"`
	// MemberLagMillis is the delay until readers see a change of the member list.
	MemberLagMillis int64 `json:"memberLagMillis,omitempty"`
}

// EntryVM is an entry VM of the member list.
type EntryVM struct {
	// Name is unique among the members.
	Name string `json:"name"`
	// Address and PeerAddress are host:port for callers and for other entry VMs.
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	// Domain is a failure domain of the rules.
	Domain string `json:"domain"`
}

// EndpointSettings configure the behaviour of all endpoints; 0 means the default.
type EndpointSettings struct {
	// WarmAfter is the number of completions after which a cold endpoint is warm, WarmMillis
	// the time since process start after which it is.
	WarmAfter  int   `json:"warmAfter,omitempty"`
	WarmMillis int64 `json:"warmMillis,omitempty"`
	// StartWarm makes the endpoints warm from the start.
	StartWarm bool `json:"startWarm,omitempty"`
	// LoadingMillis is how long a started process rejects all requests.
	LoadingMillis int64 `json:"loadingMillis,omitempty"`
	// RestartMillis is how long connections are refused after a crash.
	RestartMillis int64 `json:"restartMillis,omitempty"`
	// ReportLagMillis and EventLagMillis are the delays of load reports and cache events.
	ReportLagMillis int64 `json:"reportLagMillis,omitempty"`
	EventLagMillis  int64 `json:"eventLagMillis,omitempty"`
	// BaseStepMicros is the fixed duration of an engine's decoding step, StreamStepMicros the
	// addition for each stream, and PrefillMicros the time to process a kilobyte of prompt.
	BaseStepMicros   int64 `json:"baseStepMicros,omitempty"`
	StreamStepMicros int64 `json:"streamStepMicros,omitempty"`
	PrefillMicros    int64 `json:"prefillMicros,omitempty"`
	// CacheBytes is the size of an engine's prefix cache.
	CacheBytes int `json:"cacheBytes,omitempty"`
	// ServiceMillis is the duration of one run of a pool or plain service.
	ServiceMillis int64 `json:"serviceMillis,omitempty"`
}

// Parse decodes settings. If data can't be decoded, it returns one finding.
func Parse(data []byte) (Settings, []bbjson.Finding) {
	var s Settings
	return s, bbjson.Decode(data, &s)
}

// checker collects findings and the names and addresses checked so far.
type checker struct {
	findings []bbjson.Finding
	// names and addresses map a name or address to the place where it is used.
	names     map[string]string
	addresses map[string]string
}

// Check returns all findings for settings used with a set of rules.
func Check(s Settings, rules *bbrule.RuleSet) []bbjson.Finding {
	c := &checker{
		names:     map[string]string{},
		addresses: map[string]string{},
	}
	for _, e := range rules.Endpoints {
		c.names[e.Name] = "the rules"
		if !s.FreePorts {
			c.addresses[e.Address] = "the rules"
			c.checkLoopback("rules", e.Address)
		}
	}
	if s.Platform.Address != "" {
		c.checkAddress("platform.address", s.Platform.Address)
	}
	c.checkCount("platform.callsPerSecond", int64(s.Platform.CallsPerSecond))
	c.checkCount("platform.memberLagMillis", s.Platform.MemberLagMillis)
	domains := map[string]bool{}
	for _, d := range rules.Domains {
		domains[d.Name] = true
	}
	for i, v := range s.EntryVMs {
		c.checkEntryVM(fmt.Sprintf("entryVMs[%d]", i), v, domains)
	}
	c.checkEndpoints(s.Endpoints)
	return c.findings
}

func (c *checker) add(field, format string, arguments ...any) {
	c.findings = append(c.findings, bbjson.Finding{
		Field: field,
		Text:  fmt.Sprintf(format, arguments...),
	})
}

func (c *checker) checkEntryVM(field string, v EntryVM, domains map[string]bool) {
	if v.Name == "" {
		c.add(field+".name", "is empty")
	} else if place, seen := c.names[v.Name]; seen {
		c.add(field+".name", "%q is already used in %s", v.Name, place)
	}
	c.names[v.Name] = field
	c.checkAddress(field+".address", v.Address)
	c.checkAddress(field+".peerAddress", v.PeerAddress)
	if !domains[v.Domain] {
		c.add(field+".domain", "domain %q is not in the rules", v.Domain)
	}
}

// checkAddress checks that an address is on loopback and not used elsewhere.
func (c *checker) checkAddress(field, address string) {
	if !c.checkLoopback(field, address) {
		return
	}
	if place, seen := c.addresses[address]; seen {
		c.add(field, "%s is already used in %s", address, place)
		return
	}
	c.addresses[address] = field
}

func (c *checker) checkLoopback(field, address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		c.add(field, "%q is not host:port", address)
		return false
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		c.add(field, "%q is not on loopback", address)
		return false
	}
	return true
}

func (c *checker) checkCount(field string, count int64) {
	if count < 0 {
		c.add(field, "%d is below 0", count)
	}
}

func (c *checker) checkEndpoints(e EndpointSettings) {
	c.checkCount("endpoints.warmAfter", int64(e.WarmAfter))
	c.checkCount("endpoints.warmMillis", e.WarmMillis)
	c.checkCount("endpoints.loadingMillis", e.LoadingMillis)
	c.checkCount("endpoints.restartMillis", e.RestartMillis)
	c.checkCount("endpoints.reportLagMillis", e.ReportLagMillis)
	c.checkCount("endpoints.eventLagMillis", e.EventLagMillis)
	c.checkCount("endpoints.baseStepMicros", e.BaseStepMicros)
	c.checkCount("endpoints.streamStepMicros", e.StreamStepMicros)
	c.checkCount("endpoints.prefillMicros", e.PrefillMicros)
	c.checkCount("endpoints.cacheBytes", int64(e.CacheBytes))
	c.checkCount("endpoints.serviceMillis", e.ServiceMillis)
}

// millis converts a number of milliseconds to a duration.
func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// micros converts a number of microseconds to a duration.
func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
