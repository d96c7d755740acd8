package bbwatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
)

// testWait bounds the waits of the tests.
const testWait = 30 * time.Second

// TestWatch polls a platform that fails once. Values must arrive in order, and the poll after
// the failure must ask the platform not to hold it.
func TestWatch(t *testing.T) {
	observed := make(chan string, 100)
	polls := 0
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/rules" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		polls++
		query := r.URL.Query()
		switch polls {
		case 1:
			_, _ = fmt.Fprint(w, `{"revision":3,"text":"three"}`)
		case 2:
			observed <- "asked after " + query.Get("after") + ", hold " + query.Get("waitMillis")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			observed <- "asked after " + query.Get("after") + ", hold " + query.Get("waitMillis")
			_, _ = fmt.Fprint(w, `{"revision":4,"text":"four"}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer platform.Close()
	stop := Start(&Watch{
		Addresses: []string{strings.TrimPrefix(platform.URL, "http://")},
		Rules:     func(r bbmsg.RulesText) { observed <- r.Text },
		List:      func(bbmsg.MemberList) {},
		State:     func(bool) {},
	})
	defer stop()
	var got []string
	for len(got) < 4 {
		select {
		case o := <-observed:
			got = append(got, o)
		case <-time.After(testWait):
			t.Fatalf("received only %v in time", got)
		}
	}
	want := []string{"three", "asked after 3, hold 5000", "asked after 3, hold 0", "four"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("values and polls (-want +got):\n%s", diff)
	}
}
