/** Input of a replay: the size of the fleet, its callers and the faults of its instances. */

/** How an instance fails a request: by a reset before or after it ran, an error, no answer, or a rejection. */
export type FailureMode = 'reset' | 'lost-answer' | 'error' | 'hang' | 'shed';

/** A fault, or another change, that affects a share of the instances. */
export type Fault = {
	readonly fromMs: number;
	/** Infinite for a permanent fault. */
	readonly untilMs: number;
	/** Affected share of the instances that are registered at its start. */
	readonly instanceShare: number;
} & (
	| {readonly type: 'failing'; readonly mode: FailureMode; readonly requestShare: number}
	| {readonly type: 'slow'; readonly factor: number}
	/** Neither answers nor closes connections. */
	| {readonly type: 'silent'}
	/** Refuses connections. */
	| {readonly type: 'down'}
	/** Alternates between refusing and accepting connections. */
	| {readonly type: 'flapping'; readonly turnMs: number}
	/** Permanently silent; its registration expires later, and some of the instances are replaced by new ones. */
	| {readonly type: 'replaced'; readonly unlistedAfterMs: number; readonly replacedShare: number; readonly joinAfterMs: number}
	/** Announces that it leaves, serves for a while and ends. */
	| {readonly type: 'leaving'; readonly servesMs: number}
	/** New instances join, as a share of the registered ones. */
	| {readonly type: 'joining'}
	/** Loses the connection to a share of the gateways, or a share of the packets on it. */
	| {readonly type: 'cut'; readonly gatewayShare: number; readonly lossShare: number}
);

/** Gateways that get no changes of the instances for a time. */
export type StaleGateways = {
	readonly fromMs: number;
	readonly untilMs: number;
	readonly gatewayShare: number;
};

/** Callers that retry at once after a rejection. */
export type RepeatingCallers = {
	readonly fromMs: number;
	readonly untilMs: number;
	readonly requestShare: number;
	readonly times: number;
};

/** A temporary increase of the request rate. */
export type Burst = {
	readonly fromMs: number;
	readonly untilMs: number;
	readonly factor: number;
};

/** Recurring episodes in which an instance fails requests, independent of the faults. */
export type Episodes = {
	readonly instanceShare: number;
	readonly periodMs: number;
	readonly lengthMs: number;
	readonly failingShare: number;
	/** @default 'reset' */
	readonly mode?: FailureMode;
	/** Whether the failing instances are drawn anew for each period. */
	readonly isDrawnAnew?: boolean;
};

/** Instances say in their answers that they leave, and ask for a pause when they reject a request. */
export type Notices = {
	readonly pauseMs: number;
	/** Share of the leaving instances that say so in their answers only, and are removed when they end. */
	readonly unregisteredShare: number;
};

/** A load to replay; requests are at-most-once, so they are not repeated once they may have run. */
export type FleetLoad = {
	readonly seed: number;
	readonly lengthMs: number;
	/** Number of gateways that callers are directed to, by data centre. */
	readonly gateways: Readonly<Record<string, number>>;
	/** Number of instances that are registered from the start, by data centre. */
	readonly instances: Readonly<Record<string, number>>;
	readonly slots: number;
	/** Maximum length of the queue of an instance. */
	readonly queueLength?: number;
	readonly perSecond: number;
	/** Mean of the log-normal service time, and the standard deviation of its logarithm. */
	readonly serviceMs: number;
	readonly serviceSpread: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Share of answers that report a server error. */
	readonly errorShare: number;
	readonly episodes: Episodes;
	readonly faults: readonly Fault[];
	readonly stale?: StaleGateways;
	readonly repeating?: RepeatingCallers;
	readonly burst?: Burst;
	/** What instances say of themselves in their answers; nothing where it is absent. */
	readonly notices?: Notices;
	/** When all gateways fail and lose their requests in flight; no request is sent afterwards. */
	readonly lostAtMs?: number;
};
