package bbpool

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/core/bbrule"

	"github.com/google/go-cmp/cmp"
)

// broken is the status that send returns when there is no response.
const broken = 0

func start(t *testing.T, s Settings) *Pool {
	t.Helper()
	s.Endpoint.Name = "e1"
	s.Endpoint.WarmSlots = 2
	s.Endpoint.ColdSlots = 1
	p, cleanup, err := Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return p
}

// send posts a body as request r1 with the client and returns the status and body of the response.
func send(client *http.Client, p *Pool, body string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.Address()+"/book/seat", strings.NewReader(body))
	if err != nil {
		return broken, err.Error()
	}
	r.Header.Set("Bluebell-Request", "r1")
	answer, err := client.Do(r)
	if err != nil {
		return broken, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return broken, ""
	}
	return answer.StatusCode, strings.TrimSpace(string(text))
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func checkStatus(t *testing.T, p *Pool, body string, want int) {
	t.Helper()
	if got, text := send(newClient(t), p, body); got != want {
		t.Errorf("status %d (%s), want %d", got, text, want)
	}
}

func checkCounts(t *testing.T, p *Pool, want bbendpoint.Counts) {
	t.Helper()
	got := p.Counts()
	got.Boot = 0
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}

func pointer[T any](v T) *T { return &v }

