/** The shape of a configuration record in force, whatever schema version it was written under. */

/** What may be done with a request whose first attempt failed. */
export type RequestSemantics = 'idempotent' | 'at-most-once';

/** Rules of one service. */
export type ServiceRecord = {
	readonly kind: 'service';
	readonly name: string;
	readonly revision: number;
	/** Share of the instances of the service that is never ejected, from 0 to 1. */
	readonly floorShare: number;
	/** False ejections accepted per instance and day. Lower is slower to eject. */
	readonly falseEjectionsPerInstanceDay: number;
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly connectTimeoutMs: number;
	readonly requestTimeoutMs: number;
	/** Age of a request in flight after which the instance may be stalled. */
	readonly stallThresholdMs: number;
	readonly maxAttempts: number;
	/** Retries accepted as a share of requests, from 0 to 1. */
	readonly retryBudgetShare: number;
	readonly queueLength: number;
	readonly queueWaitMs: number;
	/** Share of the slots one workspace may hold while others wait, from 0 to 1. */
	readonly workspaceShare: number;
	/** Status codes by which a backend server says that it did not run the request. */
	readonly notRunStatusCodes: readonly number[];
	/** How long an idempotency key is remembered. */
	readonly keyLifetimeMs: number;
};

/** Sends requests to a service. */
export type RouteRecord = {
	readonly kind: 'route';
	readonly name: string;
	readonly revision: number;
	readonly pathPrefix: string;
	/** Methods in upper case; empty for all. */
	readonly methods: readonly string[];
	readonly service: string;
	readonly semantics: RequestSemantics;
	readonly maxBodyBytes: number;
};

/** A record that was deleted; kept so that an older revision does not bring it back. */
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
	/** What is wrong and what would be right. */
	readonly message: string;
};
