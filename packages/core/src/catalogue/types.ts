/** Types of the published configuration and the registered instances. */

import type {RequestSemantics} from '../config/types.ts';

/** A service of a route and its share of the route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Share relative to the other services of the route; 0 or more. */
	readonly weight: number;
};

/** Sends the requests of one host name and path prefix to services. */
export type PrefixRoute = {
	readonly name: string;
	readonly hostName: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly semantics: RequestSemantics;
	/** Longest time that a request may wait for its final answer. */
	readonly timeoutMs: number;
	/** Latency up to which an answer has its full value to the caller. */
	readonly latencyObjectiveMs: number;
	/** Number of instances that one request may be sent to. */
	readonly maxAttempts: number;
	/** Priority; 0 is the most urgent. */
	readonly rank: number;
	/** Not empty. */
	readonly services: readonly WeightedService[];
	/** Whether its answers are large: their bytes count when an instance is chosen. */
	readonly hasLargeAnswers?: boolean;
	/** Whether its requests need no access key although the configuration has workspaces. */
	readonly isPublic?: boolean;
};

/** Limit on the requests of a workspace, over all gateways together. */
export type WorkspaceQuota = {
	readonly ratePerSecond: number;
	/** Requests allowed beyond the rate, at once. */
	readonly burst: number;
};

/** A workspace: callers that share access keys, a priority and a quota. */
export type Workspace = {
	readonly name: string;
	/** Digests of its access keys; the keys themselves are kept nowhere. */
	readonly keyDigests: readonly string[];
	/** Priority of its requests instead of that of their route; 0 is the most urgent. */
	readonly rank?: number;
	/** Absent where its requests are not limited. */
	readonly quota?: WorkspaceQuota;
};

/** Configuration of a service. */
export type CatalogueService = {
	readonly name: string;
	readonly healthPath: string;
	/** Number of connections that an instance accepts from all gateways together. */
	readonly connectionsPerInstance: number;
};

/** Limits on the size and duration of the requests of callers. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One complete version of the configuration. */
export type FleetConfig = {
	/** Increases with every change. */
	readonly version: number;
	readonly routes: readonly PrefixRoute[];
	readonly services: readonly CatalogueService[];
	readonly limits: CallerLimits;
	/** Absent where requests need no access key. */
	readonly workspaces?: readonly Workspace[];
};

/** The registration that an instance writes about itself. */
export type InstanceRecord = {
	readonly service: string;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: string;
	/** Number of requests that it processes at a time. */
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** Remaining time of slow operation after its start, measured from when it wrote the record. */
	readonly warmupLeftMs: number;
	/** Unix time of its start, which distinguishes successive runs under one id; 0 when the instance does not give it. */
	readonly bornAtMs: number;
};

/** The state of an instance id at a revision of the store. */
export type InstanceEntry = {
	readonly instanceId: string;
	/** Order in the store (`toStoreOrder`): the revision, with the era of a store that has come back from an older copy. */
	readonly revision: number;
	/** Null when there is no registration or it describes no usable instance. */
	readonly record: InstanceRecord | null;
	/** True when the registration expired while the store was unavailable, so that the instance may register again. */
	readonly isLapsed?: boolean;
	/**
	 * True when the store took the write after a report that the run is leaving, or after the registration of a later run: a write that was delayed. The
	 * record then says `draining`, whatever was written. Takes precedence over an entry of the same revision without it.
	 */
	readonly isDelayed?: boolean;
	/** How long the instance of a lapsed registration may still be used after its receipt, in milliseconds; `lapsedRetentionMs` at most, or `lostRetentionMs` in a later era, which is the default. */
	readonly usableForMs?: number;
};

/** Identifies one run of an instance, since instances start again under the same id and addresses are reused by others. */
export type InstanceRun = Pick<InstanceRecord, 'address' | 'port' | 'bornAtMs'> & {
	readonly instanceId: string;
};

/** An instance that takes requests. */
export type LiveInstance = InstanceRecord & {
	readonly instanceId: string;
	/** When this process first learned of this run of the instance. */
	readonly knownSinceMs: number;
};
