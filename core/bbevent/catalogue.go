package bbevent

// Number identifies a kind of event. Numbers are never reused.
type Number int

// Severity is the attention that an event needs from operators.
type Severity string

// The severities of events.
const (
	// SeverityInfo needs no attention.
	SeverityInfo Severity = "info"
	// SeverityWarning needs attention when the event repeats.
	SeverityWarning Severity = "warning"
	// SeverityError needs action by an operator.
	SeverityError Severity = "error"
)

// Entry describes one kind of event. docs/EVENTS.md is generated from the entries.
type Entry struct {
	// Number is unique in the catalogue.
	Number Number
	// Title is a short name in camel case, unique in the catalogue.
	Title string
	// Severity is the level that the event is logged at.
	Severity Severity
	// Text describes what happened and what an operator may do.
	Text string
}

// The numbers of the catalogue, in groups of a hundred: 1xx node, 2xx configuration,
// 3xx membership and ownership, 4xx requests, 5xx endpoints, 6xx links, 7xx limits, 8xx discovery
// among entry VMs and coordination of shared work.
const (
	NodeStarted          Number = 101
	NodeReady            Number = 102
	NodeDraining         Number = 103
	NodeStopped          Number = 104
	NodePaused           Number = 105
	RulesInForce         Number = 201
	RulesRefused         Number = 202
	RulesStale           Number = 203
	PlatformDown         Number = 204
	PlatformUp           Number = 205
	RulesConflict        Number = 206
	ListAdopted          Number = 301
	OwnershipGained      Number = 302
	OwnershipLost        Number = 303
	Confirmed            Number = 304
	ConfirmationLost     Number = 305
	PeerLost             Number = 306
	PeerBack             Number = 307
	ListRefused          Number = 308
	ListConflict         Number = 309
	RequestAccepted      Number = 401
	RequestJoined        Number = 402
	RequestForwarded     Number = 403
	StageDispatched      Number = 404
	StageAnswered        Number = 405
	StageRetried         Number = 406
	StageRefused         Number = 407
	RequestAnswered      Number = 408
	RequestRefused       Number = 409
	RequestUnknown       Number = 410
	RequestFailed        Number = 411
	LateResultDropped    Number = 412
	StreamResumed        Number = 413
	RequestHedged        Number = 414
	RequestCancelled     Number = 415
	RecordsHandedOver    Number = 416
	RecordsTakenOver     Number = 417
	RequestSuspect       Number = 418
	EndpointState        Number = 501
	EndpointColdTurn     Number = 502
	EndpointCalled       Number = 503
	EndpointReplied      Number = 504
	EndpointFailed       Number = 505
	EndpointOrdered      Number = 506
	EndpointOrderRefused Number = 507
	DomainOut            Number = 508
	DomainBack           Number = 509
	LinkSilent           Number = 601
	LinkReplaced         Number = 602
	LinkOverflow         Number = 603
	TableFull            Number = 701
	QueueFull            Number = 702
	BudgetSpent          Number = 703
	EntryStarted         Number = 801
	EntryDraining        Number = 802
	EntryStopped         Number = 803
	EntryCut             Number = 804
	SettingsReloaded     Number = 805
	SettingsRefused      Number = 806
	ListenerEnded        Number = 807
	CatalogInForce       Number = 811
	CatalogUnreadable    Number = 812
	StoreLost            Number = 813
	StoreBack            Number = 814
	ZoneEvacuation       Number = 815
	EndpointUnreadable   Number = 816
	EndpointsAdopted     Number = 817
	FollowFailed         Number = 818
	EndpointChanged      Number = 819
	EndpointLeaves       Number = 820
	EndpointRests        Number = 824
	LeavingUntold        Number = 825
	EndpointLimited      Number = 826
	EndpointUnlimited    Number = 827
	LimitUntold          Number = 828
	StoreRestored        Number = 829
	HistoryLost          Number = 830
	RangeListed          Number = 845
	CatalogOlder         Number = 846
	CoordinatorChanged   Number = 821
	CellsChanged         Number = 822
	OrderSpilled         Number = 823
	OrderWaits           Number = 873
	OrderStarts          Number = 874
	CatalogBehind        Number = 875
	OrderAccepted        Number = 831
	OrderReturned        Number = 832
	OrderElsewhere       Number = 833
	PiecesSent           Number = 834
	StageDone            Number = 835
	InputsGone           Number = 836
	EngineGranted        Number = 837
	OrderCancelled       Number = 838
	OrderRefused         Number = 839
	OrderMalformed       Number = 840
	CallSent             Number = 841
	CallDone             Number = 842
	CallOverdue          Number = 843
	CoordinatorLate      Number = 844
	SendWithheld         Number = 847
	ProbationBegan       Number = 848
	ProbationEnded       Number = 849
	MachinesShared       Number = 850
	EntryRequestEnded    Number = 851
	RunBroke             Number = 852
	SilentChecked        Number = 853
	ContentJudged        Number = 854
	SuspectsUntold       Number = 855
	PartJudged           Number = 856
	StreamCopiesUnsent   Number = 857
	StreamNotAsked       Number = 858
	StreamUnknown        Number = 859
	StreamRecordsInvalid Number = 860
	NoteDropped          Number = 861
	NotesLost            Number = 862
	UpdateDropped        Number = 863
	StreamRecordsAtStop  Number = 864
	StreamsHandedOver    Number = 865
	LogLinesDropped      Number = 871
	HandlerFailed        Number = 872
)

