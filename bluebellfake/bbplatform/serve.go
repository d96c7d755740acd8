package bbplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellhall/core/bbmsg"

	"github.com/cockroachdb/errors"
)

// Revision is the answer to a publication.
type Revision struct {
	Revision int64 `json:"revision"`
}

func (p *Platform) serveRules(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, watchedPart{
		revision: func(s snapshot) int64 { return s.rules.Revision },
		value:    func(s snapshot) any { return s.rules },
	})
}

func (p *Platform) serveMembers(w http.ResponseWriter, r *http.Request) {
	p.serveWatch(w, r, watchedPart{
		revision: func(s snapshot) int64 { return s.members.Revision },
		value:    func(s snapshot) any { return s.members },
	})
}

// watched is the part of a snapshot that a reader asks for.
type watchedPart struct {
	revision func(snapshot) int64
	value    func(snapshot) any
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, part watchedPart) {
	if !p.admit() {
		http.Error(w, "over the quota", http.StatusTooManyRequests)
		return
	}
	after, wait, err := watchQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	found, status := p.watch(r.Context(), wait, func(s snapshot) bool { return part.revision(s) > after })
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, part.value(found))
}

// watchQuery reads the revision and the time to wait of a long poll.
func watchQuery(r *http.Request) (int64, time.Duration, error) {
	after, err := queryNumber(r, "after")
	if err != nil {
		return 0, 0, err
	}
	millis, err := queryNumber(r, "waitMillis")
	if err != nil {
		return 0, 0, err
	}
	wait := min(time.Duration(millis)*time.Millisecond, maxWait)
	return after, wait, nil
}

func queryNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, errors.Newf("%s: %q is not a number from 0 on", name, text)
	}
	return number, nil
}

func (p *Platform) servePublishRules(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "rules: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	writeJSON(w, Revision{Revision: p.PublishRules(string(text))})
}

func (p *Platform) servePublishMembers(w http.ResponseWriter, r *http.Request) {
	var list bbmsg.MemberList
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes)).Decode(&list); err != nil {
		http.Error(w, "members: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, Revision{Revision: p.PublishMembers(list.Members)})
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Calls())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
