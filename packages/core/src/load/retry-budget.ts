/** The retry budget of a service: retries are a bounded share of its requests. */

import {initialRetryTokens, maxRetryTokens} from './constants.ts';

/** Counts requests in and retries out. */
export type RetryBudget = {
	/** Adds a first attempt; `share` is the retries accepted for each request, from 0 to 1. */
	readonly deposit: (share: number) => void;
	/** Takes one retry out of the budget; false when it is spent. */
	readonly withdraw: () => boolean;
	/** Retries left. */
	readonly tokens: () => number;
};

/** Creates a budget. Retries never exceed the deposits plus the tokens it starts with. */
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
