/** What a replay of a fleet plays: its size, its callers and the troubles of its instances. */

/** How an instance fails a request: before or after it ran, with an error, by silence, or by rejecting it. */
export type FailureMode = 'reset' | 'lost-answer' | 'error' | 'hang' | 'shed';

/** What happens to a part of the instances for a time, or for good. */
export type Trouble = {
	readonly fromMs: number;
	/** Infinite when it lasts. */
	readonly untilMs: number;
	/** Share of the instances that are registered when it begins. */
	readonly instanceShare: number;
} & (
	| {readonly type: 'failing'; readonly mode: FailureMode; readonly requestShare: number}
	| {readonly type: 'slow'; readonly factor: number}
	/** Neither answers nor closes anything. */
	| {readonly type: 'silent'}
	/** Refuses connections. */
	| {readonly type: 'down'}
	/** Refuses connections by turns. */
	| {readonly type: 'flapping'; readonly turnMs: number}
	/** Silent for good; its registration runs out later, and some of the addresses go to new instances. */
	| {readonly type: 'replaced'; readonly unlistedAfterMs: number; readonly replacedShare: number; readonly joinAfterMs: number}
	/** Says that it leaves, serves on for a while and ends. */
	| {readonly type: 'leaving'; readonly servesMs: number}
	/** New instances, as a share of the known ones. */
	| {readonly type: 'joining'}
	/** Loses the path to a part of the gateways, or a share of the packets on it. */
	| {readonly type: 'cut'; readonly gatewayShare: number; readonly lossShare: number}
);

/** Gateways that hear of no change of the instances for a time. */
export type StaleGateways = {
	readonly fromMs: number;
	readonly untilMs: number;
	readonly gatewayShare: number;
};

/** Callers that come again at once after a rejection. */
export type RepeatingCallers = {
	readonly fromMs: number;
	readonly untilMs: number;
	readonly requestShare: number;
	readonly times: number;
};

/** More requests for a time. */
export type Burst = {
	readonly fromMs: number;
	readonly untilMs: number;
	readonly factor: number;
};

/** Episodes in which an instance fails by itself. */
export type Episodes = {
	readonly instanceShare: number;
	readonly periodMs: number;
	readonly lengthMs: number;
	readonly failingShare: number;
	/** @default 'reset' */
	readonly mode?: FailureMode;
	/** True when other instances fail in each period, rather than the same ones again. */
	readonly isDrawnAnew?: boolean;
};

/** A load to replay; no request may be repeated once it was sent. */
export type FleetLoad = {
	readonly seed: number;
	readonly lengthMs: number;
	/** Gateways that take callers, by data centre. */
	readonly gateways: Readonly<Record<string, number>>;
	/** Instances that are registered from the start, by data centre. */
	readonly instances: Readonly<Record<string, number>>;
	readonly slots: number;
	/** Requests that wait at an instance whose slots are taken, at most. */
	readonly queueLength?: number;
	readonly perSecond: number;
	/** Mean and spread of the logarithm of a lognormal service time. */
	readonly serviceMs: number;
	readonly serviceSpread: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Share of the answers that are errors of the instance. */
	readonly errorShare: number;
	readonly episodes: Episodes;
	readonly troubles: readonly Trouble[];
	readonly stale?: StaleGateways;
	readonly repeating?: RepeatingCallers;
	readonly burst?: Burst;
	/** When all gateways are lost, with what they have in flight; nothing is asked afterwards. */
	readonly lostAtMs?: number;
};
