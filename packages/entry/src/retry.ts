/** Decides whether a failed attempt is retried, within the retry budget of the service. */

import {
	createRetryBudget, decideRetry, type RetryBudget, type RetryDecision,
} from '@egretwing/core';
import type {AttemptOutcome} from './attempt.ts';
import type {CallerRequest} from './request.ts';

/** Outcome of an attempt without a response. */
export type FailedOutcome = Exclude<AttemptOutcome, {type: 'answered'}>;

/** Retry decisions of an entry. */
export type Retries = {
	/** Credits the retry budget of the service for a new request. */
	readonly begin: (request: CallerRequest) => void;
	readonly decide: (request: CallerRequest, outcome: FailedOutcome, attempts: number, nowMs: number) => RetryDecision;
};

/** True if the complete request can be sent again and the caller did not cause the failure. */
const canSendAgain = (request: CallerRequest, outcome: FailedOutcome): boolean => {
	switch (outcome.type) {
		case 'not-written': {
			return outcome.reason === 'connect-failed';
		}

		case 'shed': {
			return !request.hasBody;
		}

		case 'unknown': {
			return !request.hasBody && outcome.reason !== 'answer-unbounded';
		}

		case 'caller-failed': {
			return false;
		}
	}
};

/** Creates the retry decisions of an entry, with one budget for each service. */
export const createRetries = (): Retries => {
	const budgets = new Map<string, RetryBudget>();
	const budgetOf = (service: string): RetryBudget => {
		const budget = budgets.get(service) ?? createRetryBudget();
		budgets.set(service, budget);
		return budget;
	};

	return {
		begin({service}) {
			budgetOf(service.name).deposit(service.retryBudgetShare);
		},
		decide: (request, outcome, attempts, nowMs) => decideRetry({
			ran: outcome.type === 'not-written' || outcome.type === 'shed' ? 'not-run' : 'unknown',
			semantics: request.route.semantics,
			attempts,
			maxAttempts: request.service.maxAttempts,
			remainingMs: request.deadlineAtMs - nowMs,
			expectedMs: 0,
			canSendAgain: canSendAgain(request, outcome),
		}, budgetOf(request.service.name)),
	};
};
