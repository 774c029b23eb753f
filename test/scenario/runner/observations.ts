/** Observations of a scenario run. Times are wall-clock times in milliseconds. */

import type {InstanceCounts, Run} from '@egretwing/standin';
import type {KeyUse} from '../language/types.ts';

/** Outcome of one attempt of a request. */
export type AttemptOutcome
	= | {
		readonly type: 'answered'; readonly statusCode: number;
		/** Empty when the answer is complete and belongs to this request. */
		readonly failure: string;
	}
	| {readonly type: 'refused'; readonly kind: string; readonly ran: string}
	/** No answer, or an incomplete one. */
	| {readonly type: 'lost'; readonly reason: string};

/** One attempt at a piece of work. */
export type Attempt = {
	readonly requestId: string;
	readonly hostId: string;
	readonly sentAtMs: number;
	readonly endedAtMs: number;
	readonly outcome: AttemptOutcome;
};

export type Work = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly keys: KeyUse;
	readonly purpose: 'load' | 'insist';
	readonly beganAtMs: number;
	readonly attempts: readonly Attempt[];
};

/** An upload or download. */
export type Transfer = {
	readonly title: string;
	readonly hostId: string;
	/** Empty when the content arrived complete. */
	readonly failure: string;
};

/** State of one entry host at one time. */
export type Sample = {
	readonly atMs: number;
	readonly hostId: string;
	/** Absent while the entry does not answer or is not ready. */
	readonly revision?: number;
	/** Instances that the entry has ejected; absent while it does not answer or is not ready. */
	readonly ejected?: readonly string[];
	/** Entry hosts that the agent names for each service; absent while it does not answer. */
	readonly located?: Readonly<Record<string, readonly string[]>>;
};

/** Exit of a process. */
export type Exit = {
	readonly process: string;
	readonly atMs: number;
	readonly code: number | undefined;
	readonly signal: string | undefined;
};

/** All observations of a run. */
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
