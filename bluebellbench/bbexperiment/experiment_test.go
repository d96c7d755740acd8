package bbexperiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// patterns is the directory of the example patterns.
const patterns = "../../examples/patterns"

func load(t *testing.T, name string) Pattern {
	t.Helper()
	p, err := Load(filepath.Join(patterns, name))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestAllPatternsAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(patterns, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d patterns, error %v", len(files), err)
	}
	for _, f := range files {
		p := load(t, filepath.Base(f))
		if p.Name+".json" != filepath.Base(f) || p.Description == "" {
			t.Errorf("%s has the name %q and the description %q", f, p.Name, p.Description)
		}
	}
}

// wantLoadError checks that loading a pattern in which from is replaced by to fails with an error that
// contains want.
func wantLoadError(t *testing.T, from, to, want string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(patterns, "calm.json"))
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), from, to, 1)
	if changed == string(data) {
		t.Fatalf("%q is not in the pattern", from)
	}
	path := filepath.Join(t.TempDir(), "p.json")
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want one that contains %q", err, want)
	}
}

func TestInvalidPatternErrorsNameTheField(t *testing.T) {
	t.Run("unknown field", func(t *testing.T) { wantLoadError(t, `"engines"`, `"motors"`, "motors") })
	t.Run("no workers", func(t *testing.T) { wantLoadError(t, `"workers": 3`, `"workers": 0`, "pools[0]") })
	t.Run("unknown service", func(t *testing.T) {
		wantLoadError(t, `"service": "desk",
     "after"`, `"service": "table",
     "after"`, "kinds[0].stages[2]")
	})
	t.Run("later stage", func(t *testing.T) {
		wantLoadError(t, `"after": [
      1`, `"after": [
      3`, "kinds[0].stages[2] comes after stage 3")
	})
	t.Run("limit before objective", func(t *testing.T) { wantLoadError(t, `"limitMs": 6000`, `"limitMs": 100`, "kinds[0]") })
}

func TestSimulationIsDeterministic(t *testing.T) {
	p := load(t, "coordinator-lost.json")
	p.DurationMs = 10000
	first := Simulate(p, Policies[0], 1, 7)
	if diff := cmp.Diff(first, Simulate(p, Policies[0], 1, 7)); diff != "" {
		t.Errorf("second run with the same seed (-first +second):\n%s", diff)
	}
	if diff := cmp.Diff(Simulate(p, Policies[0], 3, 7), Simulate(p, Policies[0], 3, 7)); diff != "" {
		t.Errorf("second run with the same seed at three times the load (-first +second):\n%s", diff)
	}
	if first.Kinds["report"].Requests == 0 || first.Worth <= 0 || first.Worth > 1 {
		t.Errorf("result %+v, want requests and a worth above 0 and at most 1", first)
	}
}

// At 1.7 times the load of a pattern, the current policy earns more than first come, first served.
func TestPresentPolicyBeatsArrivalOrderUnderOverload(t *testing.T) {
	for _, name := range []string{"burst-by-class.json", "jump.json"} {
		p := load(t, name)
		if present, arrival := Simulate(p, Policies[0], 1.7, 1), Simulate(p, Policies[1], 1.7, 1); present.Worth <= arrival.Worth {
			t.Errorf("%s: worth %.3f, and %.3f in order of arrival", name, present.Worth, arrival.Worth)
		}
	}
}

func TestTable(t *testing.T) {
	var b strings.Builder
	result := Result{
		Pattern:   "p",
		Policy:    "present",
		Load:      1.7,
		Kinds:     map[string]KindResult{"b": {Requests: 4, OnTime: 2, Late: 1}, "a": {Requests: 1, Refused: 1}},
		Worth:     0.5,
		BatchFill: 0.25,
	}
	other := result
	other.Worth = 0.25
	if err := Table(&b, []Result{result, other}); err != nil {
		t.Fatal(err)
	}
	want := "| p | 1.7 | present | 0.375 | a 0.00, 0.00, 1.00; b 0.50, 0.25, 0.00 | 0.25 | 0.0% | 0.0% |\n"
	if !strings.HasSuffix(b.String(), want) {
		t.Errorf("table %q, want it to end with %q", b.String(), want)
	}
}
