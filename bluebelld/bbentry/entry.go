// Package bbentry assembles an entry VM for platforms that publish endpoints and configuration: the VM's
// knowledge of the platform, its membership in the fleet, the coordinator and the gateway.
package bbentry

import (
	"context"
	"sync/atomic"
	"time"

	"bluebellhall/bluebelld/bbcatalogcopy"
	"bluebellhall/bluebelld/bbclock"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbgateway"
	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/bluebelld/bbknowledge"
	"bluebellhall/bluebelld/bblimit"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbmembership"
	"bluebellhall/bluebelld/bbmeter"
	"bluebellhall/bluebelld/bbnotes"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/bluebelld/bbquarantine"
	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

// Settings configure an entry VM.
type Settings struct {
	// Self is the VM's own member record, which it publishes to the other VMs.
	Self bbgossip.Member
	// PeerListen is the listen address for calls of other VMs.
	PeerListen string
	// Seeds are addresses at which other VMs may be found; they may be outdated.
	Seeds []string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Limits bound retried calls.
	Limits bbcoordinator.Limits
	// Features are the operators' settings of optional behaviour.
	Features bbfeature.Settings
}

// RunPieces sends pieces to a stage worker in one call and returns the result.
type RunPieces func(ctx context.Context, address, endpoint string, pieces []bbhub.Piece) bbhub.CallResult

// FreeResults informs a stage worker that results are no longer needed, and returns the load signal in its
// answer.
type FreeResults func(ctx context.Context, address string, handles []string) bbstanding.Signal

// Hooks are the functions of a platform's adapter that the VM uses.
type Hooks struct {
	Codec       bbcodec.Codec
	RunPieces   RunPieces
	FreeResults FreeResults
	Log         bblog.Logger
	Meter       *bbmeter.Meter
}

// Entry is a running entry VM.
type Entry struct {
	// Knowledge is what the platform has published.
	Knowledge *bbknowledge.Knowledge
	// Gateway serves callers.
	Gateway *bbgateway.Gateway

	settings Settings
	log      bblog.Logger
	meter    *bbmeter.Meter
	// clock is the clock of now; nil means bbclock. began is its time at the start.
	clock func() time.Duration
	began time.Duration
	fleet *bbmembership.Fleet
	conns *bbpeer.Conns
	// fetch requests what the platform published from the VM at an address.
	fetch func(ctx context.Context, address string, w bbpeer.PublishedRequest) (bbpeer.Published, error)
	hub   *bbhub.Hub
	// quarantines track contents and parts of prompts that crash endpoints. checks bounds the connection
	// checks in progress of endpoints that timed out.
	quarantines bbquarantine.Quarantines
	checks      chan struct{}
	notes       *bbnotes.Sender
	leaving     atomic.Bool
	// sharedMachines is true once this VM knows that endpoints of the deployment share their machines with other
	// work, until the process ends.
	sharedMachines atomic.Bool
	// cursor is the position in the changes of the VM whose endpoints this one follows; used by followLoop
	// only.
	cursor followCursor
	// lag is for how long other VMs have had a newer configuration; used by followLoop only.
	lag catalogLag
	// catalogSender has the configuration for other VMs, catalogParts what has arrived of a newer one. Copying is true
	// while that is fetched beside followLoop.
	catalogSender bbcatalogcopy.Sender
	catalogParts  bbcatalogcopy.Receiver
	copying       atomic.Bool
	// cell caches the endpoints that this VM coordinates.
	cell cell
	// limits keeps requests within the limits that endpoints have named.
	limits *bblimit.Limits
	// streams has who began the streams that callers may take up.
	streams *streams
}

// finishPeriod is how often a VM that stops checks whether it still coordinates requests.
const finishPeriod = 80 * time.Millisecond

// Start starts an entry VM. The clean-up function ends its loops and closes its connections.
func Start(s Settings, h Hooks) (*Entry, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	conns, closeConns := bbpeer.NewConns()
	e := &Entry{
		settings: s,
		log:      h.Log,
		meter:    h.Meter,
		began:    bbclock.Now(),
		conns:    conns,
		fetch:    conns.Published,
		checks:   make(chan struct{}, maxChecks),
	}
	e.notes = bbnotes.NewSender(conns.Notes, e.notesLost)
	e.Knowledge = bbknowledge.NewKnowledge(e.now)
	e.Knowledge.OnCatalogChange = e.catalogChanged
	e.Knowledge.SetReadsPlatform(false)
	e.Knowledge.OnEndpointChange(e.endpointChanged)
	e.Knowledge.OnEvacuation(e.evacuationChanged)
	e.fleet = bbmembership.NewFleet(s.Self, s.Seeds, s.Regions, e.now, conns)
	e.fleet.Serves = e.serves
	e.fleet.ServesVersion = e.servesVersion
	e.fleet.Log = e.peerChanged
	e.fleet.LogLeader = e.coordinatorChanged
	suspects := bbquarantine.Hooks{
		Now:            e.now,
		Aggregators:    e.fleet.Aggregators,
		Relays:         e.fleet.Relays,
		Send:           conns.Suspects,
		VerdictChanged: e.verdictChanged,
		SendFailed:     e.suspectsSendFailed,
	}
	e.quarantines.Contents = bbquarantine.New(suspects)
	suspects.Send, suspects.VerdictChanged = conns.SuspectParts, e.partVerdictChanged
	e.quarantines.Parts = bbquarantine.NewParts(suspects)
	e.limits = e.newLimits()
	e.streams = e.newStreams(e.Knowledge.Versions)
	coordinator := bbcoordinator.New(bbcoordinator.Environment{
		Service:         e.service,
		Endpoints:       e.coordinated,
		Region:          e.region,
		Regions:         e.regions,
		Heard:           e.fleet.Heard,
		Majority:        e.fleet.HasMajority,
		SoleCoordinator: e.fleet.IsSoleCoordinator,
		Suspicion:       e.quarantines.Contents.Verdict,
		RefusesPrompt:   e.quarantines.Parts.Refuses,
		RecordLoss:      e.quarantines.Contents.RecordLoss,
		Answered:        e.quarantines.RecordAnswer,
		BackoffUntil:    e.Knowledge.BackoffUntil,
		Pace:            e.limits.Pace(),
		Share:           e.budgetShare,
		Spill:           e.fleet.Spill,
		Features:        s.Features,
	}, s.Limits)
	hub, stopHub := bbhub.New(coordinator, bbhub.Hooks{
		Now:         e.now,
		RunPieces:   e.runPieces(h.RunPieces),
		FreeResults: e.freeResults(h.FreeResults),
		Zone:        e.Knowledge.ZoneOf,
		Late:        func(delay time.Duration) { e.meter.Time(delay, "coordinator", "delayMs") },
		Log:         e.logDecision,
	})
	e.hub = hub
	stopPeers, err := bbpeer.Listen(s.PeerListen, bbpeer.Handlers{
		Exchange:      e.fleet.Answer,
		Published:     e.published,
		Order:         e.coordinate,
		Notes:         hub.Notes,
		Suspects:      e.quarantines.Contents.Merge,
		SuspectParts:  e.quarantines.Parts.Merge,
		Leaving:       e.recordLeaving,
		Limits:        e.limits.Merge,
		Permit:        e.limits.Decide,
		StreamsBegun:  e.streams.records.Merge,
		StreamBegan:   e.answerStream,
		HandlerFailed: e.handlerFailed,
	})
	if err != nil {
		cancel()
		closeConns()
		return nil, nil, err
	}
	e.Gateway = bbgateway.New(s.Self.Name, s.Self.Zone, s.Self.Region, h.Codec, bbgateway.Hooks{
		Now:           e.now,
		Index:         e.Knowledge.Index,
		AwaitReady:    e.awaitReady,
		Endpoints:     e.Knowledge.Usable,
		MaySend:       e.Knowledge.MaySend,
		RecordSignal:  e.recordSignal,
		GrantHolds:    e.limits.GrantHolds,
		Permit:        e.limits.Permit,
		BackoffUntil:  e.limits.BackoffUntil,
		Region:        e.region,
		Zone:          e.Knowledge.ZoneOf,
		VersionOf:     e.Knowledge.VersionOf,
		Unversioned:   e.unversioned,
		SoleVersion:   e.soleVersion,
		StreamBegan:   e.streamBegan,
		FindStream:    e.findStream,
		Order:         e.order,
		Note:          e.note,
		Log:           e.requestEnded,
		RunFailed:     e.runFailed,
		Answered:      e.quarantines.RecordAnswer,
		Succeeded:     e.quarantines.RecordSuccess,
		Suspicion:     e.quarantines.Contents.Verdict,
		RefusesPrompt: e.quarantines.Parts.Refuses,
		NewWindow:     e.newWindow,
		Leaving:       e.leaving.Load,
		ExtraSends:    s.Features.ExtraSends,

		SharedMachines: e.sharedMachines.Load,
		EndpointSpeed:  s.Features.EndpointSpeed,
	})
	e.addGauges()
	go e.fleet.Run(ctx)
	go e.followLoop(ctx)
	go e.cellLoop(ctx)
	go e.notes.Run(ctx)
	go e.quarantines.Run(ctx)
	go e.streams.records.Run(ctx)
	go e.versionsLoop(ctx)
	return e, func() {
		cancel()
		stopHub()
		stopPeers()
		closeConns()
	}, nil
}

// handlerFailed logs an unexpected error in the handler of a peer's call.
func (e *Entry) handlerFailed(method string, err error) {
	e.log.Event(bbevent.HandlerFailed).Str("method", method).Str("detail", err.Error()).Send()
}

// now returns the time since the start, including the time in which the machine was suspended.
func (e *Entry) now() time.Duration {
	if e.clock != nil {
		return e.clock() - e.began
	}
	return bbclock.Now() - e.began
}

// Ready reports whether this VM accepts new callers.
func (e *Entry) Ready() bool {
	ready, _, _ := e.Knowledge.Ready()
	return ready && !e.leaving.Load()
}

// Leave starts the graceful shutdown: other VMs no longer return this one to callers.
func (e *Entry) Leave(ctx context.Context) {
	e.leaving.Store(true)
	e.refresh()
	e.fleet.Announce(ctx)
	e.hub.Leave()
}

// Finish waits until the requests that this VM coordinates, also those of other VMs, have ended or the
// context ends. Then it hands over what only this VM may know, which takes at most handoverTimeout.
func (e *Entry) Finish(ctx context.Context) {
	defer e.finishStreams()
	ticker := time.NewTicker(finishPeriod)
	defer ticker.Stop()
	for e.hub.Len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// SetSeeds replaces the addresses at which other VMs may be found.
func (e *Entry) SetSeeds(seeds []string) {
	e.fleet.SetSeeds(seeds)
}

// Addresses returns the addresses for a caller in a region: those of the VMs there that are ready and not
// draining, or of all such VMs if the region has none.
func (e *Entry) Addresses(region string) []string {
	var near, all []string
	add := func(m bbgossip.Member) {
		if !m.Ready || m.Leaving {
			return
		}
		all = append(all, m.Front)
		if m.Region == region {
			near = append(near, m.Front)
		}
	}
	e.refresh()
	e.fleet.View(func(t *bbgossip.Table, now time.Duration) {
		add(t.Self())
		for _, m := range t.Present(now) {
			add(m)
		}
	})
	if len(near) > 0 {
		return near
	}
	return all
}

// refresh updates the member record that this VM publishes.
func (e *Entry) refresh() {
	ready, version, revision := e.Knowledge.Ready()
	e.fleet.Update(func(m *bbgossip.Member) {
		m.Ready = ready
		m.Leaving = e.leaving.Load()
		m.CatalogVersion = version
		m.EndpointRevision = revision
	})
}

func (e *Entry) service(name string) *bbcatalog.Service {
	x := e.Knowledge.Index()
	if x == nil {
		return nil
	}
	return x.Service(name)
}

func (e *Entry) region(zone string) string {
	return e.settings.Regions[zone]
}

// regions returns the regions of a route and an account in the configuration in force, and its version.
func (e *Entry) regions(route, account string) ([]string, uint64, bool) {
	x := e.Knowledge.Index()
	if x == nil {
		return nil, 0, false
	}
	list, ok := x.RegionsOf(route, account)
	return list, x.Catalog.Version, ok
}

// newWindow returns the retry window of a service, with this VM's share of the fixed allowance.
func (e *Entry) newWindow() *bballowance.Window {
	return &bballowance.Window{
		Span:  e.settings.Limits.RetrySpan,
		Ratio: e.settings.Limits.RetryRatio,
		Slack: e.retrySlack(),
	}
}

// retrySlack returns this VM's share of the fleet's fixed allowance of retries. A VM that may not know all others yet
// has none: the shares of VMs that know few others would exceed the allowance together.
func (e *Entry) retrySlack() float64 {
	if !e.fleet.ViewIsStable() {
		return 0
	}
	var vms int
	e.fleet.View(func(t *bbgossip.Table, _ time.Duration) { vms = t.Size() })
	return e.settings.Limits.RetrySlack / float64(vms)
}

// order asks the coordinator for an engine and returns the verdict and the coordinator's address.
func (e *Entry) order(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
	verdict, leader, err := e.fleet.Order(ctx, o, e.coordinate)
	if verdict.SharedMachines {
		e.recordSharedMachines(leader.Name)
	}
	return verdict, leader.Peer, err
}

// note sends a progress note to a coordinator.
func (e *Entry) note(peer string, n bbjob.Note) {
	if peer == e.settings.Self.Peer {
		go e.hub.Notes([]bbjob.Note{n})
		return
	}
	if !e.notes.Queue(peer, n) {
		e.log.Event(bbevent.NoteDropped).Str("id", n.ID).Send()
	}
}

// notesLost logs notes that could not be sent.
func (e *Entry) notesLost(peer string, notes int, err error) {
	e.log.Event(bbevent.NotesLost).Str("peer", peer).Int("notes", notes).Err(err).Send()
}

func (e *Entry) catalogChanged(c bbcatalog.Catalog, source string) {
	e.log.Event(bbevent.CatalogInForce).Uint64("version", c.Version).Int("routes", len(c.Routes)).Str("source", source).Send()
	if e.hub != nil {
		e.hub.CatalogChanged()
	}
	go e.refresh()
}

func (e *Entry) endpointChanged(endpoint bbregistry.Endpoint, c bbregistry.Change) {
	e.streams.noteListChange()
	line := e.log.Event(bbevent.EndpointChanged).Str("endpoint", endpoint.ID).Str("detail", string(c)).Str("zone", endpoint.Zone).Str("service", endpoint.Service)
	if endpoint.Version != "" {
		line.Str("version", endpoint.Version)
	}
	line.Send()
}

func (e *Entry) evacuationChanged(zone string, evacuated bool, source string) {
	e.log.Event(bbevent.ZoneEvacuation).Str("zone", zone).Bool("out", evacuated).Str("source", source).Send()
}

func (e *Entry) peerChanged(name string, up bool, why string) {
	if up {
		e.log.Event(bbevent.PeerBack).Str("peer", name).Str("why", why).Send()
		return
	}
	e.log.Event(bbevent.PeerLost).Str("peer", name).Str("why", why).Send()
}

// coordinatorChanged logs which VM coordinates this VM's cell.
func (e *Entry) coordinatorChanged(name string, present int) {
	e.log.Event(bbevent.CoordinatorChanged).Str("peer", name).Int("reachable", present).Send()
}

// logDecision logs a decision of the coordinator and counts it.
func (e *Entry) logDecision(d bbdecision.Event) {
	line := e.log.Event(d.Number)
	if d.Job != "" {
		line.Str("id", d.Job)
	}
	if d.Call != 0 {
		line.Uint64("call", d.Call)
	}
	if d.Endpoint != "" {
		line.Str("endpoint", d.Endpoint)
	}
	if d.Detail != "" {
		line.Str("detail", d.Detail)
	}
	if d.Value != 0 {
		line.Dur("value", d.Value)
	}
	line.Send()
	if entry, ok := bbevent.Lookup(d.Number); ok {
		e.meter.Count("coordinator", entry.Title)
	}
	switch d.Number {
	case bbevent.CallSent:
		e.meter.Value(int64(d.Pieces), "coordinator", "callPieces", d.Service)
	case bbevent.CallDone:
		e.meter.Time(d.Value, "coordinator", "callMs", d.Service)
	case bbevent.StageDone:
		e.meter.Time(d.Value, "coordinator", "stageDoneMs", d.Detail)
	case bbevent.EngineGranted:
		e.meter.Time(d.Value, "coordinator", "stagesMs")
	}
}

// requestEnded logs the end of a caller's request and counts it.
func (e *Entry) requestEnded(l bbrecord.Request) {
	line := e.log.Event(bbevent.EntryRequestEnded).Str("id", l.ID).Str("route", l.Route).Str("outcome", l.Outcome)
	if l.Cause != "" {
		line.Str("cause", l.Cause)
	}
	if l.Endpoint != "" {
		line.Str("endpoint", l.Endpoint).Int("tries", l.Tries)
	}
	if l.Zone != "" {
		line.Str("zone", l.Zone)
	}
	if len(l.Regions) > 0 {
		line.Strs("regions", l.Regions)
	}
	if l.Resumes != "" {
		line.Str("resumes", l.Resumes)
	}
	if l.Software != "" {
		line.Str("software", l.Software)
	}
	if l.Granted != 0 {
		line.Str("coordinator", l.Coordinator).Dur("granted", l.Granted)
	}
	if l.First != 0 {
		line.Dur("first", l.First)
	}
	if l.Limit != 0 && l.Outcome != "answered" {
		line.Dur("limit", l.Limit)
	}
	if l.Content != 0 {
		line.Str("content", formatContent(l.Content))
	}
	if l.Framing != "" {
		line.Str("framing", l.Framing)
	}
	if l.LateGrants != 0 {
		line.Int("lateGrants", l.LateGrants)
	}
	if l.Hedge != "" {
		line.Str("hedge", l.Hedge)
	}
	line.Int("status", l.Status).Uint64("version", l.Version).Dur("took", l.Took).Send()
	e.meter.Count("requests", l.Kind, l.Outcome, l.Cause)
	if l.Outcome != "answered" {
		return
	}
	e.meter.Time(l.Took, "requests", l.Kind, "tookMs")
	if l.First > 0 {
		e.meter.Time(l.First, "requests", l.Kind, "firstMs")
	}
	if l.OnTime {
		e.meter.Count("requests", l.Kind, "onTime")
	}
}
