/** Whether a failed attempt is followed by another one. */

import type {RequestSemantics} from '../config/types.ts';
import type {RunOutcome} from '../errors/types.ts';
import type {RetryBudget} from './retry-budget.ts';

/** A failed attempt. */
export type FailedAttempt = {
	/** Whether the instance ran the request. */
	readonly ran: RunOutcome;
	readonly semantics: RequestSemantics;
	/** Attempts made so far, this one included. */
	readonly attempts: number;
	readonly maxAttempts: number;
	/** Time left until the deadline. */
	readonly remainingMs: number;
	/** Time that an attempt takes, as far as known; 0 when unknown. */
	readonly expectedMs: number;
	/** Whether the body is still held whole, or there is none. */
	readonly canSendAgain: boolean;
};

/** What follows a failed attempt. */
export type RetryDecision
	= | {readonly type: 'retry'}
		| {readonly type: 'give-up'; readonly reason: RetryRefusal};

/** Why no further attempt is made. */
export type RetryRefusal = 'not-repeatable' | 'attempts' | 'deadline' | 'budget';

const refusalOf = (attempt: FailedAttempt): RetryRefusal | undefined => {
	const isSafe = attempt.semantics === 'idempotent' || attempt.ran === 'not-run';
	if (!isSafe || !attempt.canSendAgain) {
		return 'not-repeatable';
	}

	if (attempt.attempts >= attempt.maxAttempts) {
		return 'attempts';
	}

	return attempt.remainingMs <= attempt.expectedMs || attempt.remainingMs <= 0 ? 'deadline' : undefined;
};

/** Decides on another attempt; takes it out of `budget` when it is made. */
export const decideRetry = (attempt: FailedAttempt, budget: RetryBudget): RetryDecision => {
	const reason = refusalOf(attempt);
	if (reason !== undefined) {
		return {type: 'give-up', reason};
	}

	return budget.withdraw() ? {type: 'retry'} : {type: 'give-up', reason: 'budget'};
};
