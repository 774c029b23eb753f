/** Types shared by the load decisions. */

import type {ErrorKind} from '../errors/types.ts';

/** An instance of the service in the host list, with the weight that the health decisions give it. */
export type Candidate = {
	readonly instanceId: string;
	/** From 0 (gets no new requests) to 1 (gets its full share). */
	readonly weight: number;
};

/** Limits of one service, from its record. */
export type LoadSettings = {
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly queueLength: number;
	readonly queueWaitMs: number;
	/** Share of the slots that one workspace may use while others wait, from 0 to 1. */
	readonly workspaceShare: number;
};

/** A request to be sent to an instance. */
export type LoadRequest = {
	readonly workspace: string;
	readonly fingerprint: string;
	/** Clock time by which the caller needs its answer. */
	readonly deadlineMs: number;
	/** Instances that earlier attempts of this request were sent to. */
	readonly attemptedIds: readonly string[];
};

/** Where a request may run, depending on earlier results for its fingerprint. */
export type Placement
	= | {
		/** It succeeded recently and may run on any instance. */
		readonly type: 'anywhere';
	}
	| {
		/** No recent success is known; it may run on its home instances only. */
		readonly type: 'homes';
	}
	| {
		/** An instance died while running it; it may run on its first home besides `excludedIds`, with no other suspect there. */
		readonly type: 'alone';
		readonly excludedIds: readonly string[];
	}
	| {
		readonly type: 'refused';
		readonly kind: 'crash-suspect';
	};

/** Why a request is refused; with each of these kinds it did not run. */
export type LoadRefusalKind = Extract<
	ErrorKind,
	'overloaded' | 'workspace-limit' | 'queue-timeout' | 'deadline-expired' | 'no-capacity' | 'crash-suspect'
>;

/** Permission to run one attempt on one instance, released once. */
export type Permit = {
	readonly instanceId: string;
	readonly workspace: string;
	readonly startedAtMs: number;
	/** True when the request is suspected of crashing instances. */
	readonly isSuspect: boolean;
};

/** Decision about a new request. */
export type AdmissionDecision
	= | {readonly type: 'run'; readonly permit: Permit}
		| {readonly type: 'wait'}
		| {readonly type: 'refuse'; readonly kind: LoadRefusalKind};

/** Later decision about a request that was queued. */
export type Dispatch<Request extends LoadRequest>
	= | {readonly type: 'run'; readonly request: Request; readonly permit: Permit}
		| {readonly type: 'refuse'; readonly request: Request; readonly kind: LoadRefusalKind};

/** How an attempt ended, as far as load is concerned. */
export type AttemptEnd
	/** The instance answered. */
	= | 'answered'
	/** The instance reported that it is overloaded. */
		| 'shed'
	/** No connection could be opened. */
		| 'connect-failed'
	/** The connection broke because the instance died. */
		| 'died'
	/** The instance did not answer in time. */
		| 'timed-out'
	/** The caller disconnected, or the attempt failed for a reason that says nothing about the instance. */
		| 'abandoned';
