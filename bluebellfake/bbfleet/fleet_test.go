package bbfleet

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bluebellhall/core/bbjson"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"

	"github.com/google/go-cmp/cmp"
)

// examples has the example deployments whose settings must have no findings.
var examples = []string{"khangai", "corail"}

func example(t *testing.T, name string) (Settings, string) {
	t.Helper()
	directory := filepath.Join("..", "..", "examples", name)
	data, err := os.ReadFile(filepath.Join(directory, "fake.json"))
	if err != nil {
		t.Fatal(err)
	}
	s, found := Parse(data)
	checkFindings(t, found, nil)
	text, err := os.ReadFile(filepath.Join(directory, s.Rules))
	if err != nil {
		t.Fatal(err)
	}
	return s, string(text)
}

func checkFindings(t *testing.T, found []bbjson.Finding, want []string) {
	t.Helper()
	var got []string
	for _, f := range found {
		got = append(got, f.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}

func TestExamples(t *testing.T) {
	for _, name := range examples {
		t.Run(name, func(t *testing.T) {
			s, text := example(t, name)
			rules, _ := bbrule.Parse(text)
			checkFindings(t, Check(s, rules), nil)
			if len(s.EntryVMs) != 7 {
				t.Errorf("%d entry VMs", len(s.EntryVMs))
			}
		})
	}
}

func TestStartOnFreePorts(t *testing.T) {
	s, text := example(t, "khangai")
	s.FreePorts = true
	s.Platform = PlatformSettings{}
	f, cleanup, err := Start(s, text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	t.Run("every endpoint answers at its published address", func(t *testing.T) {
		published, found := bbrule.Parse(f.Text)
		if len(found) > 0 {
			t.Fatal(found)
		}
		for _, e := range published.Endpoints {
			r, err := http.Get("http://" + e.Address + "/admin/counts")
			if err != nil {
				t.Fatal(err)
			}
			r.Body.Close()
			if got := f.Endpoints[e.Name].Address(); got != e.Address {
				t.Errorf("%s is at %s and published at %s", e.Name, got, e.Address)
			}
		}
	})
	t.Run("members can be marked as leaving and be removed", func(t *testing.T) {
		f.SetLeaving("engine-2", true)
		f.RemoveMember("engine-3")
		roles := map[bbmsg.MemberRole]int{}
		leaving := []string{}
		for _, m := range f.Platform.Members() {
			roles[m.Role]++
			if m.Leaving {
				leaving = append(leaving, m.Name)
			}
		}
		want := map[bbmsg.MemberRole]int{bbmsg.RoleEntry: 7, bbmsg.RoleEndpoint: len(f.Endpoints) - 1}
		if diff := cmp.Diff(want, roles); diff != "" {
			t.Errorf("members (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"engine-2"}, leaving); diff != "" {
			t.Errorf("leaving (-want +got):\n%s", diff)
		}
	})
	t.Run("a failure domain can be taken out of service", func(t *testing.T) {
		f.SetOut("khovd", true)
		rules, _ := bbrule.Parse(f.Text)
		for _, d := range rules.Domains {
			if d.Out != (d.Name == "khovd") {
				t.Errorf("domain %+v", d)
			}
		}
	})
}

func TestCheckReportsAllFindings(t *testing.T) {
	s, text := example(t, "khangai")
	s.Platform.Address = "192.0.2.1:80"
	s.Platform.CallsPerSecond = -1
	s.EntryVMs = s.EntryVMs[:2]
	s.EntryVMs[0].Name = "engine-1"
	s.EntryVMs[0].Address = "localhost"
	s.EntryVMs[1].PeerAddress = s.EntryVMs[1].Address
	s.EntryVMs[1].Domain = "mars"
	s.Endpoints.RestartMillis = -5
	want := []string{
		`platform.address: "192.0.2.1:80" is not on loopback`,
		`platform.callsPerSecond: -1 is below 0`,
		`entryVMs[0].name: "engine-1" is already used in the rules`,
		`entryVMs[0].address: "localhost" is not host:port`,
		`entryVMs[1].peerAddress: 127.0.0.1:21102 is already used in entryVMs[1].address`,
		`entryVMs[1].domain: domain "mars" is not in the rules`,
		`endpoints.restartMillis: -5 is below 0`,
	}
	rules, _ := bbrule.Parse(text)
	checkFindings(t, Check(s, rules), want)
	if _, _, err := Start(s, text); err == nil || !strings.Contains(err.Error(), "mars") {
		t.Errorf("started: %v", err)
	}
}

func TestParseReportsPosition(t *testing.T) {
	_, found := Parse([]byte("{\n  \"rules\": 5\n}"))
	if len(found) != 1 || found[0].Line != 2 {
		t.Errorf("findings %v", found)
	}
	_, found = Parse([]byte(`{"ruels": "x"}`))
	checkFindings(t, found, []string{`1:2: json: unknown field "ruels"`})
}
