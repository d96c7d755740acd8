package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/bluebellfake/bbplatform"
	"bluebellhall/bluebellfake/bbpool"
	"bluebellhall/core/bbrule"
)

// execute runs the command line and returns its output.
func execute(arguments ...string) (string, error) {
	var out bytes.Buffer
	c := command()
	c.Writer = &out
	err := c.Run(context.Background(), append([]string{"bluebellfake"}, arguments...))
	return out.String(), err
}

func checkOutput(t *testing.T, want string, arguments ...string) {
	t.Helper()
	got, err := execute(arguments...)
	if err != nil || got != want {
		t.Errorf("%v: output %q and error %v, want %q", arguments, got, err, want)
	}
}

func checkError(t *testing.T, want string, arguments ...string) {
	t.Helper()
	if _, err := execute(arguments...); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%v: error %v, want one with %q", arguments, err, want)
	}
}

func TestFaultCommands(t *testing.T) {
	pool, cleanup, err := bbpool.Start(bbpool.Settings{
		Kind: bbrule.KindPool,
		Endpoint: bbendpoint.Settings{
			Name:      "e1",
			WarmSlots: 1,
			ColdSlots: 1,
			StartWarm: true,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	checkOutput(t, "", "fault", "--address", pool.Address(), "--slow", "2", "--cold")
	for !pool.Cold() {
	}
	if got := pool.SlowdownFactor(); got != 2*bbendpoint.ColdFactor {
		t.Errorf("factor %v", got)
	}
	checkOutput(t, "", "fault", "--address", pool.Address(), "--crash", "--silent")
	if got := pool.Counts().Crashes; got != 1 {
		t.Errorf("%d crashes", got)
	}
}

func TestPlatformCommands(t *testing.T) {
	p, cleanup, err := bbplatform.Start(bbplatform.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	file := filepath.Join(t.TempDir(), "rules.txt")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	checkOutput(t, "{\"revision\":1}\n", "publish", "--address", p.Address(), "--rules", file)
	checkError(t, "nothing to publish", "publish", "--address", p.Address())
	checkOutput(t, "", "outage", "--address", p.Address(), "--lag", "2s")
	checkError(t, "answered 400", "publish", "--address", p.Address(), "--members", file)
}

func TestRunChecks(t *testing.T) {
	checkOutput(t, "no findings\n", "run", "--check", "--settings", "../examples/corail/fake.json")
	file := filepath.Join(t.TempDir(), "fake.json")
	rules, err := filepath.Abs("../examples/broken/rules.txt")
	if err != nil {
		t.Fatal(err)
	}
	relative, err := filepath.Rel(filepath.Dir(file), rules)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(`{"rules":"`+relative+`"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	checkError(t, "domain \"east\" is not declared", "run", "--settings", file)
	checkError(t, "read settings", "run", "--settings", file+"x")
}
