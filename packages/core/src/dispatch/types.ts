/** Types of the dispatch decisions. */

/** An instance that accepts requests. */
export type DispatchInstance = {
	readonly instanceId: string;
	readonly dataCentre: string;
	readonly slots: number;
	/** Unix time of its start; distinguishes restarts under the same id. */
	readonly bornAtMs: number;
	readonly knownSinceMs: number;
	/** When its warm-up ends. */
	readonly warmAtMs: number;
};

/** A request to be sent to an instance. */
export type DispatchRequest = {
	readonly requestId: string;
	/** Priority; 0 is the highest. */
	readonly rank: number;
	/** Workspace whose access key the request carries, if any. */
	readonly workspace?: string;
	/** Requests of the same kind take about equally long, see `requestKind`; absent: not told apart. */
	readonly kind?: string;
	readonly isIdempotent: boolean;
	/** True when the caller retries after a rejection. */
	readonly isReturning: boolean;
	/** Body of the request, in bytes. */
	readonly bodyBytes: number;
	/** Expected size of the answer, in bytes; absent for routes without large answers. */
	readonly answerBytes?: number;
	/** Deadline of the latency objective. */
	readonly objectiveAtMs: number;
	/** Deadline of the final answer, whatever it is. */
	readonly finalAtMs: number;
	/** Instances that earlier attempts were sent to. */
	readonly attemptedIds: readonly string[];
};

/** Why a request is rejected; with each of these reasons the attempt was not sent. */
export type RejectReason
	/** The expected wait is too long for an answer in time. */
	= | 'wait-too-long'
	/** The service has no instance besides those attempted. */
		| 'no-instance'
	/** All instances besides those attempted want no requests for too long. */
		| 'instances-paused'
	/** Its final deadline has passed. */
		| 'expired'
	/** The gateway is shutting down. */
		| 'stopping';

/** A slot of an instance, reserved for one request and released once. */
export type Placement = {
	readonly instanceId: string;
	readonly startedAtMs: number;
	/** Kind of the request. */
	readonly kind?: string;
	/** True when the instance has had no good answer since it was new or avoided. */
	readonly isTrial: boolean;
};

/** Decision about a request. */
export type DispatchDecision
	= | {readonly type: 'send'; readonly placement: Placement; readonly waitedMs: number}
		| {readonly type: 'wait'}
		| {readonly type: 'reject'; readonly reason: RejectReason; readonly retryAfterMs: number};

/** Decision about a request that was queued. */
export type DeferredDecision<Request extends DispatchRequest> = {
	readonly request: Request;
	readonly decision: Exclude<DispatchDecision, {type: 'wait'}>;
};

/** How an attempt ended, as far as the instance is concerned. */
export type AttemptResult
	/** The instance sent a complete answer. */
	= | 'good'
	/** The instance reported a failure while it ran the request. */
		| 'server-error'
	/** The connection broke, or the answer was incomplete or did not belong to this request. */
		| 'broken'
	/** No answer in time. */
		| 'no-answer'
	/** The instance reported that it did not run the request. */
		| 'shed'
	/** No connection could be opened. */
		| 'unreachable'
	/** Another instance answered at its address. */
		| 'replaced'
	/** The caller disconnected. */
		| 'abandoned';

/** Report of one gateway to the others on some instances of a service; earlier rows on other instances stay valid until they expire. */
export type DispatchReport = {
	readonly instances: readonly InstanceReport[];
};

/** What one gateway observed itself of an instance. */
export type InstanceReport = {
	readonly instanceId: string;
	readonly inFlight: number;
	/** Age of the last good answer; absent when there was none. */
	readonly goodAgeMs?: number;
	/** Remaining time for which this gateway avoids the instance; absent when it does not. */
	readonly avoidMs?: number;
};