// Catalogue lists every kind of event by number.
var Catalogue = []Entry{
	{Number: NodeStarted, Title: "nodeStarted", Severity: SeverityInfo, Text: "The process started with a new incarnation and without any state of an earlier one."},
	{Number: NodeReady, Title: "nodeReady", Severity: SeverityInfo, Text: "The node has rules and a membership list and serves callers."},
	{Number: NodeDraining, Title: "nodeDraining", Severity: SeverityInfo, Text: "The node no longer gives its own address to callers and finishes its remaining work."},
	{Number: NodeStopped, Title: "nodeStopped", Severity: SeverityInfo, Text: "The node finished its drain and exits."},
	{Number: NodePaused, Title: "nodePaused", Severity: SeverityWarning, Text: "The process did not run for a while; its confirmations are void until peers are heard from again."},
	{Number: RulesInForce, Title: "rulesInForce", Severity: SeverityInfo, Text: "A newer valid revision of the rules is in force on this node."},
	{Number: RulesRefused, Title: "rulesRefused", Severity: SeverityError, Text: "A revision of the rules has findings and is refused as a whole; the previous one stays in force."},
	{Number: RulesStale, Title: "rulesStale", Severity: SeverityWarning, Text: "A source offered a revision older than the one in force; it was ignored."},
	{Number: PlatformDown, Title: "platformDown", Severity: SeverityWarning, Text: "The configuration service does not answer; the node continues with the configuration it has."},
	{Number: PlatformUp, Title: "platformUp", Severity: SeverityInfo, Text: "The configuration service answers again."},
	{Number: RulesConflict, Title: "rulesConflict", Severity: SeverityError, Text: "Two different texts have the same revision; the one with the higher digest is kept if it is valid. Publish a newer revision."},
	{Number: ListAdopted, Title: "listAdopted", Severity: SeverityInfo, Text: "A newer membership list was adopted; it has to be confirmed anew."},
	{Number: OwnershipGained, Title: "ownershipGained", Severity: SeverityInfo, Text: "This node became the owner of an endpoint."},
	{Number: OwnershipLost, Title: "ownershipLost", Severity: SeverityInfo, Text: "This node is no longer the owner of an endpoint and sends it no new requests."},
	{Number: Confirmed, Title: "confirmed", Severity: SeverityInfo, Text: "A majority of the group has confirmed the list for the settling time; cold endpoints may be used."},
	{Number: ConfirmationLost, Title: "confirmationLost", Severity: SeverityWarning, Text: "The confirmation expired; requests for cold endpoints wait, warm ones are still used."},
	{Number: PeerLost, Title: "peerLost", Severity: SeverityWarning, Text: "A peer has not answered probes for the peer timeout."},
	{Number: PeerBack, Title: "peerBack", Severity: SeverityInfo, Text: "A lost peer answers probes again."},
	{Number: ListRefused, Title: "listRefused", Severity: SeverityError, Text: "A membership list is malformed and is refused as a whole; the previous one stays in use."},
	{Number: ListConflict, Title: "listConflict", Severity: SeverityError, Text: "Two different membership lists have the same revision; the one adopted first is kept. The platform has to publish a newer one."},
	{Number: RequestAccepted, Title: "requestAccepted", Severity: SeverityInfo, Text: "The home recorded a new request."},
	{Number: RequestJoined, Title: "requestJoined", Severity: SeverityInfo, Text: "A repeat of a known request was attached to it or got its stored answer."},
	{Number: RequestForwarded, Title: "requestForwarded", Severity: SeverityInfo, Text: "A request was forwarded to its home."},
	{Number: StageDispatched, Title: "stageDispatched", Severity: SeverityInfo, Text: "The home sent a stage to the owner of an endpoint."},
	{Number: StageAnswered, Title: "stageAnswered", Severity: SeverityInfo, Text: "The result of a stage arrived and was matched to its attempt."},
	{Number: StageRetried, Title: "stageRetried", Severity: SeverityWarning, Text: "A stage is retried, within the retry budget."},
	{Number: StageRefused, Title: "stageRefused", Severity: SeverityInfo, Text: "An owner refused a stage without sending it to an endpoint."},
	{Number: RequestAnswered, Title: "requestAnswered", Severity: SeverityInfo, Text: "The complete answer was stored and sent to the caller."},
	{Number: RequestRefused, Title: "requestRefused", Severity: SeverityInfo, Text: "The request was refused and will never run."},
	{Number: RequestUnknown, Title: "requestUnknown", Severity: SeverityWarning, Text: "The outcome of a request can't be determined; it will not be run again."},
	{Number: RequestFailed, Title: "requestFailed", Severity: SeverityWarning, Text: "The request ran and failed."},
	{Number: LateResultDropped, Title: "lateResultDropped", Severity: SeverityInfo, Text: "A result of an attempt that is no longer awaited was dropped."},
	{Number: StreamResumed, Title: "streamResumed", Severity: SeverityWarning, Text: "A token stream continues on another endpoint from its offset."},
	{Number: RequestHedged, Title: "requestHedged", Severity: SeverityInfo, Text: "A second attempt at an idempotent stage was started because the first is slow."},
	{Number: RequestCancelled, Title: "requestCancelled", Severity: SeverityInfo, Text: "The work was cancelled because its deadline passed or its last caller disconnected."},
	{Number: RecordsHandedOver, Title: "recordsHandedOver", Severity: SeverityInfo, Text: "A leaving home handed its records over to a successor."},
	{Number: RecordsTakenOver, Title: "recordsTakenOver", Severity: SeverityInfo, Text: "This node now serves the records of a home that left."},
	{Number: RequestSuspect, Title: "requestSuspect", Severity: SeverityError, Text: "Two endpoints died while they ran a request; it is refused or retried on an endpoint that runs nothing else."},
	{Number: EndpointState, Title: "endpointState", Severity: SeverityInfo, Text: "The state of an owned endpoint changed."},
	{Number: EndpointColdTurn, Title: "endpointColdTurn", Severity: SeverityWarning, Text: "A warm endpoint appears to have become cold; it gets one request at a time until one that was sent later completes."},
	{Number: EndpointCalled, Title: "endpointCalled", Severity: SeverityInfo, Text: "The owner sent a request to an endpoint."},
	{Number: EndpointReplied, Title: "endpointReplied", Severity: SeverityInfo, Text: "An endpoint completed a request."},
	{Number: EndpointFailed, Title: "endpointFailed", Severity: SeverityWarning, Text: "An endpoint failed a request or its connection broke."},
	{Number: EndpointOrdered, Title: "endpointOrdered", Severity: SeverityInfo, Text: "An order (load a model, change role) was sent with its fencing number."},
	{Number: EndpointOrderRefused, Title: "endpointOrderRefused", Severity: SeverityWarning, Text: "An endpoint refused an order with an old fencing number."},
	{Number: DomainOut, Title: "domainOut", Severity: SeverityInfo, Text: "A failure domain was taken out of service by the rules; it gets no new work."},
	{Number: DomainBack, Title: "domainBack", Severity: SeverityInfo, Text: "A failure domain was brought back into service; its endpoints start as cold."},
	{Number: LinkSilent, Title: "linkSilent", Severity: SeverityWarning, Text: "A connection to a peer made no progress in time."},
	{Number: LinkReplaced, Title: "linkReplaced", Severity: SeverityInfo, Text: "A new connection to a peer replaced a silent one."},
	{Number: LinkOverflow, Title: "linkOverflow", Severity: SeverityError, Text: "The send queue to a peer is full; the oldest messages were dropped and have to be requested again."},
	{Number: TableFull, Title: "tableFull", Severity: SeverityError, Text: "A bounded table is full; new entries are refused."},
	{Number: QueueFull, Title: "queueFull", Severity: SeverityWarning, Text: "A bounded queue is full; new work is refused as not run."},
	{Number: BudgetSpent, Title: "budgetSpent", Severity: SeverityWarning, Text: "The retry budget is exhausted; no retry or hedge was sent."},
	{Number: EntryStarted, Title: "entryStarted", Severity: SeverityInfo, Text: "The process started without any state of an earlier one."},
	{Number: EntryDraining, Title: "entryDraining", Severity: SeverityInfo, Text: "The process was asked to stop: its address is given to no new caller, and it finishes its remaining work."},
	{Number: EntryStopped, Title: "entryStopped", Severity: SeverityInfo, Text: "The process has finished its work and exits."},
	{Number: EntryCut, Title: "entryCut", Severity: SeverityWarning, Text: "The time limit for stopping expired while requests were in progress."},
	{Number: SettingsReloaded, Title: "settingsReloaded", Severity: SeverityInfo, Text: "Changed settings are in force."},
	{Number: SettingsRefused, Title: "settingsRefused", Severity: SeverityError, Text: "Changed settings have findings; the previous ones stay in force."},
	{Number: ListenerEnded, Title: "listenerEnded", Severity: SeverityError, Text: "An address is no longer served."},
	{Number: CatalogInForce, Title: "catalogInForce", Severity: SeverityInfo, Text: "A newer configuration is in force; source names where it came from."},
	{Number: CatalogUnreadable, Title: "catalogUnreadable", Severity: SeverityError, Text: "The platform's configuration can't be read; the previous one stays in force."},
	{Number: StoreLost, Title: "storeLost", Severity: SeverityWarning, Text: "The platform's store does not answer; this VM continues with its own state and that of other VMs."},
	{Number: StoreBack, Title: "storeBack", Severity: SeverityInfo, Text: "The platform's store answers again."},
	{Number: ZoneEvacuation, Title: "zoneEvacuation", Severity: SeverityInfo, Text: "A failure domain was taken out of service or brought back; out is true when it was taken out. Source is watch, list, the VM that it was learned from, or settled: the store, back from an older copy, has had it so for long enough."},
	{Number: EndpointUnreadable, Title: "endpointUnreadable", Severity: SeverityWarning, Text: "An entry of the platform's list can't be decoded; its endpoint is treated as not listed."},
	{Number: EndpointsAdopted, Title: "endpointsAdopted", Severity: SeverityInfo, Text: "The list of endpoints was copied from another VM, because the store can't be reached."},
	{Number: FollowFailed, Title: "followFailed", Severity: SeverityInfo, Text: "Configuration and endpoints could not be fetched from another VM."},
	{Number: EndpointChanged, Title: "endpointChanged", Severity: SeverityInfo, Text: "The state of an endpoint, as this VM sees it, changed to listed, cold, warm, leaving, lapsed while the store could not be reached, gone, held (listed by an older copy of the store, but its process was leaving or gone before), or released; detail names the new state, version that of its software if its entry states one."},
	{Number: EndpointLeaves, Title: "endpointLeaves", Severity: SeverityInfo, Text: "An endpoint has announced in an answer that it is leaving, to this VM or to the one that source names. It gets no new requests, even while it is listed."},
	{Number: CoordinatorChanged, Title: "coordinatorChanged", Severity: SeverityInfo, Text: "From the view of this VM, another VM now coordinates its cell."},
	{Number: CellsChanged, Title: "cellsChanged", Severity: SeverityInfo, Text: "The cells that this VM coordinates have changed; works is true when it coordinates any."},
	{Number: OrderSpilled, Title: "orderSpilled", Severity: SeverityInfo, Text: "The coordinator transferred a request to another cell whose expected time is shorter; value is the time expected here."},
	{Number: EndpointRests, Title: "endpointRests", Severity: SeverityInfo, Text: "An endpoint refused a request of this VM and asked for a backoff of the duration in value."},
	{Number: LeavingUntold, Title: "leavingUntold", Severity: SeverityInfo, Text: "Another VM could not be notified that an endpoint is leaving; it learns that from the endpoint or the platform."},
	{Number: EndpointLimited, Title: "endpointLimited", Severity: SeverityInfo, Text: "An endpoint has named the rate that it takes from all VMs together, to this VM or to the one that source names; perSecond is the rate. It gets no more than that."},
	{Number: EndpointUnlimited, Title: "endpointUnlimited", Severity: SeverityInfo, Text: "An endpoint no longer names a limit, according to the VM that source names."},
	{Number: LimitUntold, Title: "limitUntold", Severity: SeverityInfo, Text: "Another VM could not be notified of an endpoint's limit; it learns it from the endpoint, or when it grants requests to it."},
	{Number: StoreRestored, Title: "storeRestored", Severity: SeverityWarning, Text: "The platform's store has come back from an older copy, as the era in its answers shows: it may lack what it had confirmed, and its revisions have fallen."},
	{Number: HistoryLost, Title: "historyLost", Severity: SeverityInfo, Text: "The platform's store doesn't have the changes of a range after a revision; the range is listed again."},
	{Number: OrderAccepted, Title: "orderAccepted", Severity: SeverityInfo, Text: "The coordinator accepted a request; value is the expected time to its first token."},
	{Number: OrderReturned, Title: "orderReturned", Severity: SeverityInfo, Text: "As orderAccepted, for a caller whose request was refused before."},
	{Number: OrderElsewhere, Title: "orderElsewhere", Severity: SeverityInfo, Text: "A leaving coordinator returned a request, with the results made so far, for the next coordinator."},
	{Number: PiecesSent, Title: "piecesSent", Severity: SeverityInfo, Text: "Pieces of a request were sent to an endpoint in the call named; detail names their stage and numbers."},
	{Number: StageDone, Title: "stageDone", Severity: SeverityInfo, Text: "All results of a stage are complete; value is the time since the order arrived."},
	{Number: InputsGone, Title: "inputsGone", Severity: SeverityWarning, Text: "Stored results that a stage needs no longer exist; they are recomputed."},
	{Number: EngineGranted, Title: "engineGranted", Severity: SeverityInfo, Text: "The request was granted an engine; value is the time since the order arrived, detail the version of the engine's software if its entry states one."},
	{Number: OrderCancelled, Title: "orderCancelled", Severity: SeverityInfo, Text: "The caller disconnected or its VM is gone; the results are discarded."},
	{Number: OrderRefused, Title: "orderRefused", Severity: SeverityInfo, Text: "The coordinator refused a request; it has not run. Value is the expected time."},
	{Number: OrderMalformed, Title: "orderMalformed", Severity: SeverityWarning, Text: "An order can't be processed by any endpoint; it is refused, and detail gives the cause."},
	{Number: CallSent, Title: "callSent", Severity: SeverityInfo, Text: "A call was sent to a stage worker; value is the time until its answer is expected."},
	{Number: CallDone, Title: "callDone", Severity: SeverityInfo, Text: "A stage worker answered a call; value is the duration of the call."},
	{Number: CallOverdue, Title: "callOverdue", Severity: SeverityWarning, Text: "A call is late. Detail names the pieces of a request without a result; where it ends with queued, they are sent to another endpoint as well."},
	{Number: CoordinatorLate, Title: "coordinatorLate", Severity: SeverityWarning, Text: "The coordinator acts later than planned, because the processor is busy; value is the longest delay in the last second, detail its load."},
	{Number: RangeListed, Title: "rangeListed", Severity: SeverityInfo, Text: "A range of the platform's store was listed as a whole, at the era and revision named."},
	{Number: CatalogOlder, Title: "catalogOlder", Severity: SeverityInfo, Text: "A list of the platform's store has an older configuration than the one in force, which stays in force."},
	{Number: SendWithheld, Title: "sendWithheld", Severity: SeverityError, Text: "Pieces of a request that have a result or lack inputs, as detail names them, or a grant without all inputs, were about to be sent and were kept back. The state of the request was inconsistent, which is a defect: please report it with the log of that request."},
	{Number: ProbationBegan, Title: "probationBegan", Severity: SeverityWarning, Text: "A call to a stage worker failed, as detail says: the worker gets nothing until value has passed, and then one small call at a time, until one succeeds."},
	{Number: ProbationEnded, Title: "probationEnded", Severity: SeverityInfo, Text: "A stage worker on probation has answered a call: it gets full calls again. Detail has the number of calls that had failed, value is the time since the first of them."},
	{Number: MachinesShared, Title: "machinesShared", Severity: SeverityInfo, Text: "This VM has learned that endpoints share their machines with other work, because the endpoint or the coordinator that source names has stated so. Parts that are set to auto are on from now until the process ends."},
	{Number: EntryRequestEnded, Title: "entryRequestEnded", Severity: SeverityInfo, Text: "A caller's request ended: route, outcome, cause, endpoint, attempts and times. Content is the same for requests of one caller that ask for the same; framing is how the endpoint framed its answer: length, chunked or connection. LateGrants counts the grants that were too old to be used. Zone is the failure domain of the endpoint, regions are those in which it could be chosen, where not all were; version is the configuration of its arrival. Resumes is the attempt of the stream that the caller takes up, software the version of the endpoints' software that began a resumable stream. Hedge is won if the request was sent to a second endpoint as well and that one's answer came first, and lost if it did not."},
	{Number: RunBroke, Title: "runBroke", Severity: SeverityInfo, Text: "An endpoint gave no complete answer to a request. Content identifies what was asked, parts are those of its prompt that other requests share, cause is how the exchange ended; silent is true when the time limit expired; sinceFirstEvent is 0 if no event of a stream was complete."},
	{Number: SilentChecked, Title: "silentChecked", Severity: SeverityInfo, Text: "After the time limit of a request expired, a connection to its endpoint was attempted; gone is true when the endpoint accepts none, so that the run counts as lost."},
	{Number: ContentJudged, Title: "contentJudged", Severity: SeverityWarning, Text: "The treatment of content whose runs lost endpoints changed, as far as this VM knows: clear, watched, alone (only where nothing else runs) or refused."},
	{Number: SuspectsUntold, Title: "suspectsUntold", Severity: SeverityInfo, Text: "Another VM could not be notified of content whose runs lost endpoints; the notification is repeated."},
	{Number: PartJudged, Title: "partJudged", Severity: SeverityWarning, Text: "Engines were lost under requests that share a part of their prompts: as far as this VM knows, requests with it are refused (unless all of them share another part that may be the cause as well), or no longer."},
	{Number: StreamCopiesUnsent, Title: "streamCopiesUnsent", Severity: SeverityInfo, Text: "Copies of records of who began streams could not be sent to another VM; of these, those counted as retried are sent to a further one, the others are dropped. Without peer, the queue was full."},
	{Number: StreamNotAsked, Title: "streamNotAsked", Severity: SeverityInfo, Text: "Another VM could not be asked who began the stream of an attempt, or gave no valid answer in time. Without peer, too many searches were in progress, and none was asked."},
	{Number: StreamUnknown, Title: "streamUnknown", Severity: SeverityInfo, Text: "A caller takes up a stream of which this VM found no record, or records that contradict each other; attempt is the hash of the ID of the attempt that began it. Asked has the VMs that answered, each with the time since its process started, in seconds, and found, none (no record), contradicted or failed; leaving has those that still run but are leaving."},
	{Number: StreamRecordsInvalid, Title: "streamRecordsInvalid", Severity: SeverityWarning, Text: "Records of who began streams, their number in records, are incomplete or have too long a name; they aren't stored. The error is that of the last one."},
	{Number: NoteDropped, Title: "noteDropped", Severity: SeverityWarning, Text: "The queue of progress notifications is full; the coordinator notices the missing one by the request's time limit."},
	{Number: NotesLost, Title: "notesLost", Severity: SeverityInfo, Text: "Progress notifications could not be delivered to a coordinator."},
	{Number: UpdateDropped, Title: "updateDropped", Severity: SeverityWarning, Text: "The origin of a request processes updates too slowly; results have to be recomputed if this coordinator is lost."},
	{Number: StreamRecordsAtStop, Title: "streamRecordsAtStop", Severity: SeverityInfo, Text: "This VM stops and has records of the streams of so many attempts; complete is false if some copies of them could not be sent before. Leaving has the other VMs that still run but are leaving."},
	{Number: StreamsHandedOver, Title: "streamsHandedOver", Severity: SeverityInfo, Text: "VMs have started, left or been lost, and this VM sends the records of who began streams to those that are to hold them now: of so many attempts, in so many copies, to so many VMs. Peers are the addresses of some of these."},
	{Number: LogLinesDropped, Title: "logLinesDropped", Severity: SeverityWarning, Text: "The reader of the log is too slow; lines is the number of dropped lines."},
	{Number: HandlerFailed, Title: "handlerFailed", Severity: SeverityError, Text: "An unexpected error ended the call that caused it; the process continues. Detail has the error and its location."},
	{Number: OrderWaits, Title: "orderWaits", Severity: SeverityInfo, Text: "A request that has started nothing waits until its stages have capacity, because it would be late now or others of its route wait before it; detail is its client account, value the time until its last possible start."},
	{Number: OrderStarts, Title: "orderStarts", Severity: SeverityInfo, Text: "A request that waited is started; value is the time since the order arrived."},
	{Number: CatalogBehind, Title: "catalogBehind", Severity: SeverityWarning, Text: "Another VM has had a newer configuration for longer than a second, as far as this VM knows, and this one could not fetch it yet; version is the newer one, value the time since that was known. Repeated every second."},
}

// byNumber indexes the catalogue by number, since an entry is looked up for each log line.
var byNumber = func() map[Number]Entry {
	m := make(map[Number]Entry, len(Catalogue))
	for _, e := range Catalogue {
		m[e.Number] = e
	}
	return m
}()

// Lookup returns the catalogue entry of a number, and false if the number is unknown.
func Lookup(number Number) (Entry, bool) {
	e, ok := byNumber[number]
	return e, ok
}
