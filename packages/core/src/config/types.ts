/** Types of configuration records, whatever schema version they were written in. */

/** Whether a request may be repeated after a failed attempt that may have run. */
export type RequestSemantics = 'idempotent' | 'at-most-once';

/** Settings of a service. */
export type ServiceRecord = {
	readonly kind: 'service';
	readonly name: string;
	readonly revision: number;
	/** Share of the service's instances that is never ejected, from 0 to 1. */
	readonly floorShare: number;
	/** Accepted rate of false ejections, per instance and day. A lower rate makes ejection slower. */
	readonly falseEjectionsPerInstanceDay: number;
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly connectTimeoutMs: number;
	readonly requestTimeoutMs: number;
	/** Age of a request in flight from which the instance may be stalled. */
	readonly stallThresholdMs: number;
	readonly maxAttempts: number;
	/** Retries allowed, as a share of requests, from 0 to 1. */
	readonly retryBudgetShare: number;
	readonly queueLength: number;
	readonly queueWaitMs: number;
	/** Share of the slots that a workspace may use while others wait, from 0 to 1. */
	readonly workspaceShare: number;
	/** Status codes by which a backend server reports that it did not run the request. */
	readonly notRunStatusCodes: readonly number[];
	/** How long an idempotency key is kept. */
	readonly keyLifetimeMs: number;
};

/** Sends requests to a service. */
export type RouteRecord = {
	readonly kind: 'route';
	readonly name: string;
	readonly revision: number;
	readonly pathPrefix: string;
	/** HTTP methods in upper case; empty for all. */
	readonly methods: readonly string[];
	readonly service: string;
	readonly semantics: RequestSemantics;
	readonly maxBodyBytes: number;
};

/** Marks a record as deleted; kept so that an older revision does not restore it. */
export type RemovedRecord = {
	readonly kind: 'removed';
	readonly removedKind: 'service' | 'route';
	readonly name: string;
	readonly revision: number;
};

/** Any record in force. */
export type ConfigRecord = ServiceRecord | RouteRecord | RemovedRecord;

/** Why a record was refused. */
export type RecordIssue = {
	/** Dotted path of the field, empty for the record itself. */
	readonly field: string;
	/** What is wrong and how to correct it. */
	readonly message: string;
};
