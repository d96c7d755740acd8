package bbserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestPeerBlocking(t *testing.T) {
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	seams, handler := withPeerBlocking(Hooks{
		Blocked: func(name string) bool { return name == "always" },
	}, page)
	do := func(method, path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	steps := []struct {
		name   string
		method string
		path   string
		body   string
		status int
		cut    bool
	}{
		{name: "other pages are as they were", method: "GET", path: "/v1/status", status: http.StatusTeapot},
		{name: "cut", method: "POST", path: "/admin/cut", body: `{"names":["b"]}`, status: http.StatusOK, cut: true},
		{name: "a command that can't be read changes nothing", method: "POST", path: "/admin/cut", body: `{"nmaes":[]}`, status: http.StatusBadRequest, cut: true},
		{name: "mended", method: "POST", path: "/admin/cut", body: `{"names":[]}`, status: http.StatusOK},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			if got := do(s.method, s.path, s.body); got != s.status {
				t.Errorf("status %d, want %d", got, s.status)
			}
			if got := seams.Blocked("b"); got != s.cut {
				t.Errorf("b is cut off: %v, want %v", got, s.cut)
			}
			if !seams.Blocked("always") {
				t.Error("the seam from before is lost")
			}
		})
	}
}
