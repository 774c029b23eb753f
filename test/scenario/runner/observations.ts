/** What a run of a scenario has shown. Times are in milliseconds of the wall clock. */

import type {InstanceCounts, Run} from '@egretwing/standin';
import type {KeyUse} from '../language/types.ts';

/** How one sending of a request ended. */
export type SendOutcome
	= | {
		readonly type: 'answered'; readonly statusCode: number;
		/** Empty when the answer is the whole one to this request. */
		readonly flaw: string;
	}
	| {readonly type: 'refused'; readonly kind: string; readonly ran: string}
	/** No answer, or one that was broken off. */
	| {readonly type: 'lost'; readonly reason: string};

/** One sending of a piece of work. */
export type Sending = {
	readonly requestId: string;
	readonly hostId: string;
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly outcome: SendOutcome;
};

/** A piece of work and its sendings. */
export type Work = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly keys: KeyUse;
	readonly purpose: 'load' | 'insist';
	readonly beganAtMs: number;
	readonly sendings: readonly Sending[];
};

/** An upload or download. */
export type Transfer = {
	readonly title: string;
	readonly hostId: string;
	/** Empty when it arrived whole. */
	readonly flaw: string;
};

/** What one entry host said at one moment. */
export type Sample = {
	readonly atMs: number;
	readonly hostId: string;
	/** Absent while the entry does not answer or is not ready. */
	readonly revision?: number;
	/** Instances that the entry holds ejected; absent while it does not answer. */
	readonly ejected?: readonly string[];
	/** Entry hosts that the agent names for each service; absent while it does not answer. */
	readonly located?: Readonly<Record<string, readonly string[]>>;
};

/** A process that ended. */
export type Exit = {
	readonly process: string;
	readonly atMs: number;
	readonly code: number | undefined;
	readonly signal: string | undefined;
};

/** All that was seen. */
export type Observations = {
	readonly startedAtMs: number;
	readonly works: readonly Work[];
	readonly transfers: readonly Transfer[];
	readonly samples: readonly Sample[];
	readonly exits: readonly Exit[];
	readonly runs: readonly Run[];
	readonly instances: Readonly<Record<string, InstanceCounts>>;
	/** Time at which each revision was published. */
	readonly publishedAtMs: ReadonlyMap<number, number>;
	/** Time of the first fault of each instance. */
	readonly faultAtMs: ReadonlyMap<string, number>;
	readonly platformReads: number;
};
