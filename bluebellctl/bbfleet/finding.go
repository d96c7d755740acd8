package bbfleet

import (
	"fmt"
	"maps"
	"slices"

	"bluebellhall/core/bbmsg"
)

// Finding is something in the answers that an operator should look at.
type Finding struct {
	// Node is the entry VM's name, or its address if it gave no answer; empty when
	// the finding is about the fleet.
	Node string `json:"node,omitempty"`
	// Endpoint is set when the finding is about one.
	Endpoint string `json:"endpoint,omitempty"`
	// Text is the message.
	Text string `json:"text"`
}

// String returns the finding with its place.
func (f Finding) String() string {
	switch {
	case f.Endpoint != "":
		return f.Endpoint + ": " + f.Text
	case f.Node != "":
		return f.Node + ": " + f.Text
	default:
		return f.Text
	}
}

// Findings returns what is wrong with the fleet, in the order of the answers, then by
// endpoint.
func Findings(answers []Answer) []Finding {
	var findings []Finding
	for _, a := range answers {
		findings = append(findings, nodeFindings(a)...)
	}
	findings = append(findings, revisionFindings(answers)...)
	return append(findings, ownerFindings(answers)...)
}

// nodeFindings returns what is wrong with one entry VM.
func nodeFindings(a Answer) []Finding {
	if a.Status == nil {
		return []Finding{{
			Node: a.Address,
			Text: a.Error,
		}}
	}
	s := a.Status
	var findings []Finding
	add := func(format string, arguments ...any) {
		findings = append(findings, Finding{
			Node: s.Node,
			Text: fmt.Sprintf(format, arguments...),
		})
	}
	if !s.Ready {
		add("not ready")
	}
	if s.Ready && !s.Confirmed {
		add("not confirmed: cold endpoints that it owns wait")
	}
	if !s.Platform.Up {
		add("the configuration service has not answered for %d ms", s.Platform.SinceMillis)
	}
	if s.ListRevision < s.ListSeen {
		add("holds member list %d and has heard of %d", s.ListRevision, s.ListSeen)
	}
	for _, r := range s.Rules.Refused {
		add("refused revision %d of the rules from %s with %d findings: %s", r.Revision, r.Source, r.Findings, r.First)
	}
	for _, p := range s.Peers {
		if !p.Alive {
			add("has lost %s", p.Name)
		}
	}
	return findings
}

// revisionFindings reports entry VMs that are behind others or have another text.
func revisionFindings(answers []Answer) []Finding {
	var newest bbmsg.RulesStatus
	for _, s := range validStatuses(answers) {
		if s.Rules.Revision > newest.Revision {
			newest = s.Rules
		}
	}
	var findings []Finding
	for _, s := range validStatuses(answers) {
		if s.Rules.Revision < newest.Revision {
			findings = append(findings, Finding{
				Node: s.Node,
				Text: fmt.Sprintf("has revision %d of the rules in force, another has %d", s.Rules.Revision, newest.Revision),
			})
			continue
		}
		if s.Rules.Digest != newest.Digest {
			findings = append(findings, Finding{
				Node: s.Node,
				Text: fmt.Sprintf("has another text of revision %d of the rules in force than others", newest.Revision),
			})
		}
	}
	return findings
}

// ownerFindings reports endpoints that more than one entry VM claims.
func ownerFindings(answers []Answer) []Finding {
	owners := map[string][]string{}
	for _, s := range validStatuses(answers) {
		for _, e := range s.Endpoints {
			owners[e.Name] = append(owners[e.Name], s.Node)
		}
	}
	var findings []Finding
	for _, name := range slices.Sorted(maps.Keys(owners)) {
		if len(owners[name]) > 1 {
			findings = append(findings, Finding{
				Endpoint: name,
				Text:     fmt.Sprintf("several owners at the times of asking: %v", owners[name]),
			})
		}
	}
	return findings
}

// statuses returns the answers that hold one.
func validStatuses(answers []Answer) []*bbmsg.Status {
	var found []*bbmsg.Status
	for _, a := range answers {
		if a.Status != nil {
			found = append(found, a.Status)
		}
	}
	return found
}
