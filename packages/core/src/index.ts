/** The decision logic of the fleet, without I/O; can be embedded as a library. */

export {createManualClock} from './clock.ts';
export type {Clock, ManualClock} from './clock.ts';
export {createRandom, sampleItems, hashText} from './random.ts';
export type {Random} from './random.ts';
export {errorAnswers, createProblem, createRefusal} from './errors/answers.ts';
export type {Problem} from './errors/answers.ts';
export type {
	ErrorAnswer, ErrorKind, Refusal, RunOutcome,
} from './errors/types.ts';
export {resolveAtMostOnceConfig} from './once/config.ts';
export {createAtMostOnceGate} from './once/gate.ts';
export type {AtMostOnceGate} from './once/gate.ts';
export {formatKeyPrefix, parseKey} from './once/key.ts';
export type {IssuedKeyFields} from './once/key.ts';
export type {
	IdempotencyKey, IssuedKey, KeyOwner, AtMostOnceConfig, AtMostOnceDecision, AtMostOnceOptions, AtMostOnceOutcome, AtMostOnceRequest, AtMostOnceTicket,
	PlainKey, SendMark, StoredAnswer, WriteDecision,
} from './once/types.ts';
export {hostListSchema, configPageSchema} from './platform/schemas.ts';
export type {
	ConfigPage, EntryHost, Host, HostList, HostState, Instance,
} from './platform/types.ts';
export {parseRecord} from './config/schemas.ts';
export type {
	ConfigRecord, RecordIssue, RemovedRecord, RequestSemantics, RouteRecord, ServiceRecord,
} from './config/types.ts';
export {messageVersion} from './messages/types.ts';
export type {AgentToEntry, EntryToAgent, FleetMember} from './messages/types.ts';
export {createRouteTable} from './routing/route-table.ts';
export type {RouteTable} from './routing/route-table.ts';
export {
	createMemoryBudget, createServiceAdmission, createRetryBudget, decideRetry, isMemoryShort, memoryLimitBytes, objectBytesOf, objectLimitBytes,
} from './load/index.ts';
export type {
	AdmissionDecision, AttemptEnd, Candidate, Dispatch, FailedAttempt, LoadRefusalKind, LoadRequest, LoadSettings, LoadSnapshot, MemoryBudget, MemoryLease, Permit,
	Placement, RetryBudget, RetryDecision, RetryRefusal, ServiceAdmission, ServiceAdmissionDependencies,
} from './load/index.ts';
export {createCrashHistory, createFingerprint} from './crash/index.ts';
export type {CrashHistory, CrashReport, FingerprintParts} from './crash/index.ts';
export {createServiceHealth} from './health/service-health.ts';
export type {HealthAttempt, HealthRules, ServiceHealth} from './health/service-health.ts';
export type {
	EvidenceReport, Explanation, HealthEvent, Observation, Standing,
} from './health/types.ts';
export {createConfigStore} from './config/store.ts';
export type {
	ConfigStore, MergeReport, RefusedRecord, StoreCounters,
} from './config/store.ts';
export {createConfigSync} from './relay/sync.ts';
export type {ConfigSync, ConfigSyncConfig, SyncStep} from './relay/sync.ts';
export {selectRelays} from './relay/select.ts';
export type {ConfigMessage, ConfigSend} from './relay/types.ts';
export {createMembership} from './membership/membership.ts';
export {isPresent} from './membership/table.ts';
export type {Membership, PeerAddress} from './membership/membership.ts';
export type {
	EntryState, MemberMessage, MemberSend, MemberStatus, MembershipCounters, MemberUpdate, MemberView,
} from './membership/types.ts';
export {entriesPerDataCentre, orderForCaller, placeService} from './placement/placement.ts';
export type {PlacementConfig, PlacementEntry, ServiceSize} from './placement/placement.ts';
export {rankNodes} from './placement/rendezvous.ts';
export type {LocateAnswer, LocatedEntry, LocatedKey} from './locate/types.ts';
export {
	createCatalogue, createPrefixRouteTable, eraOf, maxEra, pickService, reconcileFullRead, revisionOf, revisionsPerEra, toStoreOrder,
} from './catalogue/index.ts';
export type {
	CallerLimits, Catalogue, CatalogueDigest, CatalogueService, Completeness, Coverage, FleetConfig, InstanceEntry, InstanceRecord, InstanceRun, LiveInstance, PrefixRoute,
	PrefixRouteTable, WeightedService, Workspace, WorkspaceQuota,
} from './catalogue/index.ts';
export {
	createAnswerSizes, createDispatcher, createIdleLimit, createReportScheduler, createRetryWindow, fromReportRows, hedgeDelayMs, requestKind, isAcceptedDuringShutdown, minRetryAfterMs, slackShareOf, toReportRows,
} from './dispatch/index.ts';
export type {ReportScheduler, ReportRow, ShutdownPlan} from './dispatch/index.ts';
export type {
	AttemptResult, DispatchDecision, DispatchInstance, DispatchReport, DispatchRequest, Dispatcher, DispatcherSnapshot,
	DispatcherState, InstanceReport, DeferredDecision, RejectReason, RetryLimits, RetryWindow,
} from './dispatch/index.ts';
export type {Placement as DispatchPlacement} from './dispatch/index.ts';
export {
	createReaderElection, createReaderWatch, createCatalogueSync, electionWaitMs,
} from './catalogue-sync/index.ts';
export type {
	ReaderCandidate, ReaderElection, ReaderWatch, CatalogueSync, CatalogueChange, CatalogueMessage, CatalogueSend,
} from './catalogue-sync/index.ts';
export {createWorkspaceAccess} from './workspaces/access.ts';
export type {AccessDecision, WorkspaceAccess} from './workspaces/access.ts';
export {createHedgePolicy} from './hedging/index.ts';
export type {
	HedgeLimits, HedgePolicy, HedgeRoom, HedgeVerdict, LatencyQuantile,
} from './hedging/index.ts';
export {gatewaysForCaller, placeCallers, toCallerGateways} from './placement/callers.ts';
export type {CallerGateway} from './placement/callers.ts';
export {
	createRequestPipeline, maxConcurrentRequests, maxReadAheadBytes, maxReadAheadRequests,
} from './pipelining/index.ts';
export type {RequestEffect, RequestPipeline} from './pipelining/index.ts';
export {createQuotaGate} from './quota/index.ts';
export type {
	QuotaDecision, QuotaFleet, QuotaGate, QuotaGateOptions, QuotaLimits, QuotaReport, QuotaRow, QuotaSend, QuotaUse,
} from './quota/index.ts';
