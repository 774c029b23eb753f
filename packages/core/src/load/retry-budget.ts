/** Retry budget of a service, a token bucket: retries are a bounded share of its requests. */

import {initialRetryTokens, maxRetryTokens} from './constants.ts';

/** Budget to which requests add and from which retries take. */
export type RetryBudget = {
	/** Adds to the budget for a first attempt; `share` is the number of retries allowed for each request, from 0 to 1. */
	readonly deposit: (share: number) => void;
	/** Takes one retry from the budget; false when it is spent. */
	readonly withdraw: () => boolean;
	/** Retries left. */
	readonly tokens: () => number;
};

/** Creates a budget. Retries never exceed the deposits plus the initial tokens. */
export const createRetryBudget = (): RetryBudget => {
	let tokens = initialRetryTokens;

	return {
		deposit(share) {
			tokens = Math.min(maxRetryTokens, tokens + share);
		},
		withdraw() {
			if (tokens < 1) {
				return false;
			}

			tokens--;
			return true;
		},
		tokens: () => tokens,
	};
};