// waitFor polls until a condition holds and fails the test after 20 seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func TestPlain(t *testing.T) {
	p := start(t, Settings{Kind: bbrule.KindPlain})
	client := newClient(t)
	_, first := send(client, p, "two seats tag-7 ")
	_, second := send(client, p, "two seats tag-7 ")
	send(client, p, "other")
	want := []string{
		`{"request":"r1","path":"book/seat","run":1,"tag":"tag-7"}`,
		`{"request":"r1","path":"book/seat","run":2,"tag":"tag-7"}`,
	}
	if diff := cmp.Diff(want, []string{first, second}); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	counted := map[string]int{}
	for _, r := range p.Runs() {
		counted[r.Request+r.Path+r.Content] = r.Count
	}
	wantRuns := map[string]int{
		"r1book/seat" + ContentHash([]byte("two seats tag-7 ")): 2,
		"r1book/seat" + ContentHash([]byte("other")):            1,
	}
	if diff := cmp.Diff(wantRuns, counted); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestPoolIsDeterministic(t *testing.T) {
	p := start(t, Settings{Kind: bbrule.KindPool})
	client := newClient(t)
	body := `{"prompt":"tag-5 x","max_tokens":3}`
	_, first := send(client, p, body)
	_, second := send(client, p, body)
	want := `{"input":"` + ContentHash([]byte(body)) + `","path":"book/seat","tag":"tag-5","prompt":"tag-5 x","max_tokens":3}`
	if diff := cmp.Diff([]string{want, want}, []string{first, second}); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

func TestColdStart(t *testing.T) {
	t.Run("crashes above its cold slots", func(t *testing.T) {
		p := start(t, Settings{Kind: bbrule.KindPlain, ServiceTime: time.Hour})
		first := make(chan int)
		go func() {
			status, _ := send(newClient(t), p, "a")
			first <- status
		}()
		waitFor(t, "the first request runs", func() bool { return p.Report().Running == 1 })
		boot := p.Counts().Boot
		checkStatus(t, p, "b", broken)
		if status := <-first; status != broken {
			t.Errorf("the running request got %d", status)
		}
		checkCounts(t, p, bbendpoint.Counts{Requests: 2, OverCold: 1, Crashes: 1})
		if p.Counts().Boot == boot || len(p.Runs()) != 0 {
			t.Errorf("boot still %d, runs %v", boot, p.Runs())
		}
	})
	t.Run("is warm after WarmAfter completions and then rejects requests when full", func(t *testing.T) {
		p := start(t, Settings{
			Kind:     bbrule.KindPlain,
			Endpoint: bbendpoint.Settings{WarmAfter: 1, QueueSlots: 1},
		})
		checkStatus(t, p, "a", 200)
		if p.Cold() {
			t.Error("still cold")
		}
		p.Apply(bbendpoint.Faults{SlowFactor: pointer(1e9)})
		for range 3 {
			go send(newClient(t), p, "b")
		}
		waitFor(t, "all slots are taken", func() bool { return p.Report().Waiting == 1 })
		checkStatus(t, p, "c", 429)
		checkCounts(t, p, bbendpoint.Counts{Requests: 4, Completed: 1, Rejected: 1})
	})
	t.Run("rejects requests with 503 while it loads", func(t *testing.T) {
		p := start(t, Settings{
			Kind:     bbrule.KindPlain,
			Endpoint: bbendpoint.Settings{LoadingTime: time.Hour},
		})
		checkStatus(t, p, "a", 503)
		checkCounts(t, p, bbendpoint.Counts{Rejected: 1})
	})
}

func TestFaults(t *testing.T) {
	warm := bbendpoint.Settings{StartWarm: true}
	t.Run("a body with the KillOn text resets the connection and leaves the endpoint cold", func(t *testing.T) {
		p := start(t, Settings{Kind: bbrule.KindPlain, Endpoint: warm})
		p.Apply(bbendpoint.Faults{KillOn: pointer("poison")})
		checkStatus(t, p, "some poison here", broken)
		checkStatus(t, p, "harmless", 200)
		checkCounts(t, p, bbendpoint.Counts{Requests: 1, Completed: 1, Crashes: 1})
		if !p.Cold() {
			t.Error("not cold")
		}
	})
	t.Run("a share of requests fails", func(t *testing.T) {
		p := start(t, Settings{Kind: bbrule.KindPlain, Endpoint: warm})
		p.Apply(bbendpoint.Faults{FailShare: pointer(1.0)})
		checkStatus(t, p, "a", 500)
		if len(p.Runs()) != 0 {
			t.Errorf("runs %v", p.Runs())
		}
	})
	t.Run("a silent connection gets no response and a new one does", func(t *testing.T) {
		p := start(t, Settings{Kind: bbrule.KindPlain, Endpoint: warm})
		old := newClient(t)
		send(old, p, "a")
		p.Apply(bbendpoint.Faults{Silent: true})
		old.Timeout = 50 * time.Millisecond
		if status, _ := send(old, p, "b"); status != broken {
			t.Errorf("the silent connection answered %d", status)
		}
		checkStatus(t, p, "c", 200)
	})
	t.Run("requests get no response during a pause and are answered after it", func(t *testing.T) {
		p := start(t, Settings{Kind: bbrule.KindPlain, Endpoint: warm})
		p.Apply(bbendpoint.Faults{PauseMillis: 60_000})
		impatient := newClient(t)
		impatient.Timeout = 50 * time.Millisecond
		if status, _ := send(impatient, p, "a"); status != broken {
			t.Errorf("answered %d during the pause", status)
		}
		p.Apply(bbendpoint.Faults{PauseMillis: 1})
		checkStatus(t, p, "b", 200)
	})
	t.Run("a restart refuses connections and then accepts them on the same port", func(t *testing.T) {
		p := start(t, Settings{
			Kind:     bbrule.KindPlain,
			Endpoint: bbendpoint.Settings{RestartTime: time.Millisecond},
		})
		p.Crash()
		waitFor(t, "the port is open again", func() bool {
			status, _ := send(newClient(t), p, "a")
			return status == 200
		})
	})
	t.Run("reports show the load as of ReportLag ago", func(t *testing.T) {
		p := start(t, Settings{
			Kind:     bbrule.KindPlain,
			Endpoint: bbendpoint.Settings{ReportLag: time.Hour},
		})
		before := p.Report()
		p.Crash()
		if diff := cmp.Diff(before, p.Report()); diff != "" {
			t.Errorf("report (-before +after):\n%s", diff)
		}
	})
	t.Run("requests above the cold capacity before any cold signal are counted as unwarned", func(t *testing.T) {
		p := start(t, Settings{Kind: bbrule.KindPlain, ServiceTime: time.Hour, Endpoint: warm})
		go send(newClient(t), p, "a")
		waitFor(t, "the request runs", func() bool { return p.Report().Running == 1 })
		p.TurnCold()
		checkStatus(t, p, "b", broken)
		checkCounts(t, p, bbendpoint.Counts{Requests: 2, OverCold: 1, OverColdUnwarned: 1, Crashes: 1})
	})
	t.Run("a slow response is not a cold signal", func(t *testing.T) {
		for _, c := range []struct {
			name string
			cold bool
		}{{"started while warm", false}, {"started while cold", true}} {
			t.Run(c.name, func(t *testing.T) { checkNoSignal(t, c.cold) })
		}
	})
}

// checkNoSignal lets one slow request end while the endpoint is cold, sends two more, of which
// the second is above the cold capacity, and checks that it is counted as unwarned. The endpoint
// becomes cold before the first request with cold, and during it otherwise.
func checkNoSignal(t *testing.T, cold bool) {
	t.Helper()
	p := start(t, Settings{Kind: bbrule.KindPlain, Endpoint: bbendpoint.Settings{StartWarm: true}})
	if cold {
		p.TurnCold()
	}
	done := make(chan bool)
	p.Apply(bbendpoint.Faults{SlowFactor: pointer(20.0)})
	go func() {
		send(newClient(t), p, "a")
		close(done)
	}()
	waitFor(t, "the request runs", func() bool { return p.InFlight() == 1 })
	if !cold {
		p.TurnCold()
	}
	<-done
	p.Apply(bbendpoint.Faults{SlowFactor: pointer(1e9)})
	go send(newClient(t), p, "b")
	waitFor(t, "the next request runs", func() bool { return p.InFlight() == 1 })
	checkStatus(t, p, "c", broken)
	if got := p.Counts(); got.OverCold != 1 || got.OverColdUnwarned != 1 {
		t.Errorf("counts %+v", got)
	}
}

func TestStartChecksSettings(t *testing.T) {
	_, _, err := Start(Settings{Kind: bbrule.KindPlain})
	if err == nil {
		t.Fatal("started")
	}
	if _, _, err := Start(Settings{Kind: bbrule.KindEngine}); err == nil {
		t.Error("started as an engine")
	}
}
