/** Decides whether a failed attempt is retried. */

import type {RequestSemantics} from '../config/types.ts';
import type {RunOutcome} from '../errors/types.ts';
import type {RetryBudget} from './retry-budget.ts';

/** A failed attempt. */
export type FailedAttempt = {
	/** Whether the instance ran the request. */
	readonly ran: RunOutcome;
	readonly semantics: RequestSemantics;
	/** Attempts made so far, including this one. */
	readonly attempts: number;
	readonly maxAttempts: number;
	/** Time left until the deadline. */
	readonly remainingMs: number;
	/** Expected duration of an attempt; 0 when unknown. */
	readonly expectedMs: number;
	/** True when the complete body is still buffered, or there is none. */
	readonly canSendAgain: boolean;
};

/** Decision after a failed attempt. */
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

/** Decides whether to retry, and takes the retry from `budget`. */
export const decideRetry = (attempt: FailedAttempt, budget: RetryBudget): RetryDecision => {
	const reason = refusalOf(attempt);
	if (reason !== undefined) {
		return {type: 'give-up', reason};
	}

	return budget.withdraw() ? {type: 'retry'} : {type: 'give-up', reason: 'budget'};
};
