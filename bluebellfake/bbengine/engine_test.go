package bbengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/core/bbmsg"

	"github.com/google/go-cmp/cmp"
)

func start(t *testing.T, s Settings) *Engine {
	t.Helper()
	s.Endpoint.Name = "e1"
	s.Endpoint.ColdSlots = 1
	s.Endpoint.StartWarm = true
	if s.Endpoint.WarmSlots == 0 {
		s.Endpoint.WarmSlots = 4
	}
	s.Model = "m"
	if s.BaseStep == 0 {
		s.BaseStep = time.Microsecond
		s.StreamStep = time.Microsecond
	}
	e, cleanup, err := Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return e
}

func post(t *testing.T, e *Engine, path string, offset int, body any) *http.Response {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+path, strings.NewReader(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(OffsetHeader, fmt.Sprint(offset))
	r.Header.Set("Bluebell-Session", "s1")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

// lines returns the data lines of a stream.
func lines(r *http.Response) []string {
	var found []string
	for scanner := bufio.NewScanner(r.Body); scanner.Scan(); {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			found = append(found, data)
		}
	}
	return found
}

func checkLines(t *testing.T, r *http.Response, want []string) {
	t.Helper()
	if diff := cmp.Diff(want, lines(r)); diff != "" {
		t.Errorf("stream (-want +got):\n%s", diff)
	}
}

func checkStatus(t *testing.T, r *http.Response, want int) {
	t.Helper()
	if r.StatusCode != want {
		t.Errorf("status %d, want %d", r.StatusCode, want)
	}
}

func chunk(index int) string {
	return fmt.Sprintf(`{"index":%d,"choices":[{"text":%q}]}`, index, Token("m", "hello", index))
}

func TestCompletion(t *testing.T) {
	e := start(t, Settings{})
	request := CompletionRequest{Model: "m", Prompt: "hello", MaxTokens: 3}
	t.Run("streams all tokens", func(t *testing.T) {
		checkLines(t, post(t, e, "/v1/completions", 0, request), []string{chunk(0), chunk(1), chunk(2), "[DONE]"})
	})
	t.Run("resumes at an offset with the same tokens", func(t *testing.T) {
		checkLines(t, post(t, e, "/v1/completions", 2, request), []string{chunk(2), "[DONE]"})
	})
	t.Run("resumes past the end with none", func(t *testing.T) {
		checkLines(t, post(t, e, "/v1/completions", 9, request), []string{"[DONE]"})
	})
	t.Run("marked prompts have one completion", func(t *testing.T) {
		if a, b := Token("m", "x tag-1 y", 0), Token("m", `{"tag":"tag-1"}`, 0); a != b {
			t.Errorf("tokens %q and %q", a, b)
		}
	})
	t.Run("does not take what it cannot run", func(t *testing.T) {
		checkStatus(t, post(t, e, "/v1/completions", 0, CompletionRequest{Model: "other"}), 404)
		checkStatus(t, post(t, e, "/v1/completions", 0, CompletionRequest{Model: "m", MaxTokens: -1}), 400)
		checkStatus(t, post(t, e, "/v1/completions", 0, "no object"), 400)
		if counts := e.Counts(); counts.Requests != 3 || counts.Rejected != 3 {
			t.Errorf("counts %+v", counts)
		}
	})
}

func TestCancelFreesTheBatch(t *testing.T) {
	e := start(t, Settings{BaseStep: 20 * time.Millisecond})
	r := post(t, e, "/v1/completions", 0, CompletionRequest{Model: "m", Prompt: "hello", MaxTokens: MaxTokens})
	bufio.NewReader(r.Body).ReadString('\n')
	r.Body.Close()
	for limit := time.Now().Add(20 * time.Second); e.scheduler.streamCount() > 0 || e.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the cancelled stream still runs")
		}
	}
	if counts := e.Counts(); counts.Completed != 0 {
		t.Errorf("counts %+v", counts)
	}
}

