/** What a gateway acts on: the published configuration and the registered instances. */

import type {RequestSemantics} from '../config/types.ts';

/** One service of a route and its part of the route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Relative to the other services of the route; 0 or more. */
	readonly weight: number;
};

/** Sends the requests of one host name and path prefix to services. */
export type PrefixRoute = {
	readonly name: string;
	readonly hostName: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly semantics: RequestSemantics;
	/** Longest time that a request is kept without a final answer. */
	readonly timeoutMs: number;
	/** Time within which an answer is worth its full value to the caller. */
	readonly latencyObjectiveMs: number;
	/** Instances that one request may be sent to. */
	readonly maxAttempts: number;
	/** Urgency; 0 goes first. */
	readonly rank: number;
	/** At least one. */
	readonly services: readonly WeightedService[];
};

/** What the configuration says of a service. */
export type CatalogueService = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that an instance accepts from all gateways together. */
	readonly connectionsPerInstance: number;
};

/** What callers may send, and how long they may take. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the configuration, whole. */
export type FleetConfig = {
	/** Rises with every change. */
	readonly version: number;
	readonly routes: readonly PrefixRoute[];
	readonly services: readonly CatalogueService[];
	readonly limits: CallerLimits;
};

/** What an instance says of itself. */
export type InstanceRecord = {
	readonly service: string;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: string;
	/** Requests that it works on at a time. */
	readonly slots: number;
	readonly state: 'ready' | 'draining';
	/** How much longer it is slow after its start, when it wrote the record. */
	readonly warmupLeftMs: number;
	/** Unix time of its start; tells the lives of one id apart. 0 when the instance does not say. */
	readonly bornAtMs: number;
};

/** The state of one registered id at one revision of the store. */
export type InstanceEntry = {
	readonly instanceId: string;
	readonly revision: number;
	/** Null once the registration is gone or names no instance that can be used. */
	readonly record: InstanceRecord | null;
	/** True when the registration ran out while the store was unavailable, so that it may come back. */
	readonly isLapsed?: boolean;
};

/** An instance that takes requests. */
export type LiveInstance = InstanceRecord & {
	readonly instanceId: string;
	/** When this process first heard of this life of the instance. */
	readonly knownSinceMs: number;
};
