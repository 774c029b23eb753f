/** Types of the decisions about waiting, placing and rejecting. */

/** An instance that takes requests, as the dispatcher needs it. */
export type DispatchInstance = {
	readonly instanceId: string;
	readonly dataCentre: string;
	readonly slots: number;
	/** Unix time of its start; tells the lives of one id apart. */
	readonly bornAtMs: number;
	readonly knownSinceMs: number;
	/** When it works at full speed after its start. */
	readonly warmAtMs: number;
};

/** A request that asks for an instance. */
export type DispatchRequest = {
	readonly requestId: string;
	/** Urgency; 0 goes first. */
	readonly rank: number;
	readonly isIdempotent: boolean;
	/** True when the caller comes back after a rejection. */
	readonly isReturning: boolean;
	/** Body of the request, in bytes. */
	readonly bodyBytes: number;
	/** End of the time within which an answer is worth its full value. */
	readonly objectiveAtMs: number;
	/** When the request gets its final answer, whatever it is. */
	readonly finalAtMs: number;
	/** Instances that it was sent to before. */
	readonly attemptedIds: readonly string[];
};

/** Why a request is rejected; each means that this attempt was not sent. */
export type RejectReason
	/** It would start too late to be answered in time. */
	= | 'wait-too-long'
	/** The service has no instance that may take it. */
		| 'no-instance'
	/** Its time ran out while it waited. */
		| 'expired'
	/** The gateway shuts down. */
		| 'stopping';

/** The right to send one request to one instance, given back once. */
export type Placement = {
	readonly instanceId: string;
	readonly startedAtMs: number;
	/** True when the instance has to prove itself with this request. */
	readonly isTrial: boolean;
};

/** What is decided about a request. */
export type DispatchDecision
	= | {readonly type: 'send'; readonly placement: Placement; readonly waitedMs: number}
		| {readonly type: 'wait'}
		| {readonly type: 'reject'; readonly reason: RejectReason; readonly retryAfterMs: number};

/** A decision about a request that was told to wait. */
export type DeferredDecision<Request extends DispatchRequest> = {
	readonly request: Request;
	readonly decision: Exclude<DispatchDecision, {type: 'wait'}>;
};

/** How an attempt ended, as far as the instance is concerned. */
export type AttemptResult
	/** A whole answer of the instance. */
	= | 'good'
	/** The instance said that it failed while it ran the request. */
		| 'server-error'
	/** The connection broke, or the answer was not a whole answer to this request. */
		| 'broken'
	/** No answer in time. */
		| 'no-answer'
	/** The instance said that it did not run the request. */
		| 'shed'
	/** No connection could be opened. */
		| 'unreachable'
	/** Another instance has its address. */
		| 'replaced'
	/** The caller left. */
		| 'abandoned';

/** What one gateway tells the others of some instances of a service; of those it does not name, what it told before holds until it lapses. */
export type DispatchReport = {
	readonly instances: readonly InstanceReport[];
};

/** What one gateway knows first-hand of an instance. */
export type InstanceReport = {
	readonly instanceId: string;
	readonly inFlight: number;
	/** Age of the last good answer; absent when there was none. */
	readonly goodAgeMs?: number;
	/** How much longer this gateway avoids the instance; absent when it does not. */
	readonly avoidMs?: number;
};