func TestPriorities(t *testing.T) {
	c := &scheduler{
		settings: Settings{Endpoint: bbendpoint.Settings{WarmSlots: 1}},
		endpoint: start(t, Settings{}).Endpoint,
		wake:     make(chan struct{}, 1),
	}
	for _, priority := range []int{2, 0, 2, 1} {
		c.add(&stream{priority: priority, end: 1, tokens: make(chan int, 1)})
	}
	var order []string
	for c.plan() > 0 {
		order = append(order, fmt.Sprintf("%d#%d", c.running[0].priority, c.running[0].sequence))
		c.advance()
	}
	if diff := cmp.Diff([]string{"0#2", "1#4", "2#1", "2#3"}, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(100, time.Minute, 1)
	now := time.Unix(1000, 0)
	type use struct {
		key   string
		bytes int
		want  int
	}
	for i, u := range []use{{"a", 40, 0}, {"a", 60, 40}, {"b", 50, 0}, {"a", 30, 0}, {"b", 20, 20}, {"a", 30, 30}} {
		if got := c.use(u.key, u.bytes, now); got != u.want {
			t.Errorf("use %d: %d bytes cached, want %d", i, got, u.want)
		}
	}
	for range 50 {
		c.use(fmt.Sprint(c.sequence), 100, now)
	}
	if early := c.eventsAfter(0, now.Add(59*time.Second)); len(early) != 0 {
		t.Errorf("%d events before the lag", len(early))
	}
	late := c.eventsAfter(0, now.Add(time.Minute))
	if gaps := int(c.sequence) - len(late); gaps == 0 || gaps == int(c.sequence) {
		t.Errorf("%d of %d events are missing", gaps, c.sequence)
	}
}

func TestOrders(t *testing.T) {
	load := bbmsg.Order{Kind: bbmsg.OrderLoad, Fence: 5, Argument: "n"}
	old := bbmsg.Order{Kind: bbmsg.OrderRole, Fence: 4, Argument: "decode"}
	models := map[string]int64{"n": 1}
	t.Run("an old fencing number is refused where it is checked", func(t *testing.T) {
		e := start(t, Settings{ChecksFencing: true, Models: models})
		checkStatus(t, post(t, e, "/v1/orders", 0, load), 200)
		checkStatus(t, post(t, e, "/v1/orders", 0, old), 409)
		if e.Role() != "" || len(e.Orders()) != 1 {
			t.Errorf("role %q, orders %v", e.Role(), e.Orders())
		}
	})
	t.Run("and taken where it is not", func(t *testing.T) {
		e := start(t, Settings{Models: models})
		checkStatus(t, post(t, e, "/v1/orders", 0, load), 200)
		checkStatus(t, post(t, e, "/v1/orders", 0, old), 200)
		if e.Role() != "decode" {
			t.Errorf("role %q", e.Role())
		}
	})
	t.Run("a load takes effect when the weights are here and leaves the engine cold", func(t *testing.T) {
		store := &WeightStore{BytesPerSecond: 1}
		store.Reserve(3600)
		e := start(t, Settings{Models: models, Store: store})
		checkStatus(t, post(t, e, "/v1/orders", 0, load), 200)
		if e.Model() != "" {
			t.Errorf("model %q while loading", e.Model())
		}
		e.finishLoad(1, "n")
		if e.Model() != "n" || !e.Cold() {
			t.Errorf("model %q, cold %v", e.Model(), e.Cold())
		}
	})
	t.Run("unknown models and kinds are refused", func(t *testing.T) {
		e := start(t, Settings{Models: models})
		checkStatus(t, post(t, e, "/v1/orders", 0, bbmsg.Order{Kind: bbmsg.OrderLoad, Argument: "x"}), 404)
		checkStatus(t, post(t, e, "/v1/orders", 0, bbmsg.Order{Kind: "dance"}), 400)
	})
}
