package bbentry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhall/bluebelld/bbresumption"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbprovenance"
)

const (
	// versionsPeriod is the interval between observations of the versions that are listed.
	versionsPeriod = time.Second
	// maxListAge is the age beyond which the list of endpoints says nothing of the versions that are in use now.
	maxListAge = 3 * time.Second
	// handoverTimeout bounds how long a VM that stops waits until its records have reached other VMs: a round trip
	// between regions, and another one where a copy has to go elsewhere.
	handoverTimeout = 400 * time.Millisecond
	// maxLoggedPeers bounds the addresses in a log line.
	maxLoggedPeers = 8
)

// streams is what a VM knows of who began streams that callers may take up.
type streams struct {
	records *bbresumption.Resumptions
	// listedVersions returns the versions of the listed endpoints of a service.
	listedVersions func(service string) []string
	// listChanged has an element when the list of endpoints has changed since versions were last observed.
	listChanged chan struct{}
	// handedOver is the number of copies of records that were sent because the fleet had changed.
	handedOver atomic.Int64

	mu       sync.Mutex
	versions *bbprovenance.Versions
}

// newStreams returns the records of begun streams of this VM.
func (e *Entry) newStreams(listedVersions func(service string) []string) *streams {
	return &streams{
		records: bbresumption.New(e.settings.Self.Name, bbresumption.Hooks{
			Now:        e.now,
			Members:    e.fleet.Members,
			Send:       e.conns.StreamsBegun,
			Ask:        e.conns.StreamBegan,
			SendFailed: e.streamCopiesUnsent,
			AskFailed:  e.streamNotAsked,
			HandedOver: e.streamsHandedOver,
			Rejected:   e.streamRecordsInvalid,
		}),
		listedVersions: listedVersions,
		listChanged:    make(chan struct{}, 1),
		versions:       bbprovenance.NewVersions(),
	}
}

// streamBegan records which version of a service wrote the first event of the stream that an attempt gets, under the
// attempt and under the content of the request.
func (e *Entry) streamBegan(attempt string, content uint64, service, version string) {
	e.streams.records.Began(attempt, service, version)
	e.streams.records.Began(contentKey(content), service, version)
}

// findStream returns which version of a service began the stream of an attempt or, if that is empty, the streams that a
// content got. It returns false if that is unknown. The streams can only have begun at a service, or at one of several
// if that is empty.
func (e *Entry) findStream(ctx context.Context, attempt string, content uint64, service string) (bbprovenance.Record, bool) {
	find, key := e.streams.records.Find, attempt
	if attempt == "" {
		find, key = e.streams.records.FindContent, contentKey(content)
	}
	f := find(ctx, key, service)
	if !f.Found && f.Sole != "" && slices.Equal(e.streams.listedVersions(service), []string{f.Sole}) {
		e.meter.Count("streams", "sole")
		return bbprovenance.Record{
			Attempt: bbhash.Name(key),
			Service: service,
			Version: f.Sole,
		}, true
	}
	if !f.Found {
		e.meter.Count("streams", "unknown")
		e.log.Event(bbevent.StreamUnknown).Str("attempt", formatContent(bbhash.Name(key))).Bool("contradicted", f.Contradicted).
			Strs("asked", formatInquiries(f.Inquiries)).Strs("leaving", e.leavingVMs()).Send()
		return f.Record, false
	}
	e.meter.Count("streams", "found")
	return f.Record, true
}

// formatInquiries formats questions to other VMs for logs: the VM, the seconds since its process started, and what it
// answered.
func formatInquiries(inquiries []bbresumption.Inquiry) []string {
	list := make([]string, 0, len(inquiries))
	for _, q := range inquiries {
		result := "none"
		switch {
		case q.Err != nil:
			result = "failed"
		case q.Answer.Contradicted:
			result = "contradicted"
		case q.Answer.Found:
			result = "found"
		}
		list = append(list, fmt.Sprintf("%s %.1f s %s", q.Member.Name, q.Answer.Running().Seconds(), result))
	}
	return list
}

