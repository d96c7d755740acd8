package bbserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestPeerBlocking(t *testing.T) {
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	hooks, handler := withPeerBlocking(Hooks{
		Blocked: func(name string) bool { return name == "always" },
	}, page)
	do := func(method, path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	steps := []struct {
		name    string
		method  string
		path    string
		body    string
		status  int
		blocked bool
	}{
		{name: "other paths still reach the handler", method: "GET", path: "/v1/status", status: http.StatusTeapot},
		{name: "blocked", method: "POST", path: "/admin/cut", body: `{"names":["b"]}`, status: http.StatusOK, blocked: true},
		{name: "a request with an unknown field changes nothing", method: "POST", path: "/admin/cut", body: `{"nmaes":[]}`, status: http.StatusBadRequest, blocked: true},
		{name: "unblocked", method: "POST", path: "/admin/cut", body: `{"names":[]}`, status: http.StatusOK},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			if got := do(s.method, s.path, s.body); got != s.status {
				t.Errorf("status %d, want %d", got, s.status)
			}
			if got := hooks.Blocked("b"); got != s.blocked {
				t.Errorf("b is blocked: %v, want %v", got, s.blocked)
			}
			if !hooks.Blocked("always") {
				t.Error("the original Blocked hook is no longer called")
			}
		})
	}
}
