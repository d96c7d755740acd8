// Package bbsettings reads the JSON settings of an entry VM and validates them in one pass,
// so that all findings are reported together.
package bbsettings

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bluebellhall/core/bbjson"
)

// Settings are what an entry VM's process needs before it has received the rules.
type Settings struct {
	// Name is the VM's name in the member list.
	Name string `json:"name"`
	// Domain is the VM's failure domain and Region the domain's region.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// CallerAddress and PeerAddress are host:port to listen on.
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	// PlatformAddresses are the host:port of the platform's configuration service.
	PlatformAddresses []string `json:"platformAddresses"`
	// KeyFile holds the fleet's signing key. PreviousKeyFile holds the previous one during a
	// key rotation.
	KeyFile         string `json:"keyFile"`
	PreviousKeyFile string `json:"previousKeyFile,omitempty"`
	// ProbeIntervalMillis is the time between two probes to a peer of the VM's group, the
	// same on all VMs of a fleet; 0 means 250. Fleets of more than 9 VMs use 1000.
	ProbeIntervalMillis int64 `json:"probeIntervalMillis,omitempty"`
	// TestFaults enables POST /admin/cut, which blocks links of this VM; for tests only.
	TestFaults bool `json:"testFaults,omitempty"`
	// LogLevel is debug, info, warn or error; empty means info.
	LogLevel string `json:"logLevel,omitempty"`
	// Key and PreviousKey are the trimmed contents of the key files.
	Key         []byte `json:"-"`
	PreviousKey []byte `json:"-"`
}

// The bounds of ProbeIntervalMillis.
const (
	minProbeMillis = 50
	maxProbeMillis = 5000
)

// minKeyBytes is the minimum length of a signing key.
const minKeyBytes = 16

// Load reads a settings file and the key files that it names.
func Load(path string) (Settings, []bbjson.Finding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Wrap(err, "read settings")
	}
	s, findings := Parse(data)
	if len(findings) > 0 {
		return s, findings, nil
	}
	s.Key, findings = loadKey(findings, "keyFile", s.KeyFile)
	if s.PreviousKeyFile != "" {
		s.PreviousKey, findings = loadKey(findings, "previousKeyFile", s.PreviousKeyFile)
	}
	return s, findings, nil
}

// loadKey reads one key file and trims white space around the key.
func loadKey(findings []bbjson.Finding, field, path string) ([]byte, []bbjson.Finding) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, add(findings, field, err.Error())
	}
	key = bytes.TrimSpace(key)
	if len(key) < minKeyBytes {
		return nil, add(findings, field, fmt.Sprintf("the key has %d bytes; at least %d are required", len(key), minKeyBytes))
	}
	return key, findings
}

// Parse decodes and validates settings without reading the key files.
func Parse(data []byte) (Settings, []bbjson.Finding) {
	var s Settings
	if findings := bbjson.Decode(data, &s); len(findings) > 0 {
		return s, findings
	}
	return s, Check(s)
}

// Check validates the fields of settings and returns all findings.
func Check(s Settings) []bbjson.Finding {
	var f []bbjson.Finding
	f = checkName(f, "name", s.Name)
	f = checkName(f, "domain", s.Domain)
	f = checkName(f, "region", s.Region)
	f = checkAddress(f, "callerAddress", s.CallerAddress)
	f = checkAddress(f, "peerAddress", s.PeerAddress)
	if s.CallerAddress != "" && s.CallerAddress == s.PeerAddress {
		f = add(f, "peerAddress", "is the same as callerAddress")
	}
	if len(s.PlatformAddresses) == 0 {
		f = add(f, "platformAddresses", "is empty")
	}
	for i, a := range s.PlatformAddresses {
		f = checkAddress(f, fmt.Sprintf("platformAddresses[%d]", i), a)
	}
	if s.KeyFile == "" {
		f = add(f, "keyFile", "is empty")
	}
	if p := s.ProbeIntervalMillis; p != 0 && (p < minProbeMillis || p > maxProbeMillis) {
		f = add(f, "probeIntervalMillis", fmt.Sprintf("%d is not between %d and %d", p, minProbeMillis, maxProbeMillis))
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil {
		f = add(f, "logLevel", fmt.Sprintf("%q is not a log level", s.LogLevel))
	}
	return f
}

// checkName validates a name that becomes part of request ids.
func checkName(f []bbjson.Finding, field, value string) []bbjson.Finding {
	if value == "" {
		return add(f, field, "is empty")
	}
	if strings.ContainsAny(value, ". \t\n") {
		return add(f, field, "contains a dot or white space")
	}
	return f
}

// checkAddress validates a host:port whose host is an IP address.
func checkAddress(f []bbjson.Finding, field, value string) []bbjson.Finding {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return add(f, field, fmt.Sprintf("%q is not host:port", value))
	}
	if net.ParseIP(host) == nil {
		return add(f, field, fmt.Sprintf("%q is not an IP address", host))
	}
	if port == "" {
		return add(f, field, "has no port")
	}
	return f
}

// add appends a finding about a field.
func add(f []bbjson.Finding, field, text string) []bbjson.Finding {
	return append(f, bbjson.Finding{
		Field: field,
		Text:  text,
	})
}
