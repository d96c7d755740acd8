package bbsettings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbjson"
)

const validSettings = `{
  "name": "entry-1", "domain": "north", "region": "main",
  "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2",
  "platformAddresses": ["127.0.0.1:3"], "keyFile": "fleet.key"
}`

func TestParse(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{name: "good", text: validSettings},
		{name: "all findings together", text: `{"name": "a.b", "callerAddress": "x", "peerAddress": "localhost:2", "logLevel": "loud", "probeIntervalMillis": 7}`, want: []string{
			"name: has a dot or a space",
			"domain: is empty",
			"region: is empty",
			`callerAddress: "x" is not host:port`,
			`peerAddress: "localhost" is not an IP number`,
			"platformAddresses: is empty",
			"keyFile: is empty",
			"probeIntervalMillis: 7 is not from 50 to 5000",
			`logLevel: "loud" is not a level`,
		}},
		{name: "syntax with its place", text: "{\n  \"name\": }", want: []string{"2:12: invalid character '}' looking for beginning of value"}},
		{name: "unknown field", text: `{"nmae": "a"}`, want: []string{`1:2: json: unknown field "nmae"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, findings := Parse([]byte(c.text))
			checkFindings(t, findings, c.want)
		})
	}
}

func TestLoadChecksKeyFiles(t *testing.T) {
	folder := t.TempDir()
	key := filepath.Join(folder, "fleet.key")
	write(t, key, "short")
	path := filepath.Join(folder, "settings.json")
	write(t, path, `{
  "name": "entry-1", "domain": "north", "region": "main",
  "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2",
  "platformAddresses": ["127.0.0.1:3"], "keyFile": "`+key+`"
}`)
	_, findings, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	checkFindings(t, findings, []string{"keyFile: the key has 5 bytes and needs 16"})
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func checkFindings(t *testing.T, findings []bbjson.Finding, want []string) {
	t.Helper()
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("findings (-want +got):\n%s", diff)
	}
}
