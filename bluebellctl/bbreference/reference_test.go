package bbreference

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
)

var update = flag.Bool("update", false, "write the pages anew")

const docs = "../../docs"

func TestPagesMatchTheCode(t *testing.T) {
	t.Run("events", func(t *testing.T) {
		checkPage(t, "EVENTS.md", func(string) (string, error) { return Events(), nil })
	})
	t.Run("rules", func(t *testing.T) {
		checkPage(t, "RULES.md", func(page string) (string, error) { return Fill(page, RuleSections()) })
	})
}

func TestEveryGroupOfEventsHasAHeading(t *testing.T) {
	for _, e := range bbevent.Catalogue {
		if groupHeadings[e.Number/numbersPerGroup] == "" {
			t.Errorf("event %d has no group", e.Number)
		}
	}
}

func TestFill(t *testing.T) {
	sections := []Section{{Name: "a", Text: "new\n"}}
	got, err := Fill("x\n<!-- begin a -->\nold\n<!-- end a -->\ny\n", sections)
	if err != nil {
		t.Fatal(err)
	}
	want := "x\n<!-- begin a -->\n\nnew\n\n<!-- end a -->\ny\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differs (-want +got):\n%s", diff)
	}
	for _, page := range []string{"", "<!-- begin a -->\n", "<!-- end a -->\n"} {
		if _, err := Fill(page, sections); err == nil {
			t.Errorf("%q was filled", page)
		}
	}
}

// checkPage compares a page of the docs with what the code makes of it.
func checkPage(t *testing.T, name string, generate func(page string) (string, error)) {
	t.Helper()
	path := filepath.Join(docs, name)
	page, err := os.ReadFile(path)
	if err != nil && !*update {
		t.Fatal(err)
	}
	want, err := generate(string(page))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("%s is not up to date; run go test ./bluebellctl/bbreference -update:\n%s", name, diff)
	}
}
