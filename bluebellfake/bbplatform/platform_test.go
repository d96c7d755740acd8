package bbplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bluebellhall/core/bbmsg"

	"github.com/google/go-cmp/cmp"
)

// answer is a status with the body of a 200.
type answer struct {
	Status int
	Body   string
}

func start(t *testing.T, s Settings) *Platform {
	t.Helper()
	p, cleanup, err := Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return p
}

func get(t *testing.T, p *Platform, path string) answer {
	t.Helper()
	r, err := http.Get("http://" + p.Address() + path)
	return read(t, r, err)
}

func post(t *testing.T, p *Platform, path, body string) answer {
	t.Helper()
	r, err := http.Post("http://"+p.Address()+path, "", strings.NewReader(body))
	return read(t, r, err)
}

func read(t *testing.T, r *http.Response, err error) answer {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	if r.StatusCode != http.StatusOK {
		body = nil
	}
	return answer{r.StatusCode, strings.TrimSpace(string(body))}
}

func checkAnswer(t *testing.T, got, want answer) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

func TestRules(t *testing.T) {
	p := start(t, Settings{})
	first := answer{200, `{"revision":1,"text":"one"}`}
	t.Run("a reader without news gets 304", func(t *testing.T) {
		checkAnswer(t, get(t, p, "/v1/rules?after=0"), answer{304, ""})
	})
	t.Run("a waiting watch gets the next revision", func(t *testing.T) {
		found := make(chan answer)
		go func() { found <- get(t, p, "/v1/rules?after=0&waitMillis=60000") }()
		checkAnswer(t, post(t, p, "/admin/rules", "one"), answer{200, `{"revision":1}`})
		checkAnswer(t, <-found, first)
	})
	t.Run("frozen readers see what was", func(t *testing.T) {
		post(t, p, "/admin/faults", `{"frozen":true}`)
		post(t, p, "/admin/rules", "two")
		checkAnswer(t, get(t, p, "/v1/rules"), first)
		post(t, p, "/admin/faults", `{}`)
		checkAnswer(t, get(t, p, "/v1/rules"), answer{200, `{"revision":2,"text":"two"}`})
	})
	t.Run("going down ends waiting watches with 503", func(t *testing.T) {
		found := make(chan answer)
		go func() { found <- get(t, p, "/v1/rules?after=2&waitMillis=60000") }()
		p.SetFaults(Faults{Down: true})
		checkAnswer(t, <-found, answer{503, ""})
	})
	t.Run("bad input gets 400", func(t *testing.T) {
		checkAnswer(t, get(t, p, "/v1/rules?after=x"), answer{400, ""})
		checkAnswer(t, post(t, p, "/admin/faults", `{"dwon":true}`), answer{400, ""})
		checkAnswer(t, post(t, p, "/admin/rules", strings.Repeat("x", MaxValueBytes+1)), answer{413, ""})
	})
}

func TestMembers(t *testing.T) {
	p := start(t, Settings{MemberLag: time.Hour})
	t.Run("a change hides during the lag", func(t *testing.T) {
		p.PublishMembers([]bbmsg.Member{{Name: "b"}, {Name: "a"}})
		checkAnswer(t, get(t, p, "/v1/members"), answer{304, ""})
	})
	t.Run("a later change shows sorted and keeps the earlier from coming back", func(t *testing.T) {
		post(t, p, "/admin/faults", `{"lagMillis":1}`)
		post(t, p, "/admin/members", `{"members":[{"name":"d"},{"name":"c"}]}`)
		got := get(t, p, "/v1/members?waitMillis=60000")
		var list bbmsg.MemberList
		json.Unmarshal([]byte(got.Body), &list)
		want := bbmsg.MemberList{Revision: 2, Members: []bbmsg.Member{{Name: "c"}, {Name: "d"}}}
		if diff := cmp.Diff(want, list); diff != "" {
			t.Errorf("list (-want +got):\n%s", diff)
		}
		p.mu.Lock()
		p.endMemberLag(bbmsg.MemberList{Revision: 1})
		p.mu.Unlock()
		checkAnswer(t, get(t, p, "/v1/members"), got)
	})
}

func TestQuota(t *testing.T) {
	p := start(t, Settings{CallsPerSecond: 1})
	p.limiter.SetLimit(0)
	checkAnswer(t, get(t, p, "/v1/rules"), answer{304, ""})
	checkAnswer(t, get(t, p, "/v1/rules"), answer{429, ""})
	if diff := cmp.Diff(Calls{Calls: 2, Rejected: 1}, p.Calls()); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

func TestStartRefusesOtherAddresses(t *testing.T) {
	if _, _, err := Start(Settings{Address: "0.0.0.0:0"}); err == nil {
		t.Error("started on an address that is not loopback")
	}
}