// leavingVMs returns the names of the other VMs that are leaving and still run.
func (e *Entry) leavingVMs() []string {
	var names []string
	e.fleet.View(func(t *bbgossip.Table, now time.Duration) {
		for _, m := range t.Present(now) {
			if m.Leaving {
				names = append(names, m.Name)
			}
		}
	})
	return names
}

// finishStreams hands over the records of this VM, which stops, within handoverTimeout.
func (e *Entry) finishStreams() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	complete := e.streams.records.Finish(ctx)
	e.log.Event(bbevent.StreamRecordsAtStop).Int("records", e.streams.records.Len()).Bool("complete", complete).
		Strs("leaving", e.leavingVMs()).Send()
}

// streamsHandedOver logs and counts records that are sent to VMs because the fleet has changed.
func (e *Entry) streamsHandedOver(h bbresumption.HandedOver) {
	e.streams.handedOver.Add(int64(h.Copies))
	e.log.Event(bbevent.StreamsHandedOver).Int("attempts", h.Attempts).Int("copies", h.Copies).Int("vms", len(h.Peers)).
		Strs("peers", h.Peers[:min(len(h.Peers), maxLoggedPeers)]).Send()
}

// answerStream answers another VM that asks who began the stream of an attempt.
func (e *Entry) answerStream(attempt uint64, service string) bbprovenance.Answer {
	answer := e.streams.records.Answer(attempt)
	if service != "" {
		answer.Sole, _ = e.soleVersion(service)
	}
	return answer
}

// contentKey stands for the attempt in the records of callers that don't state which attempt they take up.
func contentKey(content uint64) string {
	return "content " + formatContent(content)
}

// soleVersion returns the version of a service if it has had no endpoints of another one for as long as a stream may
// last.
func (e *Entry) soleVersion(service string) (version string, ok bool) {
	e.streams.mu.Lock()
	defer e.streams.mu.Unlock()
	return e.streams.versions.Sole(e.now(), service)
}

// unversioned reports whether no listed endpoint of a service states a version.
func (e *Entry) unversioned(service string) bool {
	versions := e.Knowledge.Versions(service)
	return len(versions) == 1 && versions[0] == ""
}

// versionsLoop observes the versions of all services until the context ends.
func (e *Entry) versionsLoop(ctx context.Context) {
	ticker := time.NewTicker(versionsPeriod)
	defer ticker.Stop()
	for {
		e.observeVersions()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.streams.listChanged:
		}
	}
}

// observeVersions observes the versions of the services of the catalog in force, unless this VM's list of endpoints
// is old.
func (e *Entry) observeVersions() {
	// The time is that before the list is read, so that a VM that is suspended in between doesn't take an old list for
	// a new one.
	now := e.now()
	index := e.Knowledge.Index()
	if index == nil || e.Knowledge.StoreAge() > maxListAge {
		return
	}
	for _, s := range index.Catalog.Services {
		versions := e.streams.listedVersions(s.Name)
		e.streams.mu.Lock()
		e.streams.versions.Observe(now, s.Name, versions)
		e.streams.mu.Unlock()
	}
}

// noteListChange has the versions observed soon. It doesn't wait.
func (s *streams) noteListChange() {
	select {
	case s.listChanged <- struct{}{}:
	default:
	}
}

// streamCopiesUnsent logs copies of records that could not be sent to a VM.
func (e *Entry) streamCopiesUnsent(peer string, copies, retried int, err error) {
	e.log.Event(bbevent.StreamCopiesUnsent).Str("peer", peer).Int("copies", copies).Int("retried", retried).Err(err).Send()
}

// streamNotAsked logs that a VM could not be asked who began a stream.
func (e *Entry) streamNotAsked(peer string, attempt uint64, err error) {
	e.log.Event(bbevent.StreamNotAsked).Str("peer", peer).Str("attempt", formatContent(attempt)).Err(err).Send()
}

// streamRecordsInvalid logs that records were invalid.
func (e *Entry) streamRecordsInvalid(records int, err error) {
	e.log.Event(bbevent.StreamRecordsInvalid).Int("records", records).Err(err).Send()
}
