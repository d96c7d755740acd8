package bbload

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// A stream is taken up after the last complete event, with the attempt that received the first one: also when it is
// taken up several times, and when that was not the first attempt.
func TestCallersTakeUpStreams(t *testing.T) {
	type position struct {
		Resumes   string
		LastEvent int
	}
	broken := func(id string, first, last int) bbstand.Reply {
		r := bbstand.Reply{
			Status: http.StatusOK,
		}
		for i := first; i <= last; i++ {
			r.Body += bbstand.Event(id, "v1", i, 9)
		}
		r.Body += "event: v1\nid:"
		return r
	}
	q := bbstand.Request{
		Events: 9,
	}
	for _, step := range []struct {
		id    string
		reply bbstand.Reply
		want  position
	}{
		{"a", bbstand.Reply{}, position{}},
		{"b", broken("b", 1, 0), position{}},
		{"c", broken("c", 1, 3), position{"c", 3}},
		{"d", bbstand.Reply{Status: http.StatusServiceUnavailable, Body: "refused\n\n"}, position{"c", 3}},
		{"e", broken("e", 4, 5), position{"c", 5}},
		{"f", broken("f", 6, 9), position{"c", 9}},
	} {
		q.Attempt = bbledger.Attempt{
			ID: step.id,
		}
		q = next(q, step.reply)
		if diff := cmp.Diff(step.want, position{q.Resumes, q.LastEvent}); diff != "" {
			t.Errorf("after attempt %s (-want +got):\n%s", step.id, diff)
		}
	}
}
