/** Types shared by the load decisions. */

import type {ErrorKind} from '../errors/types.ts';

/** An instance of the service in the host list, as the health decisions see it. */
export type Candidate = {
	readonly instanceId: string;
	/** From 0 (takes no new request) to 1 (takes its full part). */
	readonly weight: number;
};

/** Limits of one service, from its record. */
export type LoadSettings = {
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly queueLength: number;
	readonly queueWaitMs: number;
	/** Share of the slots one workspace may hold while others wait, from 0 to 1. */
	readonly workspaceShare: number;
};

/** A request that asks for an instance. */
export type LoadRequest = {
	readonly workspace: string;
	readonly fingerprint: string;
	/** Point of the clock by which the caller needs its answer. */
	readonly deadlineMs: number;
	/** Instances that earlier attempts of this request went to. */
	readonly attemptedIds: readonly string[];
};

/** Where a request may run, by what is known of its fingerprint. */
export type Placement
	= | {
		/** It succeeded lately: it may run on any instance. */
		readonly type: 'anywhere';
	}
	| {
		/** No success is known: it runs on its home instances only. */
		readonly type: 'homes';
	}
	| {
		/** An instance died while it ran: it runs on its first home besides these, with no other suspect there. */
		readonly type: 'alone';
		readonly exceptIds: readonly string[];
	}
	| {
		readonly type: 'refused';
		readonly kind: 'crash-suspect';
	};

/** Why the load decisions refuse a request; each of them means that it did not run. */
export type LoadRefusalKind = Extract<
	ErrorKind,
	'overloaded' | 'workspace-limit' | 'queue-timeout' | 'deadline-expired' | 'no-capacity' | 'crash-suspect'
>;

/** The right to run one attempt on one instance, given back once. */
export type Permit = {
	readonly instanceId: string;
	readonly workspace: string;
	readonly startedAtMs: number;
	readonly isSuspect: boolean;
};

/** What is decided about a request that asks for an instance. */
export type AdmissionDecision
	= | {readonly type: 'run'; readonly permit: Permit}
		| {readonly type: 'wait'}
		| {readonly type: 'refuse'; readonly kind: LoadRefusalKind};

/** What is decided later about a request that was told to wait. */
export type Dispatch<Request extends LoadRequest>
	= | {readonly type: 'run'; readonly request: Request; readonly permit: Permit}
		| {readonly type: 'refuse'; readonly request: Request; readonly kind: LoadRefusalKind};

/** How an attempt ended, as far as load is concerned. */
export type AttemptEnd
	/** The instance answered. */
	= | 'answered'
	/** The instance said that it is too busy. */
		| 'shed'
	/** No connection could be opened. */
		| 'connect-failed'
	/** The connection died with the instance. */
		| 'died'
	/** The instance did not answer in time. */
		| 'timed-out'
	/** The caller went away, or the attempt failed for a reason that says nothing of the instance. */
		| 'abandoned';
